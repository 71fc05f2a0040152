//! What becomes of requests.

use toucancleat_core::prelude::*;

use super::speech;
use crate::budget::Bound;
use crate::choice::{Candidate, Choice, Demand, choose};
use crate::configuration::Repetition;
use crate::event::Effect;
use crate::health::Evidence;
use crate::peers::Load;
use crate::request::{
    Arrival, Basis, Dispatch, Outcome, Reason, Refusal, Request, Ticket,
};
use crate::spreading::{self, Destination, HostRuns, Source};
use crate::state::{State, draw};
use crate::target::TargetEntry;

/// Most sends of one request, declined ones included.
const SENDS_MAX: u32 = 4;

/// Time below which another attempt is not worth its cost.
const ATTEMPT_MIN_MS: u64 = 30;

/// Age up to which the configuration is trusted to be complete enough for saying that a
/// route or a key doesn't exist; about what a reader's interval and one lost message take.
const DENY_AGE_MAX_MS: u64 = 1_600;

/// Time after which a caller may come back where the host only lacks knowledge.
const RETRY_SOON_MS: u64 = 400;

/// Time after which a caller may come back where targets are missing or full.
const RETRY_LATER_MS: u64 = 900;

/// Part of the latency objective that a request may wait here for room, as a divisor. A
/// caller who is told within that time loses little by coming back.
const WAIT_DIVISOR: u64 = 8;

/// Shortest time after which a caller may come back where all engines are full; about what
/// a long stream still runs for.
const COME_BACK_MIN_MS: u64 = 2_000;

/// Span over which callers are spread who come back, so that they don't come at once.
const COME_BACK_SPREAD_MS: f64 = 4_000.0;

/// Share of an engine's memory up to which it takes long streams; the rest is for what
/// they grow by, for short streams and for runs that move there.
const LONG_STREAM_SHARE: f64 = 0.88;

/// Share of an engine's memory up to which it takes short streams.
const SHORT_STREAM_SHARE: f64 = 0.97;

/// Share of the memory of an engine in another zone up to which it is used when the own
/// zone is full. What is known of it is older, and hosts of several zones may come.
const OTHER_ZONE_SHARE: f64 = 0.7;

/// Times the latency objective that a stream that may be run again is waited for.
const STREAM_PATIENCE: u64 = 2;

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
    let Some(route) = configuration.route_for(&arrival.hostname, &arrival.path) else {
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
    // A stream of unknown length may not end within the time to stop, and another host
    // can take it at once.
    if state.stopping_since_ms.is_some() && route.repetition == Repetition::StreamOnce {
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
    let place = configuration
        .routes
        .iter()
        .position(|other| std::ptr::eq(other, route))
        .unwrap_or_default();
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
        made_tokens: 0,
    })
}

/// Sends a request to a target, or lets it wait while all engines are full.
///
/// An engine that runs out of memory throws out a run that has begun and reads its prompt
/// anew, which costs every run there; a request that has not begun waits for less.
fn place(state: &mut State, now_ms: u64, ticket: Ticket, effects: &mut Vec<Effect>) {
    let Some(request) = state.requests.get(&ticket) else {
        return;
    };
    if has_room(state, now_ms, request, Reach::OwnZone) {
        return dispatch(state, now_ms, ticket, effects);
    }
    let objective_ms = request.route().latency_objective_ms;
    let waited_ms = now_ms.saturating_sub(request.arrived_ms);
    if waited_ms < objective_ms / WAIT_DIVISOR {
        state.waiting.push(ticket);
    } else if has_room(state, now_ms, request, Reach::OtherZones) {
        dispatch(state, now_ms, ticket, effects);
    } else {
        let retry_ms =
            COME_BACK_MIN_MS + (draw(&mut state.random) * COME_BACK_SPREAD_MS) as u64;
        refuse(state, ticket, Reason::TargetsFull, Some(retry_ms), effects);
    }
}

/// Sends the requests that wait and now have room, the most urgent first.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let mut waiting = std::mem::take(&mut state.waiting);
    waiting.retain(|ticket| state.requests.contains_key(ticket));
    waiting.sort_by_key(|ticket| {
        let request = &state.requests[ticket];
        let due_ms = request.arrived_ms + request.route().latency_objective_ms;
        (request.priority, due_ms)
    });
    for ticket in waiting {
        place(state, now_ms, ticket, effects);
    }
}

/// Which zones' engines are looked at for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    OwnZone,
    OtherZones,
}

