//! Runs that move away from targets that leave.

use toucancleat_core::prelude::*;

use super::placing::{choose_for, load_at};
use super::requests::{release, take_off, take_retry};
use crate::configuration::Repetition;
use crate::event::Effect;
use crate::request::{Request, Ticket};
use crate::spreading::{self, Destination, HostRuns, Source};
use crate::state::State;
use crate::target::TargetEntry;

/// Returns the runs at a target that can move with their memory.
pub(super) fn movable_at(state: &State, target: &TargetName) -> Vec<Ticket> {
    let is_there = |request: &Request| {
        let running = request.running.as_ref();
        running.is_some_and(|(running_at, _)| running_at == target)
    };
    state
        .requests
        .iter()
        .filter(|(_, request)| is_there(request) && is_movable(request))
        .map(|(ticket, _)| *ticket)
        .collect()
}

fn is_movable(request: &Request) -> bool {
    let engine = request.configuration.engine(&request.pool);
    request.route().repetition == Repetition::StreamOnce
        && engine.is_some_and(|engine| engine.can_move)
}

/// Takes the retry that a move counts as, unless this move has it already.
fn may_move(state: &mut State, now_ms: u64, ticket: Ticket) -> bool {
    let Some(request) = state.requests.get(&ticket) else {
        return false;
    };
    let is_allowed = request.has_move || take_retry(state, now_ms, ticket);
    if let Some(request) = state.requests.get_mut(&ticket) {
        request.has_move = is_allowed;
    }
    is_allowed
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
                Some(place) if may_move(state, now_ms, ticket) => {
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
    is_new_round: bool,
    effects: &mut Vec<Effect>,
) {
    release_destination(state, ticket);
    if let Some(request) = state.requests.get_mut(&ticket)
        && is_new_round
    {
        request.tried.clear();
    }
    let can_move = state.requests.get(&ticket).is_some_and(is_movable);
    let choice = can_move.then(|| choose_for(state, now_ms, ticket, true));
    match choice.flatten() {
        Some(choice) if may_move(state, now_ms, ticket) => {
            send_to(state, ticket, choice.target, effects);
        }
        _ => effects.push(Effect::NoDestination { ticket }),
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
    state.has_untold_load = true;
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
        request.has_move = false;
        // A target that it has left may take it again when it has started anew.
        request.tried.clear();
    }
}

/// Notes that a run stays where it is.
pub(super) fn stayed(state: &mut State, ticket: Ticket) {
    release_destination(state, ticket);
}

pub(super) fn release_destination(state: &mut State, ticket: Ticket) {
    let Some(request) = state.requests.get_mut(&ticket) else {
        return;
    };
    if let Some((target, counted)) = request.moving_to.take() {
        take_off(state, &target, counted);
        state.has_untold_load = true;
    }
}
