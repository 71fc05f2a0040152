//! Advances a pending request over time: it tries more targets, starts without a
//! reservation or is refused.

use crate::accounts::client::{
    refuse, send_next_reservation_request, send_reservation_request, withdraw_others,
};
use crate::accounts::event::RefusalReason;
use crate::accounts::known_targets;
use crate::accounts::pending::PendingRequest;
use crate::accounts::running::dispatch;
use crate::accounts::state::{Outbox, State};
use crate::prelude::*;
use crate::refusal::RETRY_AFTER_NO_TARGET_MS;

/// Time past the queue timeout in which a home may refuse the request itself.
const EXPIRY_GRACE_MS: u64 = 500;

/// Advances one pending request; returns true if it is still pending.
pub(super) fn advance(
    state: &mut State,
    now_ms: u64,
    pending: &mut PendingRequest,
    outbox: &mut Outbox,
) -> bool {
    let widen_at_ms = pending.last_widened_ms + state.config.widen_interval_ms;
    if now_ms >= widen_at_ms
        && send_next_reservation_request(state, now_ms, pending, outbox)
    {
        return true;
    }
    if pending.is_unanswered(now_ms, state.config.home_reply_timeout_ms)
        && let Some(target) = cautious_target(state, pending)
    {
        withdraw_others(state, pending, Some(&target), outbox);
        let priority = pending.request.priority;
        dispatch(state, now_ms, &pending.request, target, priority, outbox);
        return false;
    }
    if has_expired(pending, now_ms) {
        withdraw_others(state, pending, None, outbox);
        let reason = RefusalReason::QueueTimeout;
        refuse(&pending.request, reason, RETRY_AFTER_NO_TARGET_MS, outbox);
        return false;
    }
    let timeout_ms = state.config.home_reply_timeout_ms;
    let repeat_ms = state.config.queue_repeat_ms;
    for target in pending.due_targets(now_ms, timeout_ms, repeat_ms) {
        send_reservation_request(state, &pending.request, &target, outbox);
    }
    true
}

/// Returns true if the time has passed by which its homes should have refused the
/// request.
fn has_expired(pending: &PendingRequest, now_ms: u64) -> bool {
    let waited_ms = now_ms.saturating_sub(pending.arrived_ms);
    waited_ms > pending.request.limits.queue_timeout_ms + EXPIRY_GRACE_MS
}

/// Returns a target that may be used without a reply of its home.
fn cautious_target(state: &State, pending: &PendingRequest) -> Option<TargetName> {
    let request = &pending.request;
    let lengths = &state.home.lengths;
    let distribution = lengths.distribution(&request.organisation, &request.kind);
    let expected_tokens = distribution.expected_remaining(0, request.max_output_tokens);
    let is_safe = |target: &&TargetName| {
        let Some(known) = state.client.known_targets.get(target) else {
            return false;
        };
        let cautious_share = state.config.cautious_share;
        !known.is_unavailable
            && known_targets::is_safe_without_home(
                &state.zone,
                known,
                target,
                request,
                expected_tokens,
                cautious_share,
            )
    };
    let targets = pending.sent_requests.iter().map(|sent| &sent.target);
    targets.clone().find(is_safe).cloned()
}
