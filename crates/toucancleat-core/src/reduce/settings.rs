//! Connects the dissemination of settings to the other modules.

use std::sync::Arc;

use super::{accounts, limits, membership, orders, peers, targets};
use crate::accounts::TargetSpec;
use crate::dissemination;
use crate::effect::Effect;
use crate::prelude::*;
use crate::settings::{SettingsInForce, TargetClass, Tree};
use crate::state::State;
use crate::timeline::{Entry, RecordKind};

/// Applies an event of the dissemination of settings and executes its effects.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: dissemination::Event,
    effects: &mut Vec<Effect>,
) {
    let mut pending = Vec::new();
    dissemination::reduce(&mut state.dissemination, now_ms, event, &mut pending);
    for effect in pending {
        execute(state, now_ms, effect, effects);
    }
}

fn execute(
    state: &mut State,
    now_ms: u64,
    effect: dissemination::Effect,
    effects: &mut Vec<Effect>,
) {
    match effect {
        dissemination::Effect::Send { to, message } => {
            peers::send(state, now_ms, &to, message, effects);
        }
        dissemination::Effect::ReadRows { read, rows } => {
            effects.push(Effect::SettingsRead { read, rows });
        }
        dissemination::Effect::ReadSnapshot { read, objects } => {
            effects.push(Effect::SnapshotRead { read, objects });
        }
        dissemination::Effect::StoreSnapshot { revision, tree } => {
            effects.push(Effect::SnapshotStore { revision, tree });
        }
        dissemination::Effect::PutInForce { revision, tree } => {
            put_in_force(state, now_ms, revision, tree, effects);
        }
        dissemination::Effect::ChangeRejected { revision } => {
            let entry = Entry::new(RecordKind::SettingsUnreadable)
                .field("revision", revision.0)
                .reason("a committed change does not fit the tree it was made on");
            state.timeline.record(now_ms, entry);
        }
    }
}

/// Puts a revision of the settings in force and notifies every module that depends on them.
fn put_in_force(
    state: &mut State,
    now_ms: u64,
    revision: Revision,
    tree: Arc<Tree>,
    effects: &mut Vec<Effect>,
) {
    let settings = Arc::new(SettingsInForce::new(revision, tree));
    let entry = Entry::new(RecordKind::SettingsApplied).field("revision", revision.0);
    state.timeline.record(now_ms, entry);
    state.settings = Some(settings.clone());
    effects.push(Effect::ApplySettings(settings.clone()));
    targets::apply_settings(state, now_ms, &settings, effects);
    let event = crate::accounts::Event::TargetsChanged(engines_of_zone(state, &settings));
    accounts::apply(state, now_ms, event, effects);
    membership::notify_accounts(state, now_ms, effects);
    orders::apply_settings(state, now_ms, &settings, effects);
    limits::apply_settings(state, now_ms, &settings.tree, effects);
}

/// Returns the specifications of the engines in the host's own zone.
fn engines_of_zone(state: &State, settings: &SettingsInForce) -> Vec<TargetSpec> {
    let mut specs = Vec::new();
    for (pool, class, name, target) in settings.targets() {
        if class == TargetClass::ModelEngine && target.zone == state.identity.zone {
            specs.push(TargetSpec {
                name: name.clone(),
                pool: pool.clone(),
                memory_tokens: target.memory_tokens,
                max_batch: target.max_batch,
            });
        }
    }
    specs
}
