//! Spreading of the settings: every host reaches the head, and none ever goes back.
//!
//! One host of each zone polls the platform. What it learns goes from host to host, each
//! passing news on to a few random peers, so that the cost of a host doesn't depend on
//! the size of its zone. A host that has heard nothing for a while asks a random peer,
//! then the platform within a budget. See docs/design/settings-spreading.md.

mod message;
mod platform;
mod pull;
mod state;

pub use self::message::{Effect, Event, Message};
pub use self::state::{Config, State};

use crate::prelude::*;

/// Applies one event.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Peers {
            zone,
            other_zones,
            is_reader,
        } => {
            state.zone_peers = zone;
            state.other_zone_peers = other_zones;
            state.is_reader = is_reader;
        }
        Event::Received { from, message } => {
            received(state, now_ms, &from, message, effects);
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

fn received(
    state: &mut State,
    now_ms: u64,
    from: &HostName,
    message: Message,
    effects: &mut Vec<Effect>,
) {
    match message {
        Message::Announce { revision, age_ms } => {
            if Some(revision) > state.have() {
                pull::pull(state, now_ms, from, effects);
            } else {
                heard(state, now_ms, revision, age_ms, from, effects);
            }
        }
        Message::Pull { have } => pull::answer(state, now_ms, from, have, effects),
        Message::Delta {
            changes,
            revision,
            age_ms,
        } => {
            let gap = state.learn(&changes, Some(from), now_ms, effects);
            if gap || Some(revision) > state.have() {
                pull::pull(state, now_ms, from, effects);
            }
            heard(state, now_ms, revision, age_ms, from, effects);
        }
        Message::Snapshot {
            revision,
            tree,
            age_ms,
        } => {
            if Some(revision) > state.have() {
                state.adopt(revision, tree);
                state.tell_in_force(effects);
            }
            heard(state, now_ms, revision, age_ms, from, effects);
        }
    }
}

/// Notes how long ago the platform was read by whoever knew this revision.
///
/// N.B. News about a higher revision than the host's own says nothing about the age of
/// the host's own.
fn heard(
    state: &mut State,
    now_ms: u64,
    revision: Revision,
    age_ms: u64,
    from: &HostName,
    effects: &mut Vec<Effect>,
) {
    if Some(revision) == state.have() {
        state.put_in_force(revision, effects);
        state.refresh(now_ms.saturating_sub(age_ms), now_ms, Some(from), effects);
    }
}
