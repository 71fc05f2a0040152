//! Pulls of missing settings from peers, and the replies to them.

use std::sync::Arc;

use super::message::{Effect, Message};
use super::platform;
use super::state::State;
use crate::prelude::*;

/// Queries a peer or the platform when the settings are stale, with exponential backoff.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    if !state.is_stale(now_ms) || now_ms < state.next_query_ms {
        return;
    }
    let doublings = state.queries.min(8);
    let delay_ms = (state.config.query_ms << doublings).min(state.config.query_max_ms);
    let jitter_ms = state.rng.below(delay_ms as usize / 2 + 1) as u64;
    state.next_query_ms = now_ms + delay_ms / 2 + jitter_ms;
    state.queries = state.queries.saturating_add(1);
    // The zone first, as its hosts are near and hold the latest updates; the platform
    // last.
    let has_queried = match state.queries % 3 {
        1 => pull_from_random_peer(state, false, effects),
        2 => pull_from_random_peer(state, true, effects),
        _ => platform::read_within_budget(state, now_ms, effects),
    };
    if !has_queried {
        let _ = pull_from_random_peer(state, false, effects)
            || pull_from_random_peer(state, true, effects)
            || platform::read_within_budget(state, now_ms, effects);
    }
}

/// Pulls from a peer that holds a later revision, unless a pull was sent to any peer
/// within the timeout.
pub(super) fn pull_from(
    state: &mut State,
    now_ms: u64,
    from: &HostName,
    effects: &mut Vec<Effect>,
) {
    let timeout_ms = state.config.pull_timeout_ms;
    if state
        .last_pull_ms
        .is_some_and(|at_ms| now_ms < at_ms + timeout_ms)
    {
        return;
    }
    state.last_pull_ms = Some(now_ms);
    let message = Message::Pull {
        known_revision: state.held_revision(),
    };
    effects.push(Effect::Send {
        to: from.clone(),
        message,
    });
}

/// Replies to a pull with the missing changes, or with the whole tree where some of them
/// aren't kept any more, and pulls in turn if the peer holds a later revision.
pub(super) fn reply(
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
        pull_from(state, now_ms, to, effects);
    }
}

fn pull_from_random_peer(
    state: &mut State,
    is_other_zone: bool,
    effects: &mut Vec<Effect>,
) -> bool {
    let peers = if is_other_zone {
        &state.other_zone_peers
    } else {
        &state.zone_peers
    };
    if peers.is_empty() {
        return false;
    }
    let to = peers[state.rng.below(peers.len())].clone();
    let message = Message::Pull {
        known_revision: state.held_revision(),
    };
    effects.push(Effect::Send { to, message });
    true
}
