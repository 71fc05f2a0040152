//! Places requests at targets, or queues them until a target has room.

use toucancleat_core::prelude::*;

use super::requests::{
    ATTEMPT_MIN_MS, RETRY_AFTER_LONG_MS, RETRY_AFTER_SHORT_MS, refuse,
};
use super::{contention, crashes, eligibility, evacuation, handoff, messages};
use crate::brittle_targets::Occupancy;
use crate::configuration::{EngineCapabilities, RetrySafety};
use crate::contention::Decision;
use crate::continuation::Continuation;
use crate::event::Effect;
use crate::peers::Load;
use crate::request::{DecisionInputs, Dispatch, Reason, Request, RequestNumber};
use crate::selection::{Candidate, Demand, Selection, select_target};
use crate::state::{State, random_unit};
use crate::target::TargetEntry;

/// Divisor of the latency objective that yields the maximum time for which a request is
/// queued. A caller that is refused within that time loses little by retrying.
const QUEUE_TIME_DIVISOR: u64 = 8;

/// Minimum delay after which a caller may retry if all engines are full; about the
/// remaining duration of a long stream.
const RETRY_AFTER_FULL_MIN_MS: u64 = 2_000;

/// Range of the random delay added to the minimum, so that callers don't retry all at
/// once.
const RETRY_AFTER_FULL_SPREAD_MS: f64 = 4_000.0;

/// Range of the random delay added if all targets limit the rate of requests or pause.
const RETRY_AFTER_LIMITED_SPREAD_MS: f64 = 1_000.0;

/// Share of an engine's memory up to which it takes long streams. The rest is for the
/// growth of runs, for short streams and for migrated runs.
const LONG_STREAM_SHARE: f64 = 0.88;

/// Share of an engine's memory up to which it takes short streams.
const SHORT_STREAM_SHARE: f64 = 0.97;

/// Share of the memory of an engine in another zone up to which it is used when the own
/// zone is full. Its known state is older, and hosts of several zones may choose it at
/// once.
const OTHER_ZONE_SHARE: f64 = 0.7;

/// Share of an engine's memory up to which it takes a stream that has begun elsewhere. Such a
/// stream has fewer engines to choose from, and is lost if it is refused.
const CONTINUED_STREAM_SHARE: f64 = 1.0;

/// Number of latency objectives after which an attempt of a resumable stream times out.
const STREAM_TIMEOUT_OBJECTIVES: u64 = 2;

/// Dispatches a request to a target, or queues it while all engines are full.
///
/// An engine that runs out of memory preempts a run and later recomputes its prompt,
/// which slows down every run there. Queueing a request that has not begun costs less.
pub(super) fn place(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    if handoff::is_preferred(state, request)
        && handoff::try_hand_off(state, now_ms, request_number, false, effects)
    {
        return;
    }
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    let configuration = request.configuration.clone();
    match configuration.engine(&request.pool) {
        Some(engine) if state.config.orders_contention => {
            place_by_claim(state, now_ms, request_number, engine, effects);
        }
        _ => place_or_queue(state, now_ms, request_number, effects),
    }
}

/// Decides on a request for an engine by its claim to room.
fn place_by_claim(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    engine: &EngineCapabilities,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    match contention::decide_on(state, now_ms, request_number, request, engine) {
        Decision::Dispatch => dispatch(state, now_ms, request_number, effects),
        Decision::Wait => {
            state.contention.has_unsent_demand |= request.arrived_ms == now_ms;
            state.queue.push(request_number);
        }
        Decision::Refuse => {
            contention::refuse_for_room(state, now_ms, request_number, engine, effects);
        }
    }
}

/// Dispatches a request if a target has room, and queues it otherwise for a part of its
/// objective.
fn place_or_queue(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    if has_room(state, now_ms, request, ZoneScope::OwnZone) {
        return dispatch(state, now_ms, request_number, effects);
    }
    let objective_ms = request.route().latency_objective_ms;
    let waited_ms = now_ms.saturating_sub(request.arrived_ms);
    if waited_ms < objective_ms / QUEUE_TIME_DIVISOR {
        state.queue.push(request_number);
    } else if has_room(state, now_ms, request, ZoneScope::OtherZones) {
        dispatch(state, now_ms, request_number, effects);
    } else {
        let retry_after_ms = RETRY_AFTER_FULL_MIN_MS
            + (random_unit(&mut state.rng_state) * RETRY_AFTER_FULL_SPREAD_MS) as u64;
        refuse(
            state,
            request_number,
            Reason::TargetsFull,
            Some(retry_after_ms),
            effects,
        );
    }
}

