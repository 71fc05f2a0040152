//! Mutual exclusion of isolated runs, granted in turns by the zone's isolation home.

use super::Message;
use crate::prelude::*;

/// Maximum time after which an attempt that was denied the turn requests it again.
const RETRY_AFTER_MAX_MS: u64 = 5_000;

/// The holder of the zone's turn for an isolated run.
///
/// Two homes may each grant a turn while views of the zone differ. This is tolerated,
/// since marks still accumulate and the third one refuses the request.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    /// The attempt that holds the turn, and when the turn expires.
    turn: Option<(GenerationId, u64)>,
}

impl Isolation {
    /// Grants the turn to an attempt if it is free, has expired or is held by this
    /// attempt.
    pub(super) fn request_turn(
        &mut self,
        now_ms: u64,
        timeout_ms: u64,
        attempt: GenerationId,
    ) -> Message {
        if let Some((holder, expires_at_ms)) = self.turn
            && holder != attempt
            && now_ms < expires_at_ms
        {
            let retry_after_ms = (expires_at_ms - now_ms).min(RETRY_AFTER_MAX_MS);
            return Message::DenyTurn {
                attempt,
                retry_after_ms,
            };
        }
        self.turn = Some((attempt, now_ms + timeout_ms));
        Message::GrantTurn { attempt }
    }

    /// Frees the turn if the attempt holds it.
    pub(super) fn release_turn(&mut self, attempt: GenerationId) {
        if self.turn.is_some_and(|(holder, _)| holder == attempt) {
            self.turn = None;
        }
    }
}
