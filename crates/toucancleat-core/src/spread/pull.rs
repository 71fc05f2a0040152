//! Questions between peers.

use std::sync::Arc;

use super::message::{Effect, Message};
use super::platform;
use super::state::State;
use crate::prelude::*;

/// Asks someone when nothing was heard for too long.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    if !state.is_stale(now_ms) || now_ms < state.next_ask_ms {
        return;
    }
    let doublings = state.asks.min(8);
    let pause_ms = (state.config.ask_ms << doublings).min(state.config.ask_max_ms);
    let jitter_ms = state.rng.below(pause_ms as usize / 2 + 1) as u64;
    state.next_ask_ms = now_ms + pause_ms / 2 + jitter_ms;
    state.asks = state.asks.saturating_add(1);
    // The zone first, as its hosts are near and know most; the platform last.
    let asked = match state.asks % 3 {
        1 => ask_one(state, false, effects),
        2 => ask_one(state, true, effects),
        _ => platform::read_within_budget(state, now_ms, effects),
    };
    if !asked {
        let _ = ask_one(state, false, effects)
            || ask_one(state, true, effects)
            || platform::read_within_budget(state, now_ms, effects);
    }
}

/// Asks the peer that has shown to know more, unless it was just asked.
pub(super) fn pull(
    state: &mut State,
    now_ms: u64,
    from: &HostName,
    effects: &mut Vec<Effect>,
) {
    let timeout_ms = state.config.pull_timeout_ms;
    if state
        .pulled_at_ms
        .is_some_and(|at_ms| now_ms < at_ms + timeout_ms)
    {
        return;
    }
    state.pulled_at_ms = Some(now_ms);
    let message = Message::Pull { have: state.have() };
    effects.push(Effect::Send {
        to: from.clone(),
        message,
    });
}

/// Gives a peer what it lacks.
pub(super) fn answer(
    state: &mut State,
    now_ms: u64,
    to: &HostName,
    have: Option<Revision>,
    effects: &mut Vec<Effect>,
) {
    let (Some(revision), Some(tree)) = (state.revision(), state.tree()) else {
        return;
    };
    let age_ms = state.age_ms(now_ms).unwrap_or(u64::MAX);
    let message = match have.and_then(|have| state.changes_after(have)) {
        Some(changes) => Message::Delta {
            changes,
            revision,
            age_ms,
        },
        None => Message::Snapshot {
            revision,
            tree: Arc::clone(tree),
            age_ms,
        },
    };
    effects.push(Effect::Send {
        to: to.clone(),
        message,
    });
    if have > Some(revision) {
        pull(state, now_ms, to, effects);
    }
}

fn ask_one(state: &mut State, other_zone: bool, effects: &mut Vec<Effect>) -> bool {
    let peers = if other_zone {
        &state.other_zone_peers
    } else {
        &state.zone_peers
    };
    if peers.is_empty() {
        return false;
    }
    let to = peers[state.rng.below(peers.len())].clone();
    let message = Message::Pull { have: state.have() };
    effects.push(Effect::Send { to, message });
    true
}