/// Says whether a request can start at some target now.
///
/// Plain services take what comes, and where the zone has no engine that works there is
/// no point in waiting for one.
fn has_room(state: &State, now_ms: u64, request: &Request, reach: Reach) -> bool {
    let Some(engine) = request.configuration.engine(&request.pool) else {
        return true;
    };
    let share = match (reach, request.route().repetition) {
        (Reach::OtherZones, _) => OTHER_ZONE_SHARE,
        (Reach::OwnZone, Repetition::StreamOnce) => LONG_STREAM_SHARE,
        (Reach::OwnZone, _) => SHORT_STREAM_SHARE,
    };
    let tokens = request.memory_tokens();
    let room_for = (share * engine.memory_tokens as f64) as u64;
    let own_zone = &state.identity.zone;
    let mut reached = state
        .directory
        .ready(&request.pool)
        .filter(|(target, entry)| {
            (entry.zone == *own_zone) == (reach == Reach::OwnZone)
                && !state.health.is_avoided(now_ms, target)
        })
        .peekable();
    if reached.peek().is_none() {
        return reach == Reach::OwnZone;
    }
    reached.any(|(target, _)| load_at(state, target).tokens + tokens <= room_for)
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

/// Sends a request to the best target, or refuses it.
fn dispatch(state: &mut State, now_ms: u64, ticket: Ticket, effects: &mut Vec<Effect>) {
    let Some(request) = state.requests.get(&ticket) else {
        return;
    };
    if now_ms + ATTEMPT_MIN_MS > request.give_up_at_ms {
        return refuse(state, ticket, Reason::TooLate, None, effects);
    }
    let is_keyed = !request.route().is_public;
    if is_keyed && !state.is_fresh(now_ms) {
        let retry_ms = Some(RETRY_SOON_MS);
        return refuse(state, ticket, Reason::StaleConfiguration, retry_ms, effects);
    }
    let Some(choice) = choose_for(state, now_ms, ticket, false) else {
        let retry_ms = Some(RETRY_LATER_MS);
        return refuse(state, ticket, Reason::NoTarget, retry_ms, effects);
    };
    let listed = state.directory.get(&choice.target);
    let lapsed = state.lapsed.get(&choice.target).map(|(entry, _)| entry);
    let Some(entry) = listed.or(lapsed).cloned() else {
        return;
    };
    let basis = Basis {
        configuration_version: state
            .configuration
            .as_ref()
            .map_or(0, |known| known.version),
        configuration_age_ms: state.configuration_age_ms(now_ms).unwrap_or(u64::MAX),
        targets_version: state.directory.known_version(),
        attempt: state.requests[&ticket].sends + 1,
        cost: choice.cost,
        hosts_heard: state.peers.heard(now_ms).count(),
    };
    let Some(request) = state.requests.get_mut(&ticket) else {
        return;
    };
    request.sends += 1;
    request.tried.push(choice.target.clone());
    let added = request.load();
    request.running = Some((choice.target.clone(), added));
    let route = request.route();
    let left_ms = request.give_up_at_ms - now_ms;
    let patience_ms = match route.repetition {
        Repetition::Idempotent if request.runs + 1 < route.attempts_max => {
            route.latency_objective_ms
        }
        Repetition::ResumableStream if request.runs + 1 < route.attempts_max => {
            STREAM_PATIENCE * route.latency_objective_ms
        }
        _ => left_ms,
    };
    let dispatch = Dispatch {
        ticket,
        target: choice.target.clone(),
        address: entry.address,
        organisation: request.organisation.clone(),
        priority: request.priority,
        give_up_at_ms: request.give_up_at_ms,
        answer_by_ms: now_ms + patience_ms.min(left_ms),
        repetition: route.repetition,
        basis,
    };
    state.loads.entry(choice.target).or_default().join(added);
    let is_stream = dispatch.repetition.is_stream();
    effects.push(Effect::Dispatch(Box::new(dispatch)));
    if is_stream {
        // Hosts that choose among the same engines learn of it before they choose next.
        speech::say_to_zones(state, now_ms, &entry.zone, effects);
    }
}

fn choose_for(
    state: &mut State,
    now_ms: u64,
    ticket: Ticket,
    is_move: bool,
) -> Option<Choice> {
    let request = state.requests.get(&ticket)?;
    let mut random = state.random;
    let configuration = &request.configuration;
    let engine = configuration.engine(&request.pool);
    let running_at = request.running.as_ref().map(|(target, _)| target);
    let source_zone = running_at
        .and_then(|target| state.directory.get(target))
        .map(|entry| &entry.zone);
    let demand = Demand {
        zone: source_zone
            .filter(|_| is_move)
            .unwrap_or(&state.identity.zone),
        tokens: request.memory_tokens(),
        is_stream: request.route().repetition.is_stream(),
        engine,
    };
    let tried = &request.tried;
    let candidates = state
        .usable(&request.pool)
        .into_iter()
        .filter(|(target, _)| !tried.contains(*target))
        .map(|(target, entry)| Candidate {
            target,
            entry,
            load: load_at(state, target),
        });
    let choice = choose(now_ms, candidates, demand, &state.health, || {
        draw(&mut random)
    });
    state.random = random;
    choice
}

fn load_at(state: &State, target: &TargetName) -> Load {
    let mut load = state.peers.load_of(target);
    if let Some(own) = state.loads.get(target) {
        load.join(*own);
    }
    load
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
        && request.runs < route.attempts_max
        && request.sends < SENDS_MAX
        && now_ms + ATTEMPT_MIN_MS < request.give_up_at_ms
}

fn take_retry(state: &mut State, now_ms: u64, ticket: Ticket) -> bool {
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

fn refuse(
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

/// Returns the runs at a target that can move with their memory.
pub(super) fn movable_at(state: &State, target: &TargetName) -> Vec<Ticket> {
    let is_movable = |request: &Request| {
        let engine = request.configuration.engine(&request.pool);
        request.route().repetition == Repetition::StreamOnce
            && engine.is_some_and(|engine| engine.can_move)
            && request
                .running
                .as_ref()
                .is_some_and(|(running_at, _)| running_at == target)
    };
    state
        .requests
        .iter()
        .filter(|(_, request)| is_movable(request))
        .map(|(ticket, _)| *ticket)
        .collect()
}

/// Moves all runs away from targets that leave, by the plan that all hosts share.
pub(super) fn evacuate_all(
    state: &mut State,
    now_ms: u64,
    leaving: &[(TargetName, TargetEntry)],
    effects: &mut Vec<Effect>,
) {
    let mut plan = spreading::assign(
        sources(state, now_ms, leaving),
        destinations(state, now_ms, leaving),
        &state.identity.host,
    );
    for (target, _) in leaving {
        let mut places = plan.swap_remove(target).unwrap_or_default();
        for ticket in movable_at(state, target) {
            match places.pop() {
                Some(place) if take_retry(state, now_ms, ticket) => {
                    send_to(state, ticket, place, effects);
                }
                _ => effects.push(Effect::NoDestination { ticket }),
            }
        }
    }
}

fn sources(
    state: &State,
    now_ms: u64,
    leaving: &[(TargetName, TargetEntry)],
) -> Vec<Source> {
    let source = |(target, entry): &(TargetName, TargetEntry)| {
        let mut runs = state.peers.movable_at(now_ms, target);
        let tickets = movable_at(state, target);
        let tokens = tickets
            .iter()
            .filter_map(|ticket| state.requests.get(ticket))
            .map(Request::memory_tokens);
        runs.push(HostRuns {
            host: state.identity.host.clone(),
            runs: tickets.len() as u32,
            tokens: tokens.sum(),
        });
        Source {
            target: target.clone(),
            zone: entry.zone.clone(),
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
    let is_of_pool =
        |entry: &TargetEntry| leaving.iter().any(|(_, left)| left.pool == entry.pool);
    state
        .directory
        .iter()
        .filter(|(target, entry)| {
            !entry.is_leaving
                && is_of_pool(entry)
                && !state.health.is_avoided(now_ms, target)
        })
        .filter_map(|(target, entry)| {
            let engine = configuration.engine(&entry.pool)?;
            Some(Destination {
                target: target.clone(),
                zone: entry.zone.clone(),
                used_tokens: load_at(state, target).tokens,
                memory_tokens: engine.memory_tokens,
            })
        })
        .collect()
}

/// Chooses where a run moves whose planned destination won't do.
pub(super) fn evacuate(
    state: &mut State,
    now_ms: u64,
    ticket: Ticket,
    effects: &mut Vec<Effect>,
) {
    release_destination(state, ticket);
    match choose_for(state, now_ms, ticket, true) {
        Some(choice) => send_to(state, ticket, choice.target, effects),
        None => effects.push(Effect::NoDestination { ticket }),
    }
}

fn send_to(
    state: &mut State,
    ticket: Ticket,
    place: TargetName,
    effects: &mut Vec<Effect>,
) {
    let address = state.directory.get(&place).map(|entry| entry.address);
    let (Some(address), Some(request)) = (address, state.requests.get_mut(&ticket))
    else {
        return effects.push(Effect::NoDestination { ticket });
    };
    let added = request.load();
    request.tried.push(place.clone());
    request.moving_to = Some((place.clone(), added));
    state.loads.entry(place.clone()).or_default().join(added);
    effects.push(Effect::Evacuate {
        ticket,
        to: place,
        address,
    });
}

/// Notes that a run goes on at its destination.
pub(super) fn moved(state: &mut State, ticket: Ticket) {
    release(state, ticket);
    if let Some(request) = state.requests.get_mut(&ticket) {
        request.running = request.moving_to.take();
        // A target that it has left may take it again when it has started anew.
        request.tried.clear();
    }
}

/// Notes that a run stays where it is.
pub(super) fn stayed(state: &mut State, ticket: Ticket) {
    release_destination(state, ticket);
}

/// Forgets a request.
pub(super) fn closed(state: &mut State, ticket: Ticket) {
    release(state, ticket);
    release_destination(state, ticket);
    state.requests.swap_remove(&ticket);
}

fn release(state: &mut State, ticket: Ticket) -> Option<TargetName> {
    let request = state.requests.get_mut(&ticket)?;
    let (target, counted) = request.running.take()?;
    take_off(state, &target, counted);
    Some(target)
}

fn release_destination(state: &mut State, ticket: Ticket) {
    let Some(request) = state.requests.get_mut(&ticket) else {
        return;
    };
    if let Some((target, counted)) = request.moving_to.take() {
        take_off(state, &target, counted);
    }
}

fn take_off(state: &mut State, target: &TargetName, counted: Load) {
    if let Some(load) = state.loads.get_mut(target) {
        load.part(counted);
        if load.runs == 0 {
            state.loads.swap_remove(target);
        }
    }
}
