//! Handles requests from their arrival to their last attempt.

use toucancleat_core::prelude::*;

use super::migration::release_destination;
use super::placement::{dispatch, place};
use super::{cold, contention, crashes, handoff, messages, migration, origins, restarts};
use crate::budget::{RetryBound, RetryOutcome};
use crate::config::EXIT_RESERVE_MS;
use crate::configuration::{RetrySafety, Route};
use crate::confinement::Confinement;
use crate::continuation::Continuation;
use crate::event::{Effect, LogEvent};
use crate::health::HealthSample;
use crate::peers::Load;
use crate::poison_parts::SOUND_AFTER_MS;
use crate::request::{
    AttemptOutcome, IncomingRequest, Reason, Refusal, Request, RequestNumber,
};
use crate::state::{State, random_unit};

/// Maximum number of attempts at one request, including those that were declined.
const ATTEMPTS_MAX: u32 = 4;

/// Minimum remaining time for another attempt; with less it most likely costs more than it
/// gains.
pub(super) const ATTEMPT_MIN_MS: u64 = 30;

/// Maximum age of the configuration at which a request with an unknown route or key is
/// refused as unknown. About one reading interval plus one lost message; an older
/// configuration may lack a new route or key.
const UNKNOWN_REFUSAL_AGE_MAX_MS: u64 = 1_600;

/// Number of latency objectives that must remain until a stopping process ends for it to
/// accept a request that may be repeated. Most requests end within one objective, and another host
/// can take a refused one.
const STOP_OBJECTIVES_MIN: u64 = 3;

/// Time after the request to stop from which any request is accepted only if it ends before the process
/// in any case. The platform has stopped sending new callers then, unless most hosts of the zone
/// are stopping.
const STOP_ACCEPT_MS: u64 = 2_900;

/// Delay after which a caller may retry if the host only lacks up-to-date state.
pub(super) const RETRY_AFTER_SHORT_MS: u64 = 400;

/// Delay after which a caller may retry if targets are missing or full.
pub(super) const RETRY_AFTER_LONG_MS: u64 = 900;

/// Admits a new request and places it, or refuses it.
pub(super) fn handle_request(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    incoming: IncomingRequest,
    effects: &mut Vec<Effect>,
) {
    match admit(state, now_ms, incoming) {
        Err(refusal) => effects.push(Effect::Refuse {
            request_number,
            refusal,
        }),
        Ok(request) => {
            // A request that was handed off counts at the host that its caller sent it to.
            if !request.incoming.is_handed_off {
                let window_ms = state.config.retry_window_ms;
                state
                    .retry_budget
                    .count_request(now_ms, window_ms, &request.pool);
            }
            let is_resumption = request.incoming.is_resumption
                && request.route().retry_safety.is_stream();
            state.requests.insert(request_number, request);
            if is_resumption {
                origins::resume(state, now_ms, request_number, effects);
            } else {
                place(state, now_ms, request_number, effects);
            }
        }
    }
}

