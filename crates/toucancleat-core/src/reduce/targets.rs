//! Connects the admission state of targets to the other modules.

use super::{accounts, peers};
use crate::effect::Effect;
use crate::prelude::*;
use crate::settings::SettingsInForce;
use crate::state::State;
use crate::targets::{self, Reason};
use crate::timeline::{Entry, RecordKind};

/// Applies an event of the targets and executes its effects.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: targets::Event,
    effects: &mut Vec<Effect>,
) {
    let mut pending = Vec::new();
    targets::reduce(&mut state.targets, now_ms, event, &mut pending);
    for effect in pending {
        execute(state, now_ms, effect, effects);
    }
}

/// Marks a target as leaving, at its known epoch.
pub(super) fn mark_leaving(
    state: &mut State,
    now_ms: u64,
    target: TargetName,
    effects: &mut Vec<Effect>,
) {
    if let Some(epoch) = state.targets.epoch(&target) {
        let event = targets::Event::TargetLeaving { target, epoch };
        apply(state, now_ms, event, effects);
    }
}

/// Applies which targets the platform's host list marks as leaving.
///
/// The list lags and may still mark a target that has been replaced since. A mark therefore
/// applies to the epoch that the target had when the list first marked it.
pub(super) fn apply_listed_leaving(
    state: &mut State,
    now_ms: u64,
    listed: Vec<TargetName>,
    effects: &mut Vec<Effect>,
) {
    let earlier = std::mem::take(&mut state.listed_leaving_targets);
    for target in listed {
        let known = state.targets.epoch(&target);
        let Some(epoch) = earlier.get(&target).copied().or(known) else {
            continue;
        };
        state.listed_leaving_targets.insert(target.clone(), epoch);
        let event = targets::Event::TargetLeaving { target, epoch };
        apply(state, now_ms, event, effects);
    }
}

/// Adds the targets that the settings name and removes the others.
pub(super) fn apply_settings(
    state: &mut State,
    now_ms: u64,
    settings: &SettingsInForce,
    effects: &mut Vec<Effect>,
) {
    let known: Vec<TargetName> = state.targets.targets().cloned().collect();
    for target in known {
        if settings.target(&target).is_none() {
            state.next_observation_ms.swap_remove(&target);
            let event = targets::Event::Removed { target };
            apply(state, now_ms, event, effects);
        }
    }
    for (pool, _, name, _) in settings.targets() {
        if state.targets.epoch(name).is_none() {
            let event = targets::Event::Observed {
                target: name.clone(),
                pool: pool.clone(),
                epoch: 0,
            };
            apply(state, now_ms, event, effects);
        }
    }
}

fn execute(
    state: &mut State,
    now_ms: u64,
    effect: targets::Effect,
    effects: &mut Vec<Effect>,
) {
    match effect {
        targets::Effect::Send { to, message } => {
            peers::send(state, now_ms, &to, message, effects);
        }
        targets::Effect::TargetUnavailable { target, reason } => {
            let is_leaving = reason == Reason::Leaving;
            let kind = match is_leaving {
                true => RecordKind::TargetLeaving,
                false => RecordKind::TargetDown,
            };
            let entry = Entry::new(kind)
                .target(&target)
                .reason(format!("{reason:?}").to_lowercase());
            state.timeline.record(now_ms, entry);
            let event = match is_leaving {
                true => crate::accounts::Event::TargetLeaving { target },
                false => crate::accounts::Event::TargetUnavailable { target },
            };
            accounts::apply(state, now_ms, event, effects);
        }
        targets::Effect::TargetAvailable { target } => {
            let entry = Entry::new(RecordKind::TargetUp).target(&target);
            state.timeline.record(now_ms, entry);
            let event = crate::accounts::Event::TargetAvailable { target };
            accounts::apply(state, now_ms, event, effects);
        }
    }
}