/// Dispatches the queued requests that now have room, the most urgent first.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let requests = &state.requests;
    state
        .queue
        .retain(|request_number| requests.contains_key(request_number));
    let mut waiting = state.queue.clone();
    if state.config.orders_contention {
        waiting.sort_by_cached_key(|request_number| {
            contention::order(state, now_ms, *request_number)
        });
    } else {
        waiting.sort_by_key(|request_number| {
            let request = &state.requests[request_number];
            let due_ms = request.arrived_ms + request.route().latency_objective_ms;
            (request.priority, due_ms)
        });
    }
    for request_number in waiting {
        // The others stay in the queue, since messages report what waits.
        state.queue.retain(|queued| *queued != request_number);
        place(state, now_ms, request_number, effects);
    }
}

/// Zones whose engines are considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ZoneScope {
    OwnZone,
    OtherZones,
}

/// Returns the share of an engine's memory up to which it takes a request.
pub(super) fn memory_share(request: &Request, scope: ZoneScope) -> f64 {
    match (scope, request.route().retry_safety) {
        _ if request.continuation != Continuation::AnyVersion => CONTINUED_STREAM_SHARE,
        (ZoneScope::OtherZones, _) => OTHER_ZONE_SHARE,
        (ZoneScope::OwnZone, RetrySafety::AtMostOnceStream) => LONG_STREAM_SHARE,
        (ZoneScope::OwnZone, _) => SHORT_STREAM_SHARE,
    }
}

/// Returns true if a request can start at some target now.
///
/// Targets that aren't engines have no memory limit. If no engine of the own zone works and
/// takes requests of this host, this returns true for that zone, since waiting for room there
/// would be pointless.
fn has_room(state: &State, now_ms: u64, request: &Request, scope: ZoneScope) -> bool {
    let Some(engine) = request.configuration.engine(&request.pool) else {
        return has_room_if_brittle(state, now_ms, request);
    };
    let tokens = request.memory_tokens();
    let memory_limit =
        (memory_share(request, scope) * engine.memory_tokens as f64) as u64;
    let own_zone = evacuation::preferred_zone(state, request);
    let mut targets = state
        .directory
        .accepting(&request.pool)
        .filter(|(target, entry)| {
            (entry.zone == *own_zone) == (scope == ZoneScope::OwnZone)
                && eligibility::permits(state, request, entry)
                && !state.health.is_ejected(now_ms, target)
                && eligibility::takes_request(state, now_ms, target)
        })
        .peekable();
    if targets.peek().is_none() {
        return scope == ZoneScope::OwnZone;
    }
    targets.any(|(target, entry)| {
        load_at(state, target).tokens.saturating_add(tokens) <= memory_limit
            && !is_brittle_and_full(state, now_ms, request, (target, entry))
    })
}

/// Returns true unless the targets of a request's pool are brittle and all are full.
fn has_room_if_brittle(state: &State, now_ms: u64, request: &Request) -> bool {
    !state.brittle_targets.is_brittle(now_ms, &request.pool)
        || eligibility::permitted_targets(state, request)
            .into_iter()
            .any(|target| !is_brittle_and_full(state, now_ms, request, target))
}

/// Returns true if a target would have to let a request wait, or turn it away, and may fall over
/// for that.
pub(super) fn is_brittle_and_full(
    state: &State,
    now_ms: u64,
    request: &Request,
    (target, entry): (&TargetName, &TargetEntry),
) -> bool {
    if !state.brittle_targets.is_brittle(now_ms, &entry.pool) {
        return false;
    }
    let load = load_at(state, target);
    let own_load = state.own_loads.get(target).copied().unwrap_or_default();
    let occupancy = Occupancy {
        target,
        slots: entry.slots,
        own_runs: own_load.runs,
        all_runs: load.runs,
    };
    let hosts = state.peers.fleet_size();
    let engine = request.configuration.engine(&request.pool);
    let has_memory = engine.is_none_or(|engine| {
        let memory_limit = (LONG_STREAM_SHARE * engine.memory_tokens as f64) as u64;
        load.tokens.saturating_add(request.memory_tokens()) <= memory_limit
    });
    !has_memory || !state.brittle_targets.has_room(now_ms, hosts, occupancy)
}