fn admit(
    state: &mut State,
    now_ms: u64,
    incoming: IncomingRequest,
) -> Result<Request, Refusal> {
    let not_run = |reason, retry_after_ms| Refusal {
        reason,
        verdict: Verdict::NotRun,
        retry_after_ms,
    };
    let Some(configuration) = state.configuration.clone() else {
        return Err(not_run(Reason::NoConfiguration, Some(RETRY_AFTER_SHORT_MS)));
    };
    let is_recently_confirmed = state
        .configuration_age_ms(now_ms)
        .is_some_and(|age_ms| age_ms <= UNKNOWN_REFUSAL_AGE_MAX_MS);
    let refuse_as_unknown = |reason| {
        if is_recently_confirmed {
            not_run(reason, None)
        } else {
            not_run(Reason::StaleConfiguration, Some(RETRY_AFTER_SHORT_MS))
        }
    };
    let Some((route_index, route)) =
        configuration.route_for(&incoming.hostname, &incoming.path)
    else {
        return Err(refuse_as_unknown(Reason::NoRoute));
    };
    let organisation = incoming
        .api_key
        .as_ref()
        .and_then(|api_key| configuration.organisations.get(api_key));
    let requires_keys = configuration.requires_keys || state.config.has_organisations;
    if organisation.is_none() && !route.is_public && requires_keys {
        return Err(refuse_as_unknown(Reason::UnknownKey));
    }
    if !route.is_public && !state.is_configuration_fresh(now_ms) {
        return Err(not_run(
            Reason::StaleConfiguration,
            Some(RETRY_AFTER_SHORT_MS),
        ));
    }
    if let Some(refused_ms) = crashes::refused_for_ms(state, now_ms, &incoming) {
        let retry_after_ms = crashes::retry_after_ms(state, refused_ms);
        return Err(not_run(Reason::CrashesTargets, Some(retry_after_ms)));
    }
    let time_limit_ms = incoming
        .time_limit_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    if !can_end_before_stop(state, now_ms, route, time_limit_ms) {
        return Err(not_run(Reason::Stopping, Some(0)));
    }
    let Some(pool) = route.pick_pool(random_unit(&mut state.rng_state)).cloned() else {
        return Err(not_run(Reason::NoTarget, Some(RETRY_AFTER_LONG_MS)));
    };
    let homes = Confinement::new(&configuration, route, incoming.api_key.as_deref());
    let has_confining_regions = !homes.is_empty() && !state.config.regions.is_empty();
    let organisation_name = organisation.map(|organisation| organisation.name.clone());
    let priority = organisation.and_then(|organisation| organisation.priority);
    Ok(Request {
        organisation: organisation_name,
        priority: priority.unwrap_or(route.priority),
        arrived_ms: now_ms,
        deadline_ms: now_ms + time_limit_ms,
        pool,
        has_confining_regions,
        route_index,
        configuration,
        incoming,
        tried_targets: Vec::new(),
        tried_hosts: Vec::new(),
        dispatched_ms: now_ms,
        prefill_at_dispatch: 0,
        runs: 0,
        attempts: 0,
        verdict: Verdict::NotRun,
        placement: None,
        placed_ms: now_ms,
        target_started_unix_ms: None,
        running_version: None,
        answering_since_ms: None,
        continuation: Continuation::AnyVersion,
        destination: None,
        has_migration_retry: false,
        migration_obstacle: None,
        is_trial: false,
        generated_tokens: 0,
    })
}

/// Returns true if a request ends before the process does: most likely if it may be repeated, and in any
/// case if it may not, if it is a stream, or if it comes late.
///
/// What is cut off at the end may have run, and its caller has waited in vain. Another host can take a
/// refused request at once. The latency objective of a stream is the time to its first event and says
/// nothing about its end.
fn can_end_before_stop(
    state: &State,
    now_ms: u64,
    route: &Route,
    time_limit_ms: u64,
) -> bool {
    let Some(since_ms) = state.stopping_since_ms else {
        return true;
    };
    let end_ms = (since_ms + state.config.stop_grace_ms).saturating_sub(EXIT_RESERVE_MS);
    let likely_ms = STOP_OBJECTIVES_MIN * route.latency_objective_ms;
    let needed_ms = match route.retry_safety {
        // Its length isn't known.
        RetrySafety::AtMostOnceStream => return false,
        RetrySafety::Idempotent if now_ms <= since_ms + STOP_ACCEPT_MS => likely_ms,
        RetrySafety::Idempotent => likely_ms.max(time_limit_ms),
        RetrySafety::AtMostOnce | RetrySafety::ResumableStream => time_limit_ms,
    };
    now_ms + needed_ms <= end_ms
}

/// Refuses the requests that have not begun to be answered, since the process has to exit.
pub(super) fn refuse_unanswered(state: &mut State, effects: &mut Vec<Effect>) {
    for (request_number, request) in &state.requests {
        if request.answering_since_ms.is_some() {
            continue;
        }
        let is_sent = request.placement.is_some() || !request.tried_hosts.is_empty();
        let verdict = if is_sent {
            request.verdict.max(Verdict::MayHaveRun)
        } else {
            request.verdict
        };
        effects.push(Effect::Refuse {
            request_number: *request_number,
            refusal: Refusal {
                reason: Reason::Stopping,
                verdict,
                // Another host can take it at once.
                retry_after_ms: (verdict == Verdict::NotRun).then_some(0),
            },
        });
    }
}

