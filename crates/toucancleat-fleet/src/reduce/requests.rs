//! Handles requests from their arrival to their last attempt.

use toucancleat_core::prelude::*;

use super::migration::release_destination;
use super::placement::{dispatch, place};
use crate::budget::RetryBound;
use crate::configuration::{Repetition, Route};
use crate::event::Effect;
use crate::health::Observation;
use crate::peers::Load;
use crate::poison_requests::RETENTION_MS;
use crate::request::{Arrival, Outcome, Reason, Refusal, Request, Ticket};
use crate::settings::END_RESERVE_MS;
use crate::state::{State, random_unit};

/// Maximum number of dispatches of one request, including those that were declined.
const DISPATCHES_MAX: u32 = 4;

/// Remaining time below which another attempt is not worth its cost.
pub(super) const ATTEMPT_MIN_MS: u64 = 30;

/// Maximum age of the configuration at which an unknown route or key is denied as such.
/// About one reading interval plus one lost message; an older configuration may lack a
/// new route or key.
const DENIAL_AGE_MAX_MS: u64 = 1_600;

/// Number of latency objectives that must remain until a stopping process ends for it to
/// accept a request. Most requests end within one objective, and another host can take a
/// refused one.
const STOP_OBJECTIVES_MIN: u64 = 3;

/// Delay after which a caller may retry if the host only lacks up-to-date state.
pub(super) const RETRY_AFTER_SHORT_MS: u64 = 400;

/// Delay after which a caller may retry if targets are missing or full.
pub(super) const RETRY_AFTER_LONG_MS: u64 = 900;

/// Admits a new request and places it, or refuses it.
pub(super) fn handle_arrival(
    state: &mut State,
    now_ms: u64,
    ticket: Ticket,
    arrival: Arrival,
    effects: &mut Vec<Effect>,
) {
    match admit(state, now_ms, arrival) {
        Err(refusal) => effects.push(Effect::Refuse { ticket, refusal }),
        Ok(request) => {
            let window_ms = state.config.retry_window_ms;
            state
                .retry_budget
                .count_request(now_ms, window_ms, &request.pool);
            state.requests.insert(ticket, request);
            place(state, now_ms, ticket, effects);
        }
    }
}

fn admit(state: &mut State, now_ms: u64, arrival: Arrival) -> Result<Request, Refusal> {
    let not_run = |reason, retry_after_ms| Refusal {
        reason,
        verdict: Verdict::NotRun,
        retry_after_ms,
    };
    let Some(configuration) = state.configuration.clone() else {
        return Err(not_run(Reason::NoConfiguration, Some(RETRY_AFTER_SHORT_MS)));
    };
    let can_deny = state
        .configuration_age_ms(now_ms)
        .is_some_and(|age_ms| age_ms <= DENIAL_AGE_MAX_MS);
    let deny = |reason| {
        if can_deny {
            not_run(reason, None)
        } else {
            not_run(Reason::StaleConfiguration, Some(RETRY_AFTER_SHORT_MS))
        }
    };
    let Some((route_index, route)) =
        configuration.route_for(&arrival.hostname, &arrival.path)
    else {
        return Err(deny(Reason::NoRoute));
    };
    let organisation = arrival
        .key
        .as_ref()
        .and_then(|key| configuration.organisations.get(key));
    if organisation.is_none()
        && !route.is_public
        && !configuration.organisations.is_empty()
    {
        return Err(deny(Reason::UnknownKey));
    }
    if !route.is_public && !state.is_configuration_fresh(now_ms) {
        return Err(not_run(
            Reason::StaleConfiguration,
            Some(RETRY_AFTER_SHORT_MS),
        ));
    }
    if state.poison_requests.is_poison(now_ms, arrival.fingerprint) {
        return Err(not_run(Reason::CrashesTargets, Some(RETENTION_MS)));
    }
    if !can_end_before_stop(state, now_ms, route) {
        return Err(not_run(Reason::Stopping, Some(0)));
    }
    let Some(pool) = route.pick_pool(random_unit(&mut state.rng_state)).cloned() else {
        return Err(not_run(Reason::NoTarget, Some(RETRY_AFTER_LONG_MS)));
    };
    let organisation_name = organisation.map(|organisation| organisation.name.clone());
    let priority = organisation.and_then(|organisation| organisation.priority);
    let time_limit_ms = arrival
        .deadline_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    Ok(Request {
        organisation: organisation_name,
        priority: priority.unwrap_or(route.priority),
        arrived_ms: now_ms,
        give_up_at_ms: now_ms + time_limit_ms,
        pool,
        route_index,
        configuration,
        arrival,
        tried_targets: Vec::new(),
        runs: 0,
        dispatches: 0,
        verdict: Verdict::NotRun,
        placement: None,
        destination: None,
        has_migration_retry: false,
        generated_tokens: 0,
    })
}

/// Returns true if a request will most likely be answered before the process ends.
///
/// A stream of unknown length may not be, and another host can take it at once.
fn can_end_before_stop(state: &State, now_ms: u64, route: &Route) -> bool {
    let Some(since_ms) = state.stopping_since_ms else {
        return true;
    };
    let end_ms = (since_ms + state.config.stop_grace_ms).saturating_sub(END_RESERVE_MS);
    let needed_ms = STOP_OBJECTIVES_MIN * route.latency_objective_ms;
    route.repetition != Repetition::StreamOnce && now_ms + needed_ms <= end_ms
}

/// Records the progress of a stream and updates the load that is counted for it.
pub(super) fn handle_progress(state: &mut State, ticket: Ticket, events: u64) {
    let Some(request) = state.requests.get_mut(&ticket) else {
        return;
    };
    let event_tokens = request
        .configuration
        .engine(&request.pool)
        .map_or(1, |engine| engine.event_tokens);
    request.generated_tokens = events * event_tokens;
    let needed = request.load();
    let Some((target, counted_load)) = &mut request.placement else {
        return;
    };
    let load = state.own_loads.entry(target.clone()).or_default();
    load.subtract(*counted_load);
    load.add(needed);
    *counted_load = needed;
}