/// Dispatches a request to the best target, or refuses it.
pub(super) fn dispatch(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    if now_ms + ATTEMPT_MIN_MS > request.deadline_ms {
        return refuse(state, request_number, Reason::TooLate, None, effects);
    }
    if let Some(refused_ms) = crashes::refused_for_ms(state, now_ms, &request.incoming) {
        let reason = Reason::CrashesTargets;
        let retry_after_ms = Some(crashes::retry_after_ms(state, refused_ms));
        return refuse(state, request_number, reason, retry_after_ms, effects);
    }
    let is_keyed = !request.route().is_public;
    if is_keyed && !state.is_configuration_fresh(now_ms) {
        let retry_after_ms = Some(RETRY_AFTER_SHORT_MS);
        return refuse(
            state,
            request_number,
            Reason::StaleConfiguration,
            retry_after_ms,
            effects,
        );
    }
    let Some(selection) = select_for(state, now_ms, request_number, false) else {
        return refuse_without_target(state, now_ms, request_number, effects);
    };
    let listed = state.directory.get(&selection.target);
    let expired = state
        .expired_entries
        .get(&selection.target)
        .map(|(entry, _)| entry);
    let Some(entry) = listed.or(expired).cloned() else {
        return;
    };
    let inputs = DecisionInputs {
        configuration_version: state
            .configuration
            .as_ref()
            .map_or(0, |known| known.version),
        configuration_age_ms: state.configuration_age_ms(now_ms).unwrap_or(u64::MAX),
        host_list_version: state.directory.known_position().version,
        attempt: state.requests[&request_number].attempts + 1,
        cost: selection.cost,
        target_version: entry.software_version.clone(),
        live_peers: state.peers.live(now_ms).count(),
        limited_targets: state.limited_targets(),
        evacuated_zones: state.evacuations.len(),
    };
    let has_alternative =
        has_alternative(state, now_ms, request_number, &selection.target);
    let pending_tokens = load_at(state, &selection.target).prefill_tokens;
    let Some(request) = state.requests.get_mut(&request_number) else {
        return;
    };
    request.attempts += 1;
    request.dispatched_ms = now_ms;
    request.prefill_at_dispatch = pending_tokens + request.load().prefill_tokens;
    request.tried_targets.push(selection.target.clone());
    let added = request.load();
    request.placement = Some((selection.target.clone(), added));
    request.placed_ms = now_ms;
    request.target_started_unix_ms = entry.started_unix_ms;
    request.running_version.clone_from(&entry.software_version);
    request.answering_since_ms = None;
    let route = request.route();
    let remaining_ms = request.deadline_ms - now_ms;
    let attempt_timeout_ms = match route.retry_safety {
        // A slow answer is better than none.
        _ if !has_alternative => remaining_ms,
        RetrySafety::Idempotent if request.runs + 1 < route.runs_max => {
            route.latency_objective_ms
        }
        RetrySafety::ResumableStream if request.runs + 1 < route.runs_max => {
            STREAM_TIMEOUT_OBJECTIVES * route.latency_objective_ms
        }
        _ => remaining_ms,
    };
    let dispatch = Dispatch {
        request_number,
        target: selection.target.clone(),
        address: entry.address,
        organisation: request.organisation.clone(),
        priority: request.priority,
        deadline_ms: request.deadline_ms,
        attempt_deadline_ms: now_ms + attempt_timeout_ms.min(remaining_ms),
        retry_safety: route.retry_safety,
        inputs,
    };
    crashes::begin_trial(state, now_ms, request_number, effects);
    eligibility::take_permit(state, now_ms, &selection.target);
    state
        .own_loads
        .entry(selection.target)
        .or_default()
        .add(added);
    let is_stream = dispatch.retry_safety.is_stream();
    effects.push(Effect::Dispatch(Box::new(dispatch)));
    if is_stream {
        // Hosts that choose among the same engines need this load before their next
        // choice. Where zones are full, those are the hosts of all zones.
        messages::broadcast(state, now_ms, None, effects);
    }
}

/// Returns true if another target could take the request when the selected one is slow.
fn has_alternative(
    state: &State,
    now_ms: u64,
    request_number: RequestNumber,
    selected: &TargetName,
) -> bool {
    let Some(request) = state.requests.get(&request_number) else {
        return false;
    };
    eligibility::permitted_targets(state, request)
        .into_iter()
        .any(|(target, _)| {
            target != selected
                && !request.tried_targets.contains(target)
                && eligibility::takes_request(state, now_ms, target)
        })
}

