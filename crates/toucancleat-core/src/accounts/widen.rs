//! What becomes of a request that has waited: more targets, a cautious start, or a refusal.

use crate::accounts::client::{
    NO_TARGET_RETRY_MS, ask_next, refuse, send_reserve, withdraw_others,
};
use crate::accounts::event::RefuseReason;
use crate::accounts::pending::Pending;
use crate::accounts::running::dispatch;
use crate::accounts::state::{Outbox, State};
use crate::accounts::views;
use crate::prelude::*;

/// Time that the homes are given to refuse a request themselves.
const EXPIRY_GRACE_MS: u64 = 500;

/// Moves one waiting request on; tells whether it still waits.
pub(super) fn advance(
    state: &mut State,
    now_ms: u64,
    pending: &mut Pending,
    outbox: &mut Outbox,
) -> bool {
    let widen_at_ms = pending.widened_ms + state.config.widen_interval_ms;
    if now_ms >= widen_at_ms && ask_next(state, now_ms, pending, outbox) {
        return true;
    }
    if pending.is_unanswered(now_ms, state.config.reserve_timeout_ms)
        && let Some(target) = safe_target(state, pending)
    {
        withdraw_others(state, pending, Some(&target), outbox);
        let priority = pending.request.priority;
        dispatch(state, now_ms, &pending.request, target, priority, outbox);
        return false;
    }
    if has_expired(pending, now_ms) {
        withdraw_others(state, pending, None, outbox);
        let reason = RefuseReason::QueueTimeout;
        refuse(&pending.request, reason, NO_TARGET_RETRY_MS, outbox);
        return false;
    }
    let timeout_ms = state.config.reserve_timeout_ms;
    let repeat_ms = state.config.queue_repeat_ms;
    for target in pending.due_again(now_ms, timeout_ms, repeat_ms) {
        send_reserve(state, &pending.request, &target, outbox);
    }
    true
}

/// Says whether a request has waited past what its homes should have refused it at.
fn has_expired(pending: &Pending, now_ms: u64) -> bool {
    let waited_ms = now_ms.saturating_sub(pending.since_ms);
    waited_ms > pending.request.limits.queue_timeout_ms + EXPIRY_GRACE_MS
}

/// Returns a target that may be used without its home's word.
fn safe_target(state: &State, pending: &Pending) -> Option<TargetName> {
    let request = &pending.request;
    let lengths = &state.home.lengths;
    let distribution = lengths.distribution(&request.organisation, &request.kind);
    let expected = distribution.expected_remaining(0, request.max_output_tokens);
    let safe = |target: &&TargetName| {
        let Some(view) = state.client.views.get(target) else {
            return false;
        };
        let caution = state.config.caution_share;
        !view.closed
            && views::is_safe_alone(&state.zone, view, target, request, expected, caution)
    };
    let targets = pending.asked.iter().map(|asked| &asked.target);
    targets.clone().find(safe).cloned()
}
