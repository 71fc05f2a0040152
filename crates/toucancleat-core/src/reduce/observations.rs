//! Looking at targets and at the host list.
//!
//! The home of a target looks at it often, so that the load on a target doesn't grow with
//! the number of entry hosts. A target that this host holds for leaving or out is looked
//! at by this host too, since only that shows that it was replaced.

use super::{accounts, crash_marks, dispatch, orders, targets};
use crate::crash_marks::Crash;
use crate::effect::Effect;
use crate::homes::{HomeKey, ZoneRole, rank};
use crate::observation::Observation;
use crate::prelude::*;
use crate::state::State;
use crate::targets::{Admission, Event as TargetEvent, Outcome as TargetOutcome};

/// Hosts that look at a target often: its home and the home's successor.
const WATCHERS: usize = 2;
/// Time between two looks at a target by its home.
const OBSERVE_HOME_MS: u64 = 500;
/// Time between two looks at a target that takes no work.
const OBSERVE_OUT_MS: u64 = 2_000;
/// Time between two reads of the host list by the zone's reader, which tells the zone
/// which targets leave, and by a host that knows no other.
const LIST_READER_MS: u64 = 1_000;
/// Time between two reads of the host list by the other hosts.
const LIST_MS: u64 = 10_000;

/// Asks for the looks that are due.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    if now_ms >= state.list_at_ms {
        state.list_at_ms = now_ms + list_interval_ms(state);
        effects.push(Effect::ListHosts);
    }
    let Some(settings) = state.settings.clone() else {
        return;
    };
    for (_, class, name, target) in settings.targets() {
        if target.zone != state.identity.zone {
            continue;
        }
        let due = state.observe_at_ms.get(name).is_none_or(|at| *at <= now_ms);
        if !due {
            continue;
        }
        let Some(interval_ms) = observe_interval_ms(state, now_ms, name) else {
            // Who watches is worked out again in a while, and not at each tick.
            let at_ms = now_ms + OBSERVE_HOME_MS;
            state.observe_at_ms.insert(name.clone(), at_ms);
            continue;
        };
        let at_ms = now_ms + interval_ms;
        state.observe_at_ms.insert(name.clone(), at_ms);
        effects.push(Effect::Observe {
            target: name.clone(),
            asked_ms: now_ms,
            class,
            address: target.address.clone(),
        });
    }
}

fn list_interval_ms(state: &mut State) -> u64 {
    let alone = state.membership.live_hosts().count() < 2;
    let reader = HomeKey::Role(ZoneRole::SettingsReader);
    let is_reader = state.homes.is_home(&reader, &state.identity.host);
    if alone || is_reader {
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
    let holds_it = state.holds.own().any(|held| held == target);
    // N.B. the home's successor looks too: while a home is paused or lost and not yet
    // known to be, nobody else would hear that the target begins to leave.
    let watchers = rank(&key, state.membership.live_hosts(), WATCHERS);
    let watches = watchers.iter().any(|host| host.name == state.identity.host);
    if holds_it || watches {
        return Some(OBSERVE_HOME_MS);
    }
    match state.targets.peek(now_ms, target) {
        Admission::Leaving | Admission::Out { .. } | Admission::Trial => {
            Some(OBSERVE_OUT_MS)
        }
        _ => None,
    }
}

/// Makes everything due that this host looks at, since it was paused.
pub(super) fn refresh(state: &mut State, now_ms: u64) {
    state.list_at_ms = now_ms;
    for at_ms in state.observe_at_ms.values_mut() {
        *at_ms = now_ms;
    }
}

/// Asks for a look at a target at once, such as after its connection broke.
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
    state.observe_at_ms.insert(target.clone(), at_ms);
    effects.push(Effect::Observe {
        target: target.clone(),
        asked_ms: now_ms,
        class: pool.class,
        address: found.address.clone(),
    });
}

/// Takes in what a look at a target showed.
pub(super) fn observed(
    state: &mut State,
    now_ms: u64,
    target: TargetName,
    asked_ms: u64,
    observation: Observation,
    effects: &mut Vec<Effect>,
) {
    let answered = observation != Observation::Silent;
    take(state, now_ms, target.clone(), observation, effects);
    // N.B. only now is it known whether the target leaves.
    for dispatch in state.freshness.looked(&target, asked_ms, answered) {
        dispatch::dispatch_held(state, now_ms, dispatch, answered, effects);
    }
}

fn take(
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
            seen(state, now_ms, &target, started_unix_ms, effects);
            if let Some(report) = load {
                if report.running == 0 && report.waiting == 0 {
                    orders::idle(state, now_ms, &target, effects);
                }
                let event = crate::accounts::Event::LoadReported { target, report };
                accounts::apply(state, now_ms, event, effects);
            }
        }
        Observation::Leaving { started_unix_ms } => {
            seen(state, now_ms, &target, started_unix_ms, effects);
            targets::leaving(state, now_ms, target, effects);
        }
        Observation::Gone => {
            crashed(state, now_ms, &target, effects);
            failed(state, now_ms, target, effects);
        }
        Observation::Silent => failed(state, now_ms, target, effects),
    }
}

/// Notes the start of a target; a later one than known means that it was replaced.
fn seen(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    started_unix_ms: u64,
    effects: &mut Vec<Effect>,
) {
    let known = state.targets.epoch_of(target).unwrap_or(0);
    if started_unix_ms <= known {
        return;
    }
    if known > 0 {
        crashed(state, now_ms, target, effects);
    }
    let Some(settings) = state.settings.clone() else {
        return;
    };
    if let Some((pool, _, _)) = settings.target(target) {
        let event = TargetEvent::Seen {
            target: target.clone(),
            pool: pool.clone(),
            epoch: started_unix_ms,
        };
        targets::apply(state, now_ms, event, effects);
    }
}

/// Marks what ran at a target whose process is gone without having announced it.
fn crashed(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    effects: &mut Vec<Effect>,
) {
    if state.targets.peek(now_ms, target) == Admission::Leaving {
        return;
    }
    if let Some(epoch) = state.targets.epoch_of(target) {
        let crash = Crash {
            target: target.clone(),
            epoch,
        };
        let event = crate::crash_marks::Event::Crashed { crash };
        crash_marks::apply(state, now_ms, event, effects);
    }
}

fn failed(state: &mut State, now_ms: u64, target: TargetName, effects: &mut Vec<Effect>) {
    if let Some(epoch) = state.targets.epoch_of(&target) {
        let event = TargetEvent::Ended {
            target,
            epoch,
            outcome: TargetOutcome::Failed,
        };
        targets::apply(state, now_ms, event, effects);
    }
}