/// Records the progress of a stream and updates the load that is counted for it.
pub(super) fn handle_progress(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    events: u64,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get_mut(&request_number) else {
        return;
    };
    let mut is_first = false;
    if events > 0 {
        if request.answering_since_ms.is_none() && request.generated_tokens == 0 {
            contention::record_first_event(&mut state.contention, now_ms, request);
        }
        is_first = request.answering_since_ms.is_none();
        let since_ms = *request.answering_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) >= SOUND_AFTER_MS {
            crashes::record_answer(state, now_ms, request_number, effects);
        }
    }
    let Some(request) = state.requests.get_mut(&request_number) else {
        return;
    };
    let event_tokens = request
        .configuration
        .engine(&request.pool)
        .map_or(1, |engine| engine.event_tokens);
    request.generated_tokens = events * event_tokens;
    if events > 0 && request.continuation == Continuation::AnyVersion {
        request.continuation = Continuation::after(request.running_version.as_ref());
    }
    if is_first {
        origins::record(state, now_ms, request_number, effects);
    }
    let Some(request) = state.requests.get_mut(&request_number) else {
        return;
    };
    let needed = request.load();
    let Some((target, counted_load)) = &mut request.placement else {
        return;
    };
    let load = state.own_loads.entry(target.clone()).or_default();
    load.subtract(*counted_load);
    load.add(needed);
    *counted_load = needed;
    if is_first {
        migration::leave_late(state, now_ms, request_number, effects);
    }
}

/// Handles the end of an attempt: dispatches another one, forwards the target's answer or
/// refuses the request.
pub(super) fn handle_attempt_end(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    outcome: AttemptOutcome,
    effects: &mut Vec<Effect>,
) {
    if outcome == AttemptOutcome::Interrupted {
        crashes::handle_interruption(state, now_ms, request_number, effects);
    }
    crashes::end_trial(state, request_number);
    let Some(target) = release_placement(state, request_number) else {
        return;
    };
    if !restarts::is_of_earlier_start(state, request_number, &target) {
        state.health.record(now_ms, &target, health_sample(outcome));
        cold::record_outcome(state, now_ms, &target, outcome);
    }
    let Some(request) = state.requests.get_mut(&request_number) else {
        return;
    };
    let pool = request.pool.clone();
    let dispatched_ms = request.dispatched_ms;
    if outcome == AttemptOutcome::Declined
        && state.brittle_targets.is_brittle(now_ms, &pool)
    {
        let host = &state.identity.host;
        state
            .brittle_targets
            .record_rejection(now_ms, host, &target);
        // By the next tick, peers may have sent as many requests as the target can turn away.
        messages::broadcast(state, now_ms, None, effects);
    }
    match outcome {
        AttemptOutcome::NotSent => {
            handoff::record_failure(state, now_ms, &pool, &target, effects)
        }
        AttemptOutcome::Answered { .. }
        | AttemptOutcome::ErrorAnswer
        | AttemptOutcome::Declined
        | AttemptOutcome::Misdirected => {
            handoff::record_reached(state, dispatched_ms, &pool, effects)
        }
        _ => {}
    }
    if matches!(outcome, AttemptOutcome::Answered { .. }) {
        crashes::record_answer(state, now_ms, request_number, effects);
    }
    let Some(request) = state.requests.get_mut(&request_number) else {
        return;
    };
    let verdict = outcome.verdict();
    request.verdict = request.verdict.max(verdict);
    if verdict != Verdict::NotRun {
        request.runs += 1;
    }
    if matches!(outcome, AttemptOutcome::Answered { .. }) {
        return effects.push(Effect::ForwardAnswer { request_number });
    }
    // Nothing has reached a target, so this isn't a retry.
    let is_lost = state.pool_paths.is_lost(&pool);
    if outcome == AttemptOutcome::NotSent
        && is_lost
        && handoff::try_hand_off(state, now_ms, request_number, false, effects)
    {
        return;
    }
    // The budget bounds what targets get beyond the first of each request.
    let has_arrived = outcome != AttemptOutcome::NotSent;
    if can_retry(state, now_ms, request_number, verdict)
        && (!has_arrived || take_retry(state, now_ms, request_number, effects))
    {
        let effects_before = effects.len();
        dispatch(state, now_ms, request_number, effects);
        // An error answer that was already received is more useful to the caller than a
        // refusal.
        if outcome == AttemptOutcome::ErrorAnswer
            && matches!(effects.get(effects_before), Some(Effect::Refuse { .. }))
        {
            effects.truncate(effects_before);
            effects.push(Effect::ForwardAnswer { request_number });
        }
        return;
    }
    match outcome {
        AttemptOutcome::ErrorAnswer => {
            effects.push(Effect::ForwardAnswer { request_number })
        }
        AttemptOutcome::Declined => {
            refuse(
                state,
                request_number,
                Reason::TargetsFull,
                Some(RETRY_AFTER_LONG_MS),
                effects,
            );
        }
        AttemptOutcome::NotSent
            if handoff::is_last_resort(state, now_ms, request_number)
                && handoff::try_hand_off(
                    state,
                    now_ms,
                    request_number,
                    false,
                    effects,
                ) => {}
        AttemptOutcome::Misdirected | AttemptOutcome::NotSent => {
            refuse(
                state,
                request_number,
                Reason::Unreachable,
                Some(RETRY_AFTER_SHORT_MS),
                effects,
            );
        }
        AttemptOutcome::TimedOut => {
            refuse(state, request_number, Reason::TimedOut, None, effects)
        }
        _ => refuse(state, request_number, Reason::TargetFailed, None, effects),
    }
}

