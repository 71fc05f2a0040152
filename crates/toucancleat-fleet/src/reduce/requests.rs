//! What becomes of requests, from their arrival to their last attempt.

use toucancleat_core::prelude::*;

use super::moves::release_destination;
use super::placing::{dispatch, place};
use crate::budget::Bound;
use crate::configuration::{Repetition, Route};
use crate::crashers::REMEMBER_MS;
use crate::event::Effect;
use crate::health::Evidence;
use crate::peers::Load;
use crate::request::{Arrival, Outcome, Reason, Refusal, Request, Ticket};
use crate::settings::END_RESERVE_MS;
use crate::state::{State, draw};

/// Most sends of one request, declined ones included.
const SENDS_MAX: u32 = 4;

/// Time below which another attempt is not worth its cost.
pub(super) const ATTEMPT_MIN_MS: u64 = 30;

/// Age up to which the configuration is trusted to be complete enough for saying that a
/// route or a key doesn't exist; about what a reader's interval and one lost message take.
const DENY_AGE_MAX_MS: u64 = 1_600;

/// Latency objectives that must be left until a stopping process ends, for it to take a
/// request that is still sent here; most end within one, and another host can take it.
const STOP_OBJECTIVES: u64 = 3;

/// Time after which a caller may come back where the host only lacks knowledge.
pub(super) const RETRY_SOON_MS: u64 = 400;

/// Time after which a caller may come back where targets are missing or full.
pub(super) const RETRY_LATER_MS: u64 = 900;

/// Takes a new request.
pub(super) fn arrived(
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
            state.budget.count_request(now_ms, window_ms, &request.pool);
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
        return Err(not_run(Reason::NoConfiguration, Some(RETRY_SOON_MS)));
    };
    let may_deny = state
        .configuration_age_ms(now_ms)
        .is_some_and(|age_ms| age_ms <= DENY_AGE_MAX_MS);
    let deny = |reason| {
        if may_deny {
            not_run(reason, None)
        } else {
            not_run(Reason::StaleConfiguration, Some(RETRY_SOON_MS))
        }
    };
    let Some((place, route)) = configuration.route_for(&arrival.hostname, &arrival.path)
    else {
        return Err(deny(Reason::NoRoute));
    };
    let holder = arrival
        .key
        .as_ref()
        .and_then(|key| configuration.organisations.get(key));
    if holder.is_none() && !route.is_public && !configuration.organisations.is_empty() {
        return Err(deny(Reason::UnknownKey));
    }
    if !route.is_public && !state.is_fresh(now_ms) {
        return Err(not_run(Reason::StaleConfiguration, Some(RETRY_SOON_MS)));
    }
    if state.crashers.is_refused(now_ms, arrival.fingerprint) {
        return Err(not_run(Reason::CrashesTargets, Some(REMEMBER_MS)));
    }
    if !can_end_before_stop(state, now_ms, route) {
        return Err(not_run(Reason::Stopping, Some(0)));
    }
    let Some(pool) = route.pick_pool(draw(&mut state.random)).cloned() else {
        return Err(not_run(Reason::NoTarget, Some(RETRY_LATER_MS)));
    };
    let organisation = holder.map(|holder| holder.name.clone());
    let rank = holder.and_then(|holder| holder.priority);
    let wait_ms = arrival
        .deadline_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    Ok(Request {
        organisation,
        priority: rank.unwrap_or(route.priority),
        arrived_ms: now_ms,
        give_up_at_ms: now_ms + wait_ms,
        pool,
        route: place,
        configuration,
        arrival,
        tried: Vec::new(),
        runs: 0,
        sends: 0,
        verdict: Verdict::NotRun,
        running: None,
        moving_to: None,
        has_move: false,
        made_tokens: 0,
    })
}

/// Says whether a request will most likely have its answer before the process ends.
///
/// A stream of unknown length may not, and another host can take it at once.
fn can_end_before_stop(state: &State, now_ms: u64, route: &Route) -> bool {
    let Some(since_ms) = state.stopping_since_ms else {
        return true;
    };
    let end_ms = (since_ms + state.config.stop_grace_ms).saturating_sub(END_RESERVE_MS);
    let needed_ms = STOP_OBJECTIVES * route.latency_objective_ms;
    route.repetition != Repetition::StreamOnce && now_ms + needed_ms <= end_ms
}

