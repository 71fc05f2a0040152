//! Learns which availability zones are evacuated, and spreads the requests of their callers.

use toucancleat_core::prelude::*;
use toucancleat_core::rng::stable_hash;

use super::{cold, eligibility, messages};
use crate::evacuation::{
    CONFIRMED_AGE_BASE_MS, EvacuationRows, LOST_ROW_BOUNDS, ZoneChange,
};
use crate::event::{Effect, LogEvent};
use crate::peers::{Message, earliest_send_ms};
use crate::request::Request;
use crate::state::State;
use crate::store::Query;

/// Handles what a reply of the store says about evacuated zones. The query was made at
/// `started_ms`.
///
/// The reader broadcasts a change at once. Other hosts that read the store, such as those that
/// have just started, leave that to it.
pub(super) fn handle_rows(
    state: &mut State,
    now_ms: u64,
    started_ms: u64,
    rows: &EvacuationRows,
    effects: &mut Vec<Effect>,
) {
    let Some(bound_ms) = state.config.evacuation_bound_ms else {
        return;
    };
    let lost_row_until_ms = state.era_since_ms + LOST_ROW_BOUNDS * bound_ms;
    let era = state.store_era;
    let changes =
        state
            .evacuations
            .record_rows(now_ms, era, rows, now_ms < lost_row_until_ms);
    if rows.complete_at.is_some() {
        state.evacuations.confirm(started_ms);
    }
    let is_changed = !changes.is_empty();
    apply_changes(state, now_ms, changes, effects);
    if is_changed && state.is_reader && state.directory.is_known() {
        messages::broadcast(state, now_ms, None, effects);
    }
}

/// Handles what a peer reports about evacuated zones.
pub(super) fn handle_report(
    state: &mut State,
    now_ms: u64,
    message: &Message,
    effects: &mut Vec<Effect>,
) {
    if state.config.evacuation_bound_ms.is_none() {
        return;
    }
    let report = &message.evacuations;
    let changes = state.evacuations.record_report(now_ms, report);
    apply_changes(state, now_ms, changes, effects);
    let sent_ms = earliest_send_ms(message, state.identity.incarnation, now_ms);
    if let (Some(age_ms), Some(sent_ms)) = (report.confirmed_age_ms, sent_ms) {
        state.evacuations.confirm(sent_ms.saturating_sub(age_ms));
    }
}

/// Returns true if this host should read the evacuated zones by themselves.
///
/// The reader does while it doesn't read the configuration, which is beside them: it only checks
/// the configuration's row, or that row is too long to be read. The others do if no host tells
/// them of evacuations though one reads the store: it is of the last release, which ignores them.
pub(super) fn must_read(state: &State, now_ms: u64, configuration_query: Query) -> bool {
    if state.config.evacuation_bound_ms.is_none() {
        return false;
    }
    if state.is_reader {
        let reads_configuration = configuration_query == Query::Configuration;
        return !reads_configuration || state.configuration_problem.is_some();
    }
    let age_max_ms = CONFIRMED_AGE_BASE_MS + 2 * state.peers.interval_ms();
    let age_ms = state.evacuations.confirmed_age_ms(now_ms);
    state.readerless_since_ms.is_none()
        && age_ms.is_some_and(|age_ms| age_ms > age_max_ms)
}

/// Logs changes, and lets the runs that are migrating to an evacuated zone choose again. Runs that
/// are there stay: their targets keep running, and a migration would pause them.
fn apply_changes(
    state: &mut State,
    now_ms: u64,
    changes: Vec<ZoneChange>,
    effects: &mut Vec<Effect>,
) {
    for change in changes {
        if !change.is_evacuated {
            cold::zone_returned(state, now_ms, &change.zone);
        }
        let is_there = |target: &TargetName| {
            let entry = state.directory.get(target);
            entry.is_some_and(|entry| entry.zone == change.zone)
        };
        if !change.is_evacuated {
            effects.push(Effect::Log(LogEvent::ZoneTakenBack {
                zone: change.zone,
                store_version: change.position.version,
            }));
            continue;
        }
        for (request_number, request) in &state.requests {
            let destination = request.destination.as_ref();
            if destination.is_some_and(|(target, _)| is_there(target)) {
                effects.push(Effect::LeaveDestination {
                    request_number: *request_number,
                });
            }
        }
        let own_loads = state.own_loads.iter();
        let runs = own_loads
            .filter(|(target, _)| is_there(target))
            .map(|(_, load)| load.runs);
        effects.push(Effect::Log(LogEvent::ZoneEvacuated {
            runs: runs.sum(),
            zone: change.zone,
            store_version: change.position.version,
        }));
    }
}

/// Returns the zone whose targets a request prefers: that of this host unless it is evacuated.
///
/// Otherwise the request is treated as one that has arrived in the zone of a target drawn among
/// those that it may be sent to. So the callers of an evacuated zone have the same right to room
/// as those of the other zones, and their load is spread over these by their targets.
pub(super) fn preferred_zone<'a>(state: &'a State, request: &'a Request) -> &'a ZoneName {
    let own_zone = &state.identity.zone;
    if !state.evacuations.contains(own_zone) {
        return own_zone;
    }
    let targets = eligibility::permitted_targets(state, request);
    let hash = stable_hash(request.incoming.attempt_id.as_bytes());
    let index = hash as usize % targets.len().max(1);
    targets
        .get(index)
        .map_or(own_zone, |(_, entry)| &entry.zone)
}

/// Returns true if targets could run a request, and the zones of all of them are evacuated.
pub(super) fn are_all_evacuated(state: &State, request: &Request) -> bool {
    let accepting = state.directory.accepting(&request.pool);
    let mut could_run = accepting.filter(|(_, entry)| {
        request.continuation.permits(entry)
            && eligibility::permits_zone(state, request, &entry.zone)
    });
    !state.evacuations.is_empty()
        && could_run.next().is_some()
        && eligibility::permitted_targets(state, request).is_empty()
}
