//! What the store tells, at first hand.

use std::sync::Arc;

use super::{moves, speech};
use crate::configuration::Configuration;
use crate::event::{Effect, Note};
use crate::peers::News;
use crate::state::State;
use crate::store::{LAPSE_GRACE_MS, MISSED_CHANGE_MS, Query, READER_STAGGER_MS, Reply};
use crate::target::Shift;

/// Starts the reads that are due.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    choose_reader(state, now_ms, effects);
    state
        .lapsed
        .retain(|_, (_, since_ms)| now_ms < *since_ms + LAPSE_GRACE_MS);
    let has_missed = has_missed(state, now_ms);
    let lacks_targets = state.directory.known_version() == 0;
    let lacks_configuration = state.configuration.is_none();
    if state.reads || has_missed || lacks_targets {
        start(state, now_ms, Query::Targets, effects);
    }
    if state.reads || has_missed || lacks_configuration {
        start(state, now_ms, Query::Configuration, effects);
    }
    if state.reads && !lacks_targets && follows_feeds(state, now_ms) {
        let after = state.directory.known_version();
        start(state, now_ms, Query::TargetFeed { after }, effects);
        let after = state.calls.configuration_feed_after();
        if after > 0 {
            start(state, now_ms, Query::ConfigurationFeed { after }, effects);
        }
    }
    if !state.is_registered {
        start(state, now_ms, Query::Register, effects);
    }
    let hears_nobody = state.peers.heard(now_ms).next().is_none();
    if hears_nobody || !state.is_registered {
        start(state, now_ms, Query::Hosts, effects);
    }
}

/// Says whether this host has been behind others for longer than news may be on its way.
fn has_missed(state: &mut State, now_ms: u64) -> bool {
    if !state.is_behind() {
        state.missed_since_ms = None;
        return false;
    }
    let since_ms = *state.missed_since_ms.get_or_insert(now_ms);
    now_ms >= since_ms + MISSED_CHANGE_MS
}

/// Says whether feeds are worth their calls.
///
/// While the store doesn't answer, the lists show when it does again. A host of a fleet
/// that hears no other is most likely cut off alone, and so may be many at once, each a
/// reader: lists are enough for the few runs of one host.
fn follows_feeds(state: &State, now_ms: u64) -> bool {
    let hears_others = state.peers.heard(now_ms).next().is_some();
    state.calls.failures() == 0 && (hears_others || state.peers.fleet_size() == 1)
}

fn choose_reader(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let own = &state.identity.host;
    let reads = if state.peers.has_reader(now_ms, own, state.reads) {
        false
    } else if state.reads {
        true
    } else {
        // The hosts that stand first in the order of names get time to begin.
        let wait_ms = READER_STAGGER_MS * state.peers.rank(now_ms, own);
        let silent_ms = state
            .peers
            .heard(now_ms)
            .filter_map(|(_, peer)| {
                let age_ms = peer.last.store_age_ms?;
                Some(age_ms + now_ms.saturating_sub(peer.heard_ms))
            })
            .min()
            .unwrap_or(u64::MAX);
        silent_ms >= wait_ms + 2 * crate::store::READER_SILENCE_MS
    };
    if reads != state.reads {
        state.reads = reads;
        effects.push(Effect::Note(Note::Reading {
            reads,
            hosts_heard: state.peers.heard(now_ms).count(),
        }));
    }
}

fn start(state: &mut State, now_ms: u64, query: Query, effects: &mut Vec<Effect>) {
    if state.calls.start(now_ms, query) {
        effects.push(Effect::Read(query));
    }
}