fn health_sample(outcome: AttemptOutcome) -> HealthSample {
    match outcome {
        AttemptOutcome::Answered { took_ms } => HealthSample::Answered { took_ms },
        AttemptOutcome::ErrorAnswer => HealthSample::Failed,
        AttemptOutcome::Declined => HealthSample::Declined,
        AttemptOutcome::NotSent => HealthSample::Unreached,
        AttemptOutcome::Misdirected
        | AttemptOutcome::Interrupted
        | AttemptOutcome::TimedOut => HealthSample::ConnectionFailed,
    }
}

fn can_retry(
    state: &State,
    now_ms: u64,
    request_number: RequestNumber,
    verdict: Verdict,
) -> bool {
    let Some(request) = state.requests.get(&request_number) else {
        return false;
    };
    let route = request.route();
    let is_allowed = verdict.permits_retry(route.retry_safety.is_idempotent())
        && request
            .verdict
            .permits_retry(route.retry_safety.is_idempotent());
    is_allowed
        && crashes::refused_for_ms(state, now_ms, &request.incoming).is_none()
        && request.runs < route.runs_max
        && request.attempts < ATTEMPTS_MAX
        && now_ms + ATTEMPT_MIN_MS < request.deadline_ms
}

/// Returns the bound on the retries of the whole fleet, as far as this host knows the fleet.
pub(super) fn retry_bound(state: &State, now_ms: u64) -> RetryBound {
    RetryBound {
        ratio: state.config.retry_ratio,
        allowance: state.config.retry_allowance,
        window_ms: state.config.retry_window_ms,
        hosts: state.peers.fleet_size(),
        is_fully_connected: state
            .peers
            .is_fully_connected(now_ms, state.identity.incarnation),
    }
}

/// Takes a retry for an arrival beyond the first of a request, and logs the decision.
pub(super) fn take_retry(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) -> bool {
    let bound = retry_bound(state, now_ms);
    let Some(request) = state.requests.get(&request_number) else {
        return false;
    };
    let decision = state.retry_budget.take_retry(now_ms, bound, &request.pool);
    effects.push(Effect::Log(LogEvent::RetryDecided {
        attempt_id: request.incoming.attempt_id.clone(),
        pool: request.pool.clone(),
        decision,
    }));
    if decision.outcome == RetryOutcome::Shared {
        // Peers count what this host has used beyond its guaranteed share only once they have
        // been told, also after it was killed.
        state.must_broadcast = true;
    }
    decision.outcome.is_taken()
}

pub(super) fn refuse(
    state: &mut State,
    request_number: RequestNumber,
    reason: Reason,
    retry_after_ms: Option<u64>,
    effects: &mut Vec<Effect>,
) {
    let verdict = state
        .requests
        .get(&request_number)
        .map_or(Verdict::MayHaveRun, |request| request.verdict);
    let refusal = Refusal {
        reason,
        verdict,
        retry_after_ms,
    };
    effects.push(Effect::Refuse {
        request_number,
        refusal,
    });
}

/// Removes a request and the load that is counted for it.
pub(super) fn handle_close(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
) {
    contention::record_end(state, now_ms, request_number);
    let is_stream = |request: &Request| request.route().retry_safety.is_stream();
    if state
        .requests
        .get(&request_number)
        .is_some_and(|request| is_stream(request) && request.attempts > 0)
    {
        state.has_unsent_load = true;
    }
    release_placement(state, request_number);
    release_destination(state, request_number);
    state.stream_origins.cancel_lookup(request_number);
    state.requests.swap_remove(&request_number);
}

pub(super) fn release_placement(
    state: &mut State,
    request_number: RequestNumber,
) -> Option<TargetName> {
    let request = state.requests.get_mut(&request_number)?;
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