/// Notes how far a stream has come.
pub(super) fn progressed(state: &mut State, ticket: Ticket, events: u64) {
    let Some(request) = state.requests.get_mut(&ticket) else {
        return;
    };
    let event_tokens = request
        .configuration
        .engine(&request.pool)
        .map_or(1, |engine| engine.event_tokens);
    request.made_tokens = events * event_tokens;
    let needed = request.load();
    let Some((target, counted)) = &mut request.running else {
        return;
    };
    let load = state.loads.entry(target.clone()).or_default();
    load.part(*counted);
    load.join(needed);
    *counted = needed;
}

/// Takes the end of an attempt: another attempt, the target's answer, or a refusal.
pub(super) fn attempt_ended(
    state: &mut State,
    now_ms: u64,
    ticket: Ticket,
    outcome: Outcome,
    effects: &mut Vec<Effect>,
) {
    let Some(target) = release(state, ticket) else {
        return;
    };
    state.health.note(now_ms, &target, evidence(outcome));
    let Some(request) = state.requests.get_mut(&ticket) else {
        return;
    };
    let fingerprint = request.arrival.fingerprint;
    match outcome {
        Outcome::Answered { .. } => state.crashers.note_answered(now_ms, fingerprint),
        Outcome::Broken => state.crashers.note_broken(now_ms, fingerprint),
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
    if may_try_again(state, now_ms, ticket, verdict) && take_retry(state, now_ms, ticket)
    {
        let before = effects.len();
        dispatch(state, now_ms, ticket, effects);
        // An error answer at hand is better than none at all.
        if outcome == Outcome::ErrorAnswer
            && matches!(effects.get(before), Some(Effect::Refuse { .. }))
        {
            effects.truncate(before);
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
                Some(RETRY_LATER_MS),
                effects,
            );
        }
        Outcome::Misdirected | Outcome::NotSent => {
            refuse(
                state,
                ticket,
                Reason::Unreachable,
                Some(RETRY_SOON_MS),
                effects,
            );
        }
        Outcome::Silent => refuse(state, ticket, Reason::TimedOut, None, effects),
        _ => refuse(state, ticket, Reason::TargetFailed, None, effects),
    }
}

fn evidence(outcome: Outcome) -> Evidence {
    match outcome {
        Outcome::Answered { took_ms } => Evidence::Answered { took_ms },
        Outcome::ErrorAnswer => Evidence::Failed,
        Outcome::Declined => Evidence::Declined,
        Outcome::Misdirected | Outcome::NotSent | Outcome::Broken | Outcome::Silent => {
            Evidence::Broken
        }
    }
}

fn may_try_again(state: &State, now_ms: u64, ticket: Ticket, verdict: Verdict) -> bool {
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
            .crashers
            .is_refused(now_ms, request.arrival.fingerprint)
        && request.runs < route.attempts_max
        && request.sends < SENDS_MAX
        && now_ms + ATTEMPT_MIN_MS < request.give_up_at_ms
}

pub(super) fn take_retry(state: &mut State, now_ms: u64, ticket: Ticket) -> bool {
    let bound = Bound {
        ratio: state.config.retry_ratio,
        allowance: state.config.retry_allowance,
        window_ms: state.config.retry_window_ms,
        hosts: state.peers.fleet_size(),
        hears_all: state.peers.hears_all(now_ms, state.identity.incarnation),
    };
    let Some(request) = state.requests.get(&ticket) else {
        return false;
    };
    let pool = request.pool.clone();
    state.budget.take_retry(now_ms, bound, &pool)
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

/// Forgets a request.
pub(super) fn closed(state: &mut State, ticket: Ticket) {
    let is_stream = |request: &Request| request.route().repetition.is_stream();
    if state
        .requests
        .get(&ticket)
        .is_some_and(|request| is_stream(request) && request.sends > 0)
    {
        state.has_untold_load = true;
    }
    release(state, ticket);
    release_destination(state, ticket);
    state.requests.swap_remove(&ticket);
}

pub(super) fn release(state: &mut State, ticket: Ticket) -> Option<TargetName> {
    let request = state.requests.get_mut(&ticket)?;
    let (target, counted) = request.running.take()?;
    take_off(state, &target, counted);
    Some(target)
}

pub(super) fn take_off(state: &mut State, target: &TargetName, counted: Load) {
    if let Some(load) = state.loads.get_mut(target) {
        load.part(counted);
        if load.runs == 0 {
            state.loads.swap_remove(target);
        }
    }
}