/// Takes the answer to a read.
pub(super) fn answered(
    state: &mut State,
    now_ms: u64,
    query: Query,
    reply: Reply,
    effects: &mut Vec<Effect>,
) {
    let succeeded = reply != Reply::Failed;
    let had_failed = state.calls.failures() > 0;
    let asked_ms = state.calls.end(now_ms, query, succeeded);
    if succeeded == had_failed {
        effects.push(Effect::Note(Note::Store {
            answers: succeeded,
            query,
        }));
    }
    match reply {
        Reply::Configuration(configuration) => {
            let Some(configuration) = configuration else {
                return;
            };
            let is_newest = state
                .configuration
                .as_ref()
                .is_none_or(|known| known.version <= configuration.version);
            adopt_and_tell(state, now_ms, configuration, effects);
            if is_newest {
                confirm(state, asked_ms);
            }
        }
        Reply::ConfigurationFeed {
            store_version,
            configuration,
        } => {
            state.calls.note_configuration_feed(store_version);
            if let Some(configuration) = configuration
                && adopt_and_tell(state, now_ms, configuration, effects)
            {
                confirm(state, asked_ms);
            }
        }
        Reply::Targets {
            store_version,
            list,
        } => {
            state.calls.note_configuration_feed(store_version);
            let shifts = state.directory.replace(store_version, list);
            state.calls.note_targets(state.directory.iter().count());
            take_shifts(state, now_ms, shifts, effects);
        }
        Reply::TargetFeed {
            store_version,
            mut changes,
        } => {
            let after_content = state.directory.content_version();
            let shifts = state.directory.change(store_version, &mut changes);
            if !changes.is_empty() {
                let news = News::Targets {
                    after_content,
                    store_version,
                    changes,
                };
                speech::say(state, now_ms, Some(news), effects);
            }
            take_shifts(state, now_ms, shifts, effects);
            tick(state, now_ms, effects);
        }
        Reply::HistoryGone => {
            state.calls.hasten(now_ms, Query::Targets);
            state.calls.hasten(now_ms, Query::Configuration);
            // N.B. the list that is read next gives the version from which feeds go on.
            tick(state, now_ms, effects);
        }
        Reply::Hosts(addresses) => {
            state.peers.note_listed(addresses.len());
            let own_address = state.identity.address;
            for address in addresses {
                state.peers.name(now_ms, own_address, address);
            }
        }
        Reply::Registered => state.is_registered = true,
        Reply::Failed => {}
    }
}

/// Puts a configuration that was read in force if it is newer; tells whether it was.
///
/// Only the reader tells the others, and only of a change: hosts that start, or that missed
/// a change and read it for themselves, are many at once, and each would tell all.
fn adopt_and_tell(
    state: &mut State,
    now_ms: u64,
    configuration: Configuration,
    effects: &mut Vec<Effect>,
) -> bool {
    let is_change = state.configuration.is_some();
    let is_newer = adopt(state, &configuration, effects);
    if is_newer && is_change && state.reads {
        let news = News::Configuration(configuration);
        speech::say(state, now_ms, Some(news), effects);
    }
    is_newer
}

/// Puts a configuration in force if it is newer; tells whether it was.
pub(super) fn adopt(
    state: &mut State,
    configuration: &Configuration,
    effects: &mut Vec<Effect>,
) -> bool {
    let is_newer = state
        .configuration
        .as_ref()
        .is_none_or(|known| known.version < configuration.version);
    if is_newer {
        let configuration = Arc::new(configuration.clone());
        state.configuration = Some(configuration.clone());
        effects.push(Effect::InForce(configuration));
    }
    is_newer
}

/// Notes that the configuration in force was the newest at a time.
pub(super) fn confirm(state: &mut State, at_ms: u64) {
    state.confirmed_ms = Some(state.confirmed_ms.map_or(at_ms, |known| known.max(at_ms)));
}

/// Acts on targets that came or go.
pub(super) fn take_shifts(
    state: &mut State,
    now_ms: u64,
    shifts: Vec<Shift>,
    effects: &mut Vec<Effect>,
) {
    let store_version = state.directory.content_version();
    let mut leaving = Vec::new();
    for shift in shifts {
        match shift {
            Shift::Joined(target, entry) => {
                state.lapsed.swap_remove(&target);
                state.health.forget(&target);
                state.leaves_at_ms.swap_remove(&target);
                let slow_start_left_ms = entry.slow_start_left_ms;
                let until_ms = now_ms + slow_start_left_ms;
                state.slow_until_ms.insert(target.clone(), until_ms);
                effects.push(Effect::Note(Note::TargetJoined {
                    target,
                    store_version,
                    slow_start_left_ms,
                }));
            }
            Shift::Leaving(target, entry) => {
                let runs = state.loads.get(&target).map_or(0, |load| load.runs);
                state.slow_until_ms.swap_remove(&target);
                effects.push(Effect::Note(Note::TargetLeaving {
                    target: target.clone(),
                    store_version,
                    runs,
                }));
                if !moves::movable_at(state, &target).is_empty() {
                    effects.push(Effect::AskLeaveTime {
                        target: target.clone(),
                        address: entry.address,
                    });
                }
                if !entry.is_leaving {
                    // Its entry is gone without a notice.
                    let lapsed = (entry.clone(), now_ms);
                    state.lapsed.insert(target.clone(), lapsed);
                }
                leaving.push((target, entry));
            }
        }
    }
    if !leaving.is_empty() {
        moves::evacuate_all(state, now_ms, &leaving, effects);
        if state.has_untold_load {
            // The others learn at once what is on its way to which target.
            speech::say(state, now_ms, None, effects);
        }
    }
}
