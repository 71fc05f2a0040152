//! Drops what was known of a target before it started again under its name.
//!
//! See docs/design/cold-targets.md, "Restarts".

use indexmap::IndexSet;
use toucancleat_core::prelude::*;

use crate::cold_targets::HEARTBEAT_INTERVAL_MS;
use crate::event::Effect;
use crate::request::RequestNumber;
use crate::state::State;

/// Acts on targets that have started again.
pub(super) fn apply(
    state: &mut State,
    restarted: &IndexSet<TargetName>,
    effects: &mut Vec<Effect>,
) {
    if restarted.is_empty() {
        return;
    }
    let restarted_from_ms = restarted_from_ms(state);
    for target in restarted {
        let started_unix_ms = state
            .directory
            .get(target)
            .and_then(|entry| entry.started_unix_ms);
        state.health.remove(target);
        state.suspected_targets.remove(target);
        state.leaves_at_ms.swap_remove(target);
        state.brittle_targets.forget(target);
        state.target_notices.forget_earlier_start(
            target,
            started_unix_ms,
            restarted_from_ms,
        );
        state
            .cold_targets
            .forget_earlier_start(target, started_unix_ms);
    }
    state.peers.forget_loads(restarted);
    for request_number in lost_runs(state, restarted) {
        effects.push(Effect::AbandonRun { request_number });
    }
}

/// Returns the earliest time at which targets started again whose new starts have just become known.
///
/// A target writes its entry soon after it has started, so it started no earlier than a heartbeat
/// before the last moment at which the host list was known to be without that entry.
pub(super) fn restarted_from_ms(state: &State) -> u64 {
    let confirmed_ms = state.host_list_confirmed_ms.unwrap_or_default();
    confirmed_ms.saturating_sub(HEARTBEAT_INTERVAL_MS)
}

/// Returns the runs that have ended with the earlier start of their targets. A run that was sent
/// later may have been sent to the new start, and is waited for.
fn lost_runs(state: &State, restarted: &IndexSet<TargetName>) -> Vec<RequestNumber> {
    let restarted_from_ms = restarted_from_ms(state);
    let is_lost = |target: &TargetName, placed_ms: u64| {
        restarted.contains(target) && placed_ms <= restarted_from_ms
    };
    let lost = state.requests.iter().filter(|(_, request)| {
        let placement = request.placement.as_ref();
        placement.is_some_and(|(target, _)| is_lost(target, request.placed_ms))
    });
    lost.map(|(request_number, _)| *request_number).collect()
}

/// Returns true if a request was sent to a target before the start that is known now, so that its
/// end says nothing about the target.
pub(super) fn is_of_earlier_start(
    state: &State,
    request_number: RequestNumber,
    target: &TargetName,
) -> bool {
    let request = state.requests.get(&request_number);
    let entry = state.directory.get(target);
    let (Some(request), Some(entry)) = (request, entry) else {
        return false;
    };
    entry.started_unix_ms != request.target_started_unix_ms
}
