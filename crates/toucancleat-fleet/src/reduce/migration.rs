//! Migrates runs away from targets that are leaving.

use toucancleat_core::prelude::*;

use super::placement::{load_at, select_for};
use super::requests::{release_placement, subtract_load, take_retry};
use super::{crashes, eligibility, messages};
use crate::configuration::RetrySafety;
use crate::continuation::Continuation;
use crate::event::{Effect, LogEvent};
use crate::migration_plan::{self, Destination, HostRuns, Source};
use crate::request::{MigrationObstacle, Request, RequestNumber};
use crate::state::State;
use crate::target::TargetEntry;

/// Returns the runs at a target that can migrate with their memory.
pub(super) fn migratable_at(state: &State, target: &TargetName) -> Vec<RequestNumber> {
    // Runs that are migrating already began to when the target was suspected.
    let is_at_target = |request: &Request| {
        let placement = request.placement.as_ref();
        request.destination.is_none()
            && placement.is_some_and(|(placed_at, _)| placed_at == target)
    };
    state
        .requests
        .iter()
        .filter(|(_, request)| is_at_target(request) && is_migratable(request))
        .map(|(request_number, _)| *request_number)
        .collect()
}

fn is_migratable(request: &Request) -> bool {
    let engine = request.configuration.engine(&request.pool);
    request.route().retry_safety == RetrySafety::AtMostOnceStream
        && engine.is_some_and(|engine| engine.can_migrate)
}

/// Takes the retry that a migration counts as, unless this migration holds one already.
fn reserve_migration_retry(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) -> bool {
    let Some(request) = state.requests.get(&request_number) else {
        return false;
    };
    let is_allowed =
        request.has_migration_retry || take_retry(state, now_ms, request_number, effects);
    if let Some(request) = state.requests.get_mut(&request_number) {
        request.has_migration_retry = is_allowed;
    }
    is_allowed
}

/// Acts on targets that have turned out to be leaving.
pub(super) fn leave(
    state: &mut State,
    now_ms: u64,
    leaving: &[(TargetName, TargetEntry)],
    effects: &mut Vec<Effect>,
) {
    if leaving.is_empty() {
        return;
    }
    for (target, entry) in leaving {
        if !migratable_at(state, target).is_empty() {
            effects.push(Effect::QueryLeaveTime {
                target: target.clone(),
                address: entry.address,
            });
        }
    }
    migrate_all(state, now_ms, leaving, effects);
    if state.has_unsent_load {
        // Peers need to know at once which load is migrating to which target.
        messages::broadcast(state, now_ms, None, effects);
    }
}

/// Starts to migrate all runs of this host away from leaving targets, following the plan
/// that all hosts compute.
fn migrate_all(
    state: &mut State,
    now_ms: u64,
    leaving: &[(TargetName, TargetEntry)],
    effects: &mut Vec<Effect>,
) {
    let mut plan = migration_plan::plan(
        sources(state, now_ms, leaving),
        destinations(state, now_ms, leaving),
        &state.identity.host,
    );
    for (target, _) in leaving {
        let mut destinations = plan.swap_remove(target).unwrap_or_default();
        for request_number in migratable_at(state, target) {
            match take_permitted(state, request_number, &mut destinations) {
                Some(destination) => {
                    migrate_within_budget(
                        state,
                        now_ms,
                        request_number,
                        destination,
                        effects,
                    );
                }
                // The plan doesn't know which runs are confined to which regions.
                None if is_confined(state, request_number) => {
                    choose_destination(state, now_ms, request_number, false, effects);
                }
                None => {
                    let cause = MigrationObstacle::NoTarget;
                    report_obstacle(state, request_number, cause, effects);
                }
            }
        }
    }
}

/// Starts to migrate a run that has just begun at a target that is leaving. When the others began
/// to migrate, it wasn't in the target's memory yet.
pub(super) fn leave_late(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    let Some((target, _)) = &request.placement else {
        return;
    };
    let entry = state.directory.get(target);
    let is_leaving = entry.is_some_and(|entry| entry.is_leaving)
        || state.target_notices.get(target).is_leaving
        || state.suspected_targets.contains(now_ms, target);
    if is_leaving && request.destination.is_none() && is_migratable(request) {
        choose_destination(state, now_ms, request_number, false, effects);
    }
}

/// Takes the last of the planned destinations that a run may be sent to.
fn take_permitted(
    state: &State,
    request_number: RequestNumber,
    destinations: &mut Vec<TargetName>,
) -> Option<TargetName> {
    let request = state.requests.get(&request_number)?;
    let is_permitted = |destination: &TargetName| {
        let entry = state.directory.get(destination);
        entry.is_some_and(|entry| eligibility::permits_zone(state, request, &entry.zone))
    };
    let index = destinations.iter().rposition(is_permitted)?;
    Some(destinations.remove(index))
}

fn is_confined(state: &State, request_number: RequestNumber) -> bool {
    let request = state.requests.get(&request_number);
    request.is_some_and(|request| eligibility::is_confined(state, request))
}

fn sources(
    state: &State,
    now_ms: u64,
    leaving: &[(TargetName, TargetEntry)],
) -> Vec<Source> {
    let source = |(target, entry): &(TargetName, TargetEntry)| {
        let mut runs = state.peers.migratable_runs_at(now_ms, target);
        let request_numbers = migratable_at(state, target);
        let tokens = request_numbers
            .iter()
            .filter_map(|request_number| state.requests.get(request_number))
            .map(Request::memory_tokens);
        runs.push(HostRuns {
            host: state.identity.host.clone(),
            runs: request_numbers.len() as u32,
            tokens: tokens.sum(),
        });
        Source {
            target: target.clone(),
            zone: entry.zone.clone(),
            continuation: Continuation::after(entry.software_version.as_ref()),
            runs,
        }
    };
    leaving.iter().map(source).collect()
}