/// Refuses a request for which there is no target, or none that takes it now.
fn refuse_without_target(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    let mut targets = state.usable_targets(&request.pool);
    let has_targets_anywhere = !targets.is_empty();
    targets.retain(|(_, entry)| eligibility::permits_zone(state, request, &entry.zone));
    let has_targets = !targets.is_empty();
    if evacuation::are_all_evacuated(state, request) {
        let retry_after_ms = RETRY_AFTER_FULL_MIN_MS
            + (random_unit(&mut state.rng_state) * RETRY_AFTER_FULL_SPREAD_MS) as u64;
        return refuse(
            state,
            request_number,
            Reason::ZonesEvacuated,
            Some(retry_after_ms),
            effects,
        );
    }
    let reason_without_target = if has_targets_anywhere && !has_targets {
        Reason::NoTargetAtHome
    } else {
        Reason::NoTarget
    };
    targets.retain(|(_, entry)| request.continuation.permits(entry));
    if has_targets && targets.is_empty() {
        // Waiting doesn't help: the caller has to begin the stream anew.
        return refuse(state, request_number, Reason::VersionGone, None, effects);
    }
    let untried = targets
        .iter()
        .map(|(target, _)| *target)
        .filter(|target| !request.tried_targets.contains(*target));
    let retry_at_ms =
        untried.filter_map(|target| eligibility::retry_at_ms(state, now_ms, target));
    let Some(retry_at_ms) = retry_at_ms.min() else {
        if handoff::is_last_resort(state, now_ms, request_number)
            && handoff::try_hand_off(state, now_ms, request_number, false, effects)
        {
            return;
        }
        let retry_after_ms = Some(RETRY_AFTER_LONG_MS);
        return refuse(
            state,
            request_number,
            reason_without_target,
            retry_after_ms,
            effects,
        );
    };
    let wait_ms = (retry_at_ms - now_ms).max(RETRY_AFTER_SHORT_MS);
    // Callers that are refused in the same moment return one after another.
    let spread_ms = random_unit(&mut state.rng_state) * RETRY_AFTER_LIMITED_SPREAD_MS;
    refuse(
        state,
        request_number,
        Reason::TargetsLimited,
        Some(wait_ms + spread_ms as u64),
        effects,
    );
}

pub(super) fn select_for(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    is_migration: bool,
) -> Option<Selection> {
    let request = state.requests.get(&request_number)?;
    let mut rng_state = state.rng_state;
    let configuration = &request.configuration;
    let engine = configuration.engine(&request.pool);
    let source = request.placement.as_ref().map(|(target, _)| target);
    let source_zone = source
        .and_then(|target| state.directory.get(target))
        .map(|entry| &entry.zone);
    let demand = Demand {
        zone: source_zone
            .filter(|_| is_migration)
            .unwrap_or_else(|| evacuation::preferred_zone(state, request)),
        tokens: request.memory_tokens(),
        prefill_tokens: request.load().prefill_tokens,
        is_stream: request.route().retry_safety.is_stream(),
        engine,
    };
    let continuation = if is_migration {
        Continuation::after(request.running_version.as_ref())
    } else {
        request.continuation.clone()
    };
    let tried_targets = &request.tried_targets;
    let candidates = state
        .usable_targets(&request.pool)
        .into_iter()
        .filter(|(target, entry)| {
            !tried_targets.contains(*target)
                && eligibility::permits_continuation(state, request, &continuation, entry)
                && eligibility::takes_request(state, now_ms, target)
                && !is_brittle_and_full(state, now_ms, request, (*target, *entry))
        })
        .map(|(target, entry)| Candidate {
            target,
            entry,
            load: load_at(state, target),
            is_in_slow_start: state
                .slow_start_until_ms
                .get(target)
                .is_some_and(|until_ms| now_ms < *until_ms)
                || state.cold_targets.is_cold(now_ms, target),
            departed_share: state.departures.share(now_ms, entry, &state.directory),
        });
    let selection = select_target(now_ms, candidates, demand, &state.health, || {
        random_unit(&mut rng_state)
    });
    state.rng_state = rng_state;
    selection
}

pub(super) fn load_at(state: &State, target: &TargetName) -> Load {
    let mut load = state.peers.load_at(target);
    if let Some(own) = state.own_loads.get(target) {
        load.add(*own);
    }
    load
}
