//! Where a request goes, and whether it waits for room.

use toucancleat_core::prelude::*;

use super::requests::{ATTEMPT_MIN_MS, RETRY_LATER_MS, RETRY_SOON_MS, refuse};
use super::speech;
use crate::choice::{Candidate, Choice, Demand, choose};
use crate::configuration::Repetition;
use crate::event::Effect;
use crate::peers::Load;
use crate::request::{Basis, Dispatch, Reason, Request, Ticket};
use crate::state::{State, draw};

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

/// Sends a request to a target, or lets it wait while all engines are full.
///
/// An engine that runs out of memory throws out a run that has begun and reads its prompt
/// anew, which costs every run there; a request that has not begun waits for less.
pub(super) fn place(
    state: &mut State,
    now_ms: u64,
    ticket: Ticket,
    effects: &mut Vec<Effect>,
) {
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

/// Sends a request to the best target, or refuses it.
pub(super) fn dispatch(
    state: &mut State,
    now_ms: u64,
    ticket: Ticket,
    effects: &mut Vec<Effect>,
) {
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
        // Hosts that choose among the same engines learn of it before they choose next; where
        // zones are full, those are the hosts of all zones.
        speech::say(state, now_ms, None, effects);
    }
}

pub(super) fn choose_for(
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
        unread_tokens: request.load().unread_tokens,
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
            is_starting: state
                .slow_until_ms
                .get(target)
                .is_some_and(|until_ms| now_ms < *until_ms),
        });
    let choice = choose(now_ms, candidates, demand, &state.health, || {
        draw(&mut random)
    });
    state.random = random;
    choice
}

pub(super) fn load_at(state: &State, target: &TargetName) -> Load {
    let mut load = state.peers.load_of(target);
    if let Some(own) = state.loads.get(target) {
        load.join(*own);
    }
    load
}
