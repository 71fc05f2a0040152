//! A request that waits for a target, and the reservations requested for it.

use crate::accounts::event::{RefusalReason, Request};
use crate::accounts::message::ReservationRequest;
use crate::prelude::*;

/// A request that waits for a target.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) arrived_ms: u64,
    pub(super) last_widened_ms: u64,
    pub(super) untried: Vec<TargetName>,
    pub(super) sent_requests: Vec<SentReservationRequest>,
}

/// A reservation requested from the home of a target.
#[derive(Clone, Debug)]
pub(super) struct SentReservationRequest {
    pub(super) target: TargetName,
    /// When it was first sent to the present home.
    pub(super) first_sent_ms: u64,
    /// When it was last sent.
    pub(super) last_sent_ms: u64,
    pub(super) reply: HomeReply,
}

/// The last reply of a home to a requested reservation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum HomeReply {
    Missing,
    Queued,
    Refused {
        reason: RefusalReason,
        retry_after_ms: u64,
    },
}

impl PendingRequest {
    /// Records the reply of a target's home.
    pub(super) fn record_reply(&mut self, target: &TargetName, reply: HomeReply) {
        let sent = self
            .sent_requests
            .iter_mut()
            .find(|sent| &sent.target == target);
        if let Some(sent) = sent {
            sent.reply = reply;
        }
    }

    /// Returns the refusal for the caller once every requested home has refused: the
    /// reason and the time after which to retry, of the refusal with the shortest time.
    pub(super) fn refusal(&self) -> Option<(RefusalReason, u64)> {
        let mut best: Option<(RefusalReason, u64)> = None;
        for sent in &self.sent_requests {
            let HomeReply::Refused {
                reason,
                retry_after_ms,
            } = sent.reply
            else {
                return None;
            };
            // The refusal of a host that isn't the home doesn't concern the target.
            if reason == RefusalReason::NotHome {
                return None;
            }
            if best.is_none_or(|(_, soonest_ms)| retry_after_ms < soonest_ms) {
                best = Some((reason, retry_after_ms));
            }
        }
        best
    }

    /// Returns the targets for which the reservation is due to be sent again, and marks
    /// it as sent: the message or its reply may have been lost, and so may the home's
    /// queue.
    pub(super) fn due_targets(
        &mut self,
        now_ms: u64,
        timeout_ms: u64,
        repeat_ms: u64,
    ) -> Vec<TargetName> {
        let mut due = Vec::new();
        for sent in &mut self.sent_requests {
            let interval_ms = match sent.reply {
                HomeReply::Missing => timeout_ms,
                HomeReply::Queued => repeat_ms,
                HomeReply::Refused { .. } => continue,
            };
            if now_ms >= sent.last_sent_ms + interval_ms {
                sent.last_sent_ms = now_ms;
                due.push(sent.target.clone());
            }
        }
        due
    }

    /// Returns true if the timeout has passed at every requested home, and none has
    /// queued the request.
    pub(super) fn is_unanswered(&self, now_ms: u64, timeout_ms: u64) -> bool {
        self.sent_requests.iter().all(|sent| match sent.reply {
            HomeReply::Missing => now_ms >= sent.first_sent_ms + timeout_ms,
            HomeReply::Queued => false,
            HomeReply::Refused { .. } => now_ms >= sent.first_sent_ms + timeout_ms,
        })
    }
}

/// Builds the message that requests a reservation.
pub(super) fn reservation_request(
    request: &Request,
    target: &TargetName,
) -> ReservationRequest {
    ReservationRequest {
        id: request.id,
        generation: request.generation,
        target: target.clone(),
        organisation: request.organisation.clone(),
        kind: request.kind.clone(),
        prompt_tokens: request.prompt_tokens,
        max_output_tokens: request.max_output_tokens,
        prefix_hashes: request.prefix_hashes.clone(),
        deadline_unix_ms: request.deadline_unix_ms,
        priority: request.priority,
        weight: request.weight,
        limits: request.limits,
    }
}
