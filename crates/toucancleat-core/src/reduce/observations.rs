//! Schedules observations of targets and reads of the host list, and applies the results of
//! observations.
//!
//! A target is observed often by its home and the home's successor instead of by all hosts,
//! so that the load on a target doesn't grow with the number of entry hosts. A target that
//! this host knows as leaving or unavailable is observed by this host too, since only
//! that reveals that the target was replaced.

use super::{accounts, crash_marks, dispatch, orders, targets};
use crate::crash_marks::Crash;
use crate::effect::Effect;
use crate::homes::{HomeKey, ZoneRole, rank};
use crate::observation::Observation;
use crate::prelude::*;
use crate::state::State;
use crate::targets::{Admission, Event as TargetEvent, Outcome as TargetOutcome};

/// Number of hosts that observe a target often: its home and the home's successor.
const OBSERVERS_PER_TARGET: usize = 2;
/// Time between two observations of a target by its home, by the home's successor and by a
/// host that holds it for an order.
const OBSERVE_HOME_MS: u64 = 500;
/// Time between two observations of a target that is leaving or unavailable by the other
/// hosts.
const OBSERVE_UNAVAILABLE_MS: u64 = 2_000;
/// Time between two reads of the host list by the zone's reader, which informs the zone of
/// leaving targets, and by a host that knows no other live host.
const LIST_READER_MS: u64 = 1_000;
/// Time between two reads of the host list by the other hosts.
const LIST_MS: u64 = 10_000;

/// Requests the observations and the read of the host list that are due.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    if now_ms >= state.next_listing_ms {
        state.next_listing_ms = now_ms + list_interval_ms(state);
        effects.push(Effect::ListHosts);
    }
    let Some(settings) = state.settings.clone() else {
        return;
    };
    for (_, class, name, target) in settings.targets() {
        if target.zone != state.identity.zone {
            continue;
        }
        let is_due = state
            .next_observation_ms
            .get(name)
            .is_none_or(|at| *at <= now_ms);
        if !is_due {
            continue;
        }
        let Some(interval_ms) = observe_interval_ms(state, now_ms, name) else {
            // Whether this host observes the target is computed again after a delay, not at
            // each tick.
            let at_ms = now_ms + OBSERVE_HOME_MS;
            state.next_observation_ms.insert(name.clone(), at_ms);
            continue;
        };
        let at_ms = now_ms + interval_ms;
        state.next_observation_ms.insert(name.clone(), at_ms);
        effects.push(Effect::Observe {
            target: name.clone(),
            requested_ms: now_ms,
            class,
            address: target.address.clone(),
        });
    }
}

fn list_interval_ms(state: &mut State) -> u64 {
    let is_alone = state.membership.live_hosts().count() < 2;
    let reader = HomeKey::Role(ZoneRole::SettingsReader);
    let is_reader = state.homes.is_home(&reader, &state.identity.host);
    if is_alone || is_reader {
        LIST_READER_MS
    } else {
        LIST_MS
    }
}

fn observe_interval_ms(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
) -> Option<u64> {
    let key = HomeKey::Target(target.clone());
    let is_held_here = state.holds.own().any(|held| held == target);
    // N.B. the home's successor observes the target too: while the home is paused or has
    // failed undetected, no other host would detect that the target begins to leave.
    let observers = rank(&key, state.membership.live_hosts(), OBSERVERS_PER_TARGET);
    let is_observer = observers
        .iter()
        .any(|host| host.name == state.identity.host);
    if is_held_here || is_observer {
        return Some(OBSERVE_HOME_MS);
    }
    match state.targets.peek(now_ms, target) {
        Admission::Leaving | Admission::Out { .. } | Admission::Trial => {
            Some(OBSERVE_UNAVAILABLE_MS)
        }
        _ => None,
    }
}

/// Makes all observations and the read of the host list due, after this host was paused.
pub(super) fn make_all_due(state: &mut State, now_ms: u64) {
    state.next_listing_ms = now_ms;
    for at_ms in state.next_observation_ms.values_mut() {
        *at_ms = now_ms;
    }
}