fn destinations(
    state: &State,
    now_ms: u64,
    leaving: &[(TargetName, TargetEntry)],
) -> Vec<Destination> {
    let Some(configuration) = &state.configuration else {
        return Vec::new();
    };
    let is_of_pool = |entry: &TargetEntry| {
        leaving
            .iter()
            .any(|(_, leaving)| leaving.pool == entry.pool)
    };
    state
        .directory
        .iter()
        .filter(|(target, entry)| {
            !entry.is_leaving
                && is_of_pool(entry)
                && !state.evacuations.contains(&entry.zone)
                // All hosts know the same limits, but each has permits of its own.
                && eligibility::takes_any_rate(state, now_ms, target)
                && !state.health.is_ejected(now_ms, target)
        })
        .filter_map(|(target, entry)| {
            let engine = configuration.engine(&entry.pool)?;
            Some(Destination {
                target: target.clone(),
                entry: entry.clone(),
                used_tokens: load_at(state, target).tokens,
                memory_tokens: engine.memory_tokens,
            })
        })
        .collect()
}

/// Chooses another destination for a run whose planned one can't take it.
pub(super) fn choose_destination(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    can_retry_refused: bool,
    effects: &mut Vec<Effect>,
) {
    release_destination(state, request_number);
    if let Some(request) = state.requests.get_mut(&request_number)
        && can_retry_refused
    {
        request.tried_targets.clear();
    }
    let can_migrate = state
        .requests
        .get(&request_number)
        .is_some_and(is_migratable);
    let selection = can_migrate.then(|| select_for(state, now_ms, request_number, true));
    match selection.flatten() {
        Some(selection) => {
            let destination = selection.target;
            migrate_within_budget(state, now_ms, request_number, destination, effects);
        }
        None => {
            let cause = MigrationObstacle::NoTarget;
            report_obstacle(state, request_number, cause, effects);
        }
    }
}

/// Migrates a run to a destination if the budget of retries permits it.
fn migrate_within_budget(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    destination: TargetName,
    effects: &mut Vec<Effect>,
) {
    if reserve_migration_retry(state, now_ms, request_number, effects) {
        migrate_to(state, now_ms, request_number, destination, effects);
    } else {
        let cause = MigrationObstacle::RetryBudget;
        report_obstacle(state, request_number, cause, effects);
    }
}

/// Tells the task of a run that it can't migrate now, and logs each cause once.
fn report_obstacle(
    state: &mut State,
    request_number: RequestNumber,
    cause: MigrationObstacle,
    effects: &mut Vec<Effect>,
) {
    effects.push(Effect::NoDestination { request_number });
    let Some(request) = state.requests.get_mut(&request_number) else {
        return;
    };
    if request.migration_obstacle != Some(cause) {
        request.migration_obstacle = Some(cause);
        effects.push(Effect::Log(LogEvent::MigrationObstructed {
            attempt_id: request.incoming.attempt_id.clone(),
            cause,
        }));
    }
}

fn migrate_to(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    destination: TargetName,
    effects: &mut Vec<Effect>,
) {
    let request = state.requests.get(&request_number);
    if request
        .is_some_and(|request| crashes::is_refused(state, now_ms, &request.incoming))
    {
        let cause = MigrationObstacle::CrashesTargets;
        return report_obstacle(state, request_number, cause, effects);
    }
    eligibility::take_permit(state, now_ms, &destination);
    let entry = state.directory.get(&destination);
    let entry = entry.map(|entry| (entry.address, entry.software_version.clone()));
    let (Some((address, target_version)), Some(request)) =
        (entry, state.requests.get_mut(&request_number))
    else {
        let cause = MigrationObstacle::NoTarget;
        return report_obstacle(state, request_number, cause, effects);
    };
    let added = request.load();
    request.tried_targets.push(destination.clone());
    request.destination = Some((destination.clone(), added));
    state
        .own_loads
        .entry(destination.clone())
        .or_default()
        .add(added);
    state.has_unsent_load = true;
    effects.push(Effect::Migrate {
        request_number,
        destination,
        address,
        target_version,
    });
}

/// Records that a run has resumed at its destination.
pub(super) fn handle_migrated(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
) {
    release_placement(state, request_number);
    if let Some(request) = state.requests.get_mut(&request_number) {
        request.placement = request.destination.take();
        request.placed_ms = now_ms;
        let target = request.placement.as_ref().map(|(target, _)| target);
        let entry = target.and_then(|target| state.directory.get(target));
        request.target_started_unix_ms = entry.and_then(|entry| entry.started_unix_ms);
        request.answering_since_ms = None;
        request.has_migration_retry = false;
        request.migration_obstacle = None;
        // A target that the run has left may take it again after a restart.
        request.tried_targets.clear();
    }
}

/// Records that a migration was abandoned and the run remains at its source.
///
/// A request that was sent to its source again has used the retry, since it arrived there.
pub(super) fn handle_abandoned(
    state: &mut State,
    request_number: RequestNumber,
    has_returned: bool,
) {
    release_destination(state, request_number);
    if let Some(request) = state.requests.get_mut(&request_number)
        && has_returned
    {
        request.has_migration_retry = false;
    }
}

pub(super) fn release_destination(state: &mut State, request_number: RequestNumber) {
    let Some(request) = state.requests.get_mut(&request_number) else {
        return;
    };
    if let Some((target, counted_load)) = request.destination.take() {
        subtract_load(state, &target, counted_load);
        state.has_unsent_load = true;
    }
}
