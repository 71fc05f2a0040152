//! What becomes of a request that has waited: more targets, a cautious start, or a refusal.

use crate::accounts::client::{
    NO_TARGET_RETRY_MS, ask_next, refuse, send_reserve, withdraw_others,
};
use crate::accounts::event::RefuseReason;
use crate::accounts::pending::{Answer, Pending};
use crate::accounts::running::dispatch;
use crate::accounts::state::{Outbox, State};
use crate::accounts::views;
use crate::prelude::*;

/// Moves one waiting request on; tells whether it still waits.
pub(super) fn advance(
    state: &mut State,
    now_ms: u64,
    pending: &mut Pending,
    outbox: &mut Outbox,
) -> bool {
    let config = &state.config;
    let widen_at_ms = pending.widened_ms + config.widen_interval_ms;
    if now_ms >= widen_at_ms && ask_next(state, now_ms, pending, outbox) {
        return true;
    }
    let timeout_ms = state.config.reserve_timeout_ms;
    if !pending.is_unanswered(now_ms, timeout_ms) {
        return true;
    }
    if let Some(target) = safe_target(state, pending) {
        withdraw_others(state, pending, Some(&target), outbox);
        let priority = pending.request.priority;
        dispatch(state, now_ms, &pending.request, target, priority, outbox);
        return false;
    }
    let waited_ms = now_ms.saturating_sub(pending.since_ms);
    if waited_ms > pending.request.limits.queue_timeout_ms {
        withdraw_others(state, pending, None, outbox);
        refuse(
            &pending.request,
            RefuseReason::QueueTimeout,
            NO_TARGET_RETRY_MS,
            outbox,
        );
        return false;
    }
    for asked in &mut pending.asked {
        asked.at_ms = now_ms;
        asked.answer = Answer::None;
        send_reserve(state, &pending.request, &asked.target, outbox);
    }
    true
}

/// Returns a target that may be used without its home's word.
fn safe_target(state: &State, pending: &Pending) -> Option<TargetName> {
    let request = &pending.request;
    let distribution = state
        .home
        .lengths
        .distribution(&request.organisation, &request.kind);
    let expected = distribution.expected_remaining(0, request.max_output_tokens);
    let safe = |target: &&TargetName| {
        let view = state.client.views.get(*target).cloned().unwrap_or_default();
        let caution = state.config.caution_share;
        !view.closed
            && views::is_safe_alone(
                &state.zone,
                &view,
                target,
                request,
                expected,
                caution,
            )
    };
    let targets = pending.asked.iter().map(|asked| &asked.target);
    targets.clone().find(safe).cloned()
}
