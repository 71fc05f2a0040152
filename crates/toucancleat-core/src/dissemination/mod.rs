//! Dissemination of the settings: every host reaches the head, and no host's revision
//! ever decreases.
//!
//! One host of each zone polls the platform. Updates are gossiped: each host forwards
//! them to a few random peers, so that the cost of a host doesn't depend on the size of
//! its zone. A host that has received nothing for a while queries a random peer, then
//! the platform within a budget. See docs/design/settings-spreading.md.

mod message;
mod platform;
mod pull;
mod state;

pub use self::message::{Effect, Event, Message};
pub use self::state::{Config, State};

use crate::prelude::*;

/// Applies one event and appends the effects that follow from it.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::PeersChanged {
            zone,
            other_zones,
            is_reader,
        } => {
            state.zone_peers = zone;
            state.other_zone_peers = other_zones;
            state.is_reader = is_reader;
        }
        Event::MessageReceived { from, message } => {
            handle_message(state, now_ms, &from, message, effects);
        }
        Event::RowsRead { read, rows } => {
            platform::rows_read(state, now_ms, read, rows, effects);
        }
        Event::SnapshotRead { read, snapshot } => {
            platform::snapshot_read(state, now_ms, read, snapshot, effects);
        }
        Event::Tick => {
            platform::tick(state, now_ms, effects);
            pull::tick(state, now_ms, effects);
        }
    }
}

fn handle_message(
    state: &mut State,
    now_ms: u64,
    from: &HostName,
    message: Message,
    effects: &mut Vec<Effect>,
) {
    match message {
        Message::Announce { revision, age_ms } => {
            if Some(revision) > state.held_revision() {
                pull::pull_from(state, now_ms, from, effects);
            } else {
                confirm_if_held(state, now_ms, revision, age_ms, from, effects);
            }
        }
        Message::Pull { known_revision } => {
            pull::reply(state, now_ms, from, known_revision, effects)
        }
        Message::Delta {
            changes,
            revision,
            age_ms,
        } => {
            let has_unapplied =
                state.apply_changes(&changes, Some(from), now_ms, effects);
            if has_unapplied || Some(revision) > state.held_revision() {
                pull::pull_from(state, now_ms, from, effects);
            }
            confirm_if_held(state, now_ms, revision, age_ms, from, effects);
        }
        Message::Snapshot {
            revision,
            tree,
            age_ms,
        } => {
            if Some(revision) > state.held_revision() {
                state.adopt(revision, tree);
                state.emit_in_force(effects);
            }
            confirm_if_held(state, now_ms, revision, age_ms, from, effects);
        }
    }
}

/// Records when a platform read last confirmed a revision, if the host holds that
/// revision.
///
/// N.B. A message about a higher revision than the host's own doesn't confirm the host's
/// own.
fn confirm_if_held(
    state: &mut State,
    now_ms: u64,
    revision: Revision,
    age_ms: u64,
    from: &HostName,
    effects: &mut Vec<Effect>,
) {
    if Some(revision) == state.held_revision() {
        state.put_in_force(revision, effects);
        state.confirm(now_ms.saturating_sub(age_ms), now_ms, Some(from), effects);
    }
}
