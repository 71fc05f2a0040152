//! Acts on targets that have joined, have restarted or are leaving.

use indexmap::IndexSet;

use super::{migration, restarts};
use crate::event::{Effect, LogEvent};
use crate::state::{DepartedTarget, State};
use crate::target::TargetTransition;

/// Logs the targets that have joined or are leaving, a line for each. The first list of a
/// host that has just started is logged in one line instead.
pub(super) fn log(
    state: &State,
    transitions: &[TargetTransition],
    effects: &mut Vec<Effect>,
) {
    let store_version = state.directory.known_position().version;
    for transition in transitions {
        let event = match transition {
            TargetTransition::Joined(target, entry) => LogEvent::TargetJoined {
                target: target.clone(),
                store_version,
                slow_start_left_ms: entry.slow_start_left_ms,
                target_version: entry.software_version.clone(),
            },
            TargetTransition::Restarted(target) => LogEvent::TargetRestarted {
                target: target.clone(),
                store_version,
                runs: state.own_loads.get(target).map_or(0, |load| load.runs),
            },
            TargetTransition::Leaving(target, _) => LogEvent::TargetLeaving {
                target: target.clone(),
                store_version,
                runs: state.own_loads.get(target).map_or(0, |load| load.runs),
            },
        };
        effects.push(Effect::Log(event));
    }
}

/// Acts on targets that have joined or are leaving.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    transitions: Vec<TargetTransition>,
    effects: &mut Vec<Effect>,
) {
    let mut leaving = Vec::new();
    let mut restarted = IndexSet::new();
    for transition in transitions {
        match transition {
            TargetTransition::Restarted(target) => {
                restarted.insert(target);
            }
            TargetTransition::Joined(target, entry) => {
                state.expired_entries.swap_remove(&target);
                let departed = state.departed_targets.swap_remove(&target);
                if departed.is_some_and(|departed| {
                    departed.started_unix_ms != entry.started_unix_ms
                }) {
                    restarted.insert(target.clone());
                }
                state.health.remove(&target);
                state.suspected_targets.remove(&target);
                state.leaves_at_ms.swap_remove(&target);
                let restarted_from_ms = restarts::restarted_from_ms(state);
                state.target_notices.forget_earlier_start(
                    &target,
                    entry.started_unix_ms,
                    restarted_from_ms,
                );
                state
                    .cold_targets
                    .forget_earlier_start(&target, entry.started_unix_ms);
                let until_ms = now_ms.saturating_add(entry.slow_start_left_ms);
                state.slow_start_until_ms.insert(target, until_ms);
            }
            TargetTransition::Leaving(target, entry) => {
                state.slow_start_until_ms.swap_remove(&target);
                state.cold_targets.forget_failures(&target);
                state.departures.record(now_ms, &entry, &state.directory);
                let departed = DepartedTarget {
                    started_unix_ms: entry.started_unix_ms,
                    departed_ms: now_ms,
                };
                state.departed_targets.insert(target.clone(), departed);
                if !entry.is_leaving {
                    // Its entry vanished without a notice.
                    let expired = (entry.clone(), now_ms);
                    state.expired_entries.insert(target.clone(), expired);
                }
                // Its runs began to migrate when it reported in an answer that it leaves.
                if !state.target_notices.get(&target).is_leaving {
                    leaving.push((target, entry));
                }
            }
        }
    }
    restarts::apply(state, &restarted, effects);
    migration::leave(state, now_ms, &leaving, effects);
}
