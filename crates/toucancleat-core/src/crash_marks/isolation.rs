//! The turns of isolated runs, kept at the zone's isolation home.

use super::Message;
use crate::prelude::*;

/// Longest time after which a refused attempt is told to come back.
const RETRY_AFTER_MAX_MS: u64 = 5_000;

/// The one isolated run of the zone.
///
/// Two homes may each give a turn while views of the zone differ. That is borne: marks
/// still accumulate, and the third refuses.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    turn: Option<(GenerationId, u64)>,
}

impl Isolation {
    /// Gives the turn to an attempt when it is free.
    pub(super) fn ask(
        &mut self,
        now_ms: u64,
        term_ms: u64,
        attempt: GenerationId,
    ) -> Message {
        if let Some((holder, ends_ms)) = self.turn
            && holder != attempt
            && now_ms < ends_ms
        {
            let retry_after_ms = (ends_ms - now_ms).min(RETRY_AFTER_MAX_MS);
            return Message::NoTurn {
                attempt,
                retry_after_ms,
            };
        }
        self.turn = Some((attempt, now_ms + term_ms));
        Message::Turn { attempt }
    }

    /// Frees the turn when the attempt holds it.
    pub(super) fn end(&mut self, attempt: GenerationId) {
        if self.turn.is_some_and(|(holder, _)| holder == attempt) {
            self.turn = None;
        }
    }
}
