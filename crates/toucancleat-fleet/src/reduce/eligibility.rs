//! Which targets may get a request.
//!
//! First attempts, retries, migrations and probes all ask here, so that no way leads around a
//! rule.

use toucancleat_core::prelude::*;

use crate::request::Request;
use crate::state::State;
use crate::target::TargetEntry;

/// Returns true if a request may be sent to a target, now or later.
pub(super) fn permits(state: &State, request: &Request, entry: &TargetEntry) -> bool {
    request.continuation.permits(entry) && !state.evacuations.contains(&entry.zone)
}

/// Returns the usable targets of a request's pool to which the request may be sent.
pub(super) fn permitted_targets<'a>(
    state: &'a State,
    request: &'a Request,
) -> Vec<(&'a TargetName, &'a TargetEntry)> {
    let mut targets = state.usable_targets(&request.pool);
    targets.retain(|(_, entry)| permits(state, request, entry));
    targets
}

/// Returns true if a target takes a request of this host now.
pub(super) fn takes_request(state: &State, now_ms: u64, target: &TargetName) -> bool {
    state.target_notices.takes_request(now_ms, target)
        && state.cold_targets.takes_request(now_ms, target)
}

/// Returns true if a target takes any number of requests now.
pub(super) fn takes_any_rate(state: &State, now_ms: u64, target: &TargetName) -> bool {
    state.target_notices.takes_any_rate(now_ms, target)
        && state.cold_targets.takes_any_rate(now_ms, target)
}

/// Returns when a caller whose request a target doesn't take now should retry, or `None` if the
/// target takes no more requests.
pub(super) fn retry_at_ms(
    state: &State,
    now_ms: u64,
    target: &TargetName,
) -> Option<u64> {
    let retry_at_ms = state.target_notices.retry_at_ms(now_ms, target)?;
    Some(retry_at_ms.max(state.cold_targets.retry_at_ms(now_ms, target)))
}

/// Counts a request to a target.
pub(super) fn take_permit(state: &mut State, now_ms: u64, target: &TargetName) {
    state.target_notices.take_permit(now_ms, target);
    state.brittle_targets.take_permit(now_ms, target);
    state.cold_targets.take_permit(now_ms, target);
}