/// Handles the end of an attempt by another attempt, the target's answer or a refusal.
pub(super) fn handle_attempt_end(
    state: &mut State,
    now_ms: u64,
    ticket: Ticket,
    outcome: Outcome,
    effects: &mut Vec<Effect>,
) {
    let Some(target) = release_placement(state, ticket) else {
        return;
    };
    state.health.record(now_ms, &target, observation(outcome));
    let Some(request) = state.requests.get_mut(&ticket) else {
        return;
    };
    let fingerprint = request.arrival.fingerprint;
    match outcome {
        Outcome::Answered { .. } => {
            state.poison_requests.record_answer(now_ms, fingerprint)
        }
        Outcome::Broken => state
            .poison_requests
            .record_interruption(now_ms, fingerprint),
        _ => {}
    }
    let verdict = outcome.verdict();
    request.verdict = request.verdict.max(verdict);
    if verdict != Verdict::NotRun {
        request.runs += 1;
    }
    if matches!(outcome, Outcome::Answered { .. }) {
        return effects.push(Effect::PassOn { ticket });
    }
    if can_retry(state, now_ms, ticket, verdict) && take_retry(state, now_ms, ticket) {
        let effects_before = effects.len();
        dispatch(state, now_ms, ticket, effects);
        // An error answer at hand is more useful to the caller than a refusal.
        if outcome == Outcome::ErrorAnswer
            && matches!(effects.get(effects_before), Some(Effect::Refuse { .. }))
        {
            effects.truncate(effects_before);
            effects.push(Effect::PassOn { ticket });
        }
        return;
    }
    match outcome {
        Outcome::ErrorAnswer => effects.push(Effect::PassOn { ticket }),
        Outcome::Declined => {
            refuse(
                state,
                ticket,
                Reason::TargetsFull,
                Some(RETRY_AFTER_LONG_MS),
                effects,
            );
        }
        Outcome::Misdirected | Outcome::NotSent => {
            refuse(
                state,
                ticket,
                Reason::Unreachable,
                Some(RETRY_AFTER_SHORT_MS),
                effects,
            );
        }
        Outcome::Silent => refuse(state, ticket, Reason::TimedOut, None, effects),
        _ => refuse(state, ticket, Reason::TargetFailed, None, effects),
    }
}

fn observation(outcome: Outcome) -> Observation {
    match outcome {
        Outcome::Answered { took_ms } => Observation::Answered { took_ms },
        Outcome::ErrorAnswer => Observation::Failed,
        Outcome::Declined => Observation::Declined,
        Outcome::Misdirected | Outcome::NotSent | Outcome::Broken | Outcome::Silent => {
            Observation::ConnectionFailed
        }
    }
}

fn can_retry(state: &State, now_ms: u64, ticket: Ticket, verdict: Verdict) -> bool {
    let Some(request) = state.requests.get(&ticket) else {
        return false;
    };
    let route = request.route();
    let is_allowed = verdict.permits_retry(route.repetition.is_idempotent())
        && request
            .verdict
            .permits_retry(route.repetition.is_idempotent());
    is_allowed
        && !state
            .poison_requests
            .is_poison(now_ms, request.arrival.fingerprint)
        && request.runs < route.attempts_max
        && request.dispatches < DISPATCHES_MAX
        && now_ms + ATTEMPT_MIN_MS < request.give_up_at_ms
}

pub(super) fn take_retry(state: &mut State, now_ms: u64, ticket: Ticket) -> bool {
    let bound = RetryBound {
        ratio: state.config.retry_ratio,
        allowance: state.config.retry_allowance,
        window_ms: state.config.retry_window_ms,
        hosts: state.peers.fleet_size(),
        is_fully_connected: state
            .peers
            .is_fully_connected(now_ms, state.identity.incarnation),
    };
    let Some(request) = state.requests.get(&ticket) else {
        return false;
    };
    let pool = request.pool.clone();
    state.retry_budget.take_retry(now_ms, bound, &pool)
}

pub(super) fn refuse(
    state: &mut State,
    ticket: Ticket,
    reason: Reason,
    retry_after_ms: Option<u64>,
    effects: &mut Vec<Effect>,
) {
    let verdict = state
        .requests
        .get(&ticket)
        .map_or(Verdict::NotRun, |request| request.verdict);
    let refusal = Refusal {
        reason,
        verdict,
        retry_after_ms,
    };
    effects.push(Effect::Refuse { ticket, refusal });
}

/// Removes a request and the load that is counted for it.
pub(super) fn handle_close(state: &mut State, ticket: Ticket) {
    let is_stream = |request: &Request| request.route().repetition.is_stream();
    if state
        .requests
        .get(&ticket)
        .is_some_and(|request| is_stream(request) && request.dispatches > 0)
    {
        state.has_unsent_load = true;
    }
    release_placement(state, ticket);
    release_destination(state, ticket);
    state.requests.swap_remove(&ticket);
}

pub(super) fn release_placement(state: &mut State, ticket: Ticket) -> Option<TargetName> {
    let request = state.requests.get_mut(&ticket)?;
    let (target, counted_load) = request.placement.take()?;
    subtract_load(state, &target, counted_load);
    Some(target)
}

pub(super) fn subtract_load(state: &mut State, target: &TargetName, counted_load: Load) {
    if let Some(load) = state.own_loads.get_mut(target) {
        load.subtract(counted_load);
        if load.runs == 0 {
            state.own_loads.swap_remove(target);
        }
    }
}