/// Requests an observation of a target at once, such as after its connection broke.
pub(super) fn observe_now(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    effects: &mut Vec<Effect>,
) {
    let Some(settings) = state.settings.clone() else {
        return;
    };
    let Some((_, pool, found)) = settings.target(target) else {
        return;
    };
    let at_ms = now_ms + OBSERVE_HOME_MS;
    state.next_observation_ms.insert(target.clone(), at_ms);
    effects.push(Effect::Observe {
        target: target.clone(),
        requested_ms: now_ms,
        class: pool.class,
        address: found.address.clone(),
    });
}

/// Applies the result of an observation, then dispatches the requests deferred for it.
pub(super) fn apply_observation(
    state: &mut State,
    now_ms: u64,
    target: TargetName,
    requested_ms: u64,
    observation: Observation,
    effects: &mut Vec<Effect>,
) {
    let is_answered = observation != Observation::NoAnswer;
    update_target(state, now_ms, target.clone(), observation, effects);
    // N.B. whether the target leaves is known only after the result has been applied.
    for dispatch in state
        .freshness
        .record_observation(&target, requested_ms, is_answered)
    {
        dispatch::dispatch_deferred(state, now_ms, dispatch, is_answered, effects);
    }
}

/// Applies the result of an observation to the state of the target.
fn update_target(
    state: &mut State,
    now_ms: u64,
    target: TargetName,
    observation: Observation,
    effects: &mut Vec<Effect>,
) {
    match observation {
        Observation::Serving {
            started_unix_ms,
            load,
        } => {
            record_start(state, now_ms, &target, started_unix_ms, effects);
            if let Some(report) = load {
                if report.running == 0 && report.waiting == 0 {
                    orders::notify_idle(state, now_ms, &target, effects);
                }
                let event = crate::accounts::Event::LoadReported { target, report };
                accounts::apply(state, now_ms, event, effects);
            }
        }
        Observation::Leaving { started_unix_ms } => {
            record_start(state, now_ms, &target, started_unix_ms, effects);
            targets::mark_leaving(state, now_ms, target, effects);
        }
        Observation::ConnectionRefused => {
            mark_crash(state, now_ms, &target, effects);
            record_failure(state, now_ms, target, effects);
        }
        Observation::NoAnswer => record_failure(state, now_ms, target, effects),
    }
}

/// Records the start time of a target's process; a later one than known means that the
/// target was replaced.
fn record_start(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    started_unix_ms: u64,
    effects: &mut Vec<Effect>,
) {
    let known = state.targets.epoch(target).unwrap_or(0);
    if started_unix_ms <= known {
        return;
    }
    if known > 0 {
        mark_crash(state, now_ms, target, effects);
    }
    let Some(settings) = state.settings.clone() else {
        return;
    };
    if let Some((pool, _, _)) = settings.target(target) {
        let event = TargetEvent::Observed {
            target: target.clone(),
            pool: pool.clone(),
            epoch: started_unix_ms,
        };
        targets::apply(state, now_ms, event, effects);
    }
}

/// Marks the requests that ran at a target whose process ended without announcing that it
/// leaves.
fn mark_crash(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    effects: &mut Vec<Effect>,
) {
    if state.targets.peek(now_ms, target) == Admission::Leaving {
        return;
    }
    if let Some(epoch) = state.targets.epoch(target) {
        let crash = Crash {
            target: target.clone(),
            epoch,
        };
        let event = crate::crash_marks::Event::Crashed { crash };
        crash_marks::apply(state, now_ms, event, effects);
    }
}

fn record_failure(
    state: &mut State,
    now_ms: u64,
    target: TargetName,
    effects: &mut Vec<Effect>,
) {
    if let Some(epoch) = state.targets.epoch(&target) {
        let event = TargetEvent::RequestEnded {
            target,
            epoch,
            outcome: TargetOutcome::Failed,
        };
        targets::apply(state, now_ms, event, effects);
    }
}
