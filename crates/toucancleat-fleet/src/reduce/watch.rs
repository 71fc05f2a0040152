//! Asks engines whether they are leaving while nobody reads the host list, and acts on suspicions.

use std::net::SocketAddr;

use toucancleat_core::prelude::*;
use toucancleat_core::rng::stable_hash;

use super::{migration, notices};
use crate::event::{Effect, LogEvent};
use crate::lapsed_entries::LAPSED_ENTRY_GRACE_MS;
use crate::peers::{Message, Peer};
use crate::state::State;
use crate::store::{Query, READER_SILENCE_MS};
use crate::target::TargetEntry;
use crate::target_watch::{
    Belief, SUSPECTS_DIVISOR, SUSPICION_MS, TargetReport, WatchReport,
};

/// Asks the engines that are due, while nobody reads the host list.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    for target in state.suspected_targets.expire(now_ms) {
        let entry = state.directory.get(&target);
        let is_confirmed = state.target_notices.get(&target).is_leaving
            || entry.is_none_or(|entry| entry.is_leaving);
        effects.push(Effect::Log(LogEvent::SuspicionEnded {
            target,
            is_confirmed,
        }));
    }
    let reads_host_list = reads_host_list(state, now_ms);
    let has_reading_peer = has_reading_peer(state, now_ms);
    if reads_host_list != state.reads_host_list {
        state.reads_host_list = reads_host_list;
        // The other hosts begin or end to ask at once.
        state.must_broadcast |= !has_reading_peer;
    }
    let is_read = reads_host_list || has_reading_peer;
    let is_watching = state.directory.is_known() && !is_read;
    if is_watching != state.is_watching_targets {
        state.is_watching_targets = is_watching;
        effects.push(Effect::Log(LogEvent::TargetWatchChanged { is_watching }));
        if is_watching {
            state.host_list_returned_ms = None;
            let has_store_failed = has_store_failed(state, now_ms);
            state.lapsed_entries.begin(now_ms, has_store_failed);
        } else {
            state.target_watch.end();
            state.host_list_returned_ms = Some(now_ms);
        }
    }
    if let Some(at_ms) = state.host_list_returned_ms
        && now_ms >= at_ms + LAPSED_ENTRY_GRACE_MS
    {
        state.host_list_returned_ms = None;
        state.lapsed_entries.end();
        // The targets that are still missing have been gone for as long.
        state.query_schedule.make_due(now_ms, Query::Targets);
    }
    if !is_watching {
        return;
    }
    if state.target_watch.is_assignment_due(now_ms) {
        let targets = assigned_targets(state, now_ms);
        state.target_watch.assign(targets);
    }
    for target in state.target_watch.start_due(now_ms) {
        if now_ms < state.target_notices.get(&target).paused_until_ms {
            // It wants nothing of this host, not even a question.
            state.target_watch.record(now_ms, &target, None);
        } else if let Some(entry) = state.directory.get(&target) {
            let address = entry.address;
            effects.push(Effect::QueryReport { target, address });
        }
    }
}

/// Returns true if this host reads the host list for all, and the store answers.
fn reads_host_list(state: &State, now_ms: u64) -> bool {
    let age_ms = state.query_schedule.success_age_ms(now_ms);
    state.is_reader
        && state.query_schedule.failures() == 0
        && age_ms.is_some_and(|age_ms| age_ms <= 2 * READER_SILENCE_MS)
}

/// Returns true if the store has failed to answer this host, or a peer that is still the reader.
fn has_store_failed(state: &State, now_ms: u64) -> bool {
    let is_failing_reader = |peer: &Peer| {
        let message = &peer.last_message;
        let reads = message.watch.as_ref().map(|watch| watch.reads_host_list);
        message.store_age_ms.is_some() && reads != Some(true)
    };
    let mut live = state.peers.live(now_ms);
    state.query_schedule.failures() > 0 || live.any(|(_, peer)| is_failing_reader(peer))
}

/// Returns true if another host reads the host list for all.
fn has_reading_peer(state: &State, now_ms: u64) -> bool {
    let silence_ms = READER_SILENCE_MS.max(2 * state.peers.interval_ms());
    let reads = |peer: &Peer| match &peer.last_message.watch {
        Some(watch) => watch.reads_host_list,
        // Hosts of the last release tell only when the store answered them.
        None => {
            let age_ms = peer.last_message.store_age_ms;
            age_ms.is_some_and(|age_ms| age_ms <= READER_SILENCE_MS)
        }
    };
    state.peers.live(now_ms).any(|(_, peer)| {
        now_ms.saturating_sub(peer.received_ms) <= silence_ms && reads(peer)
    })
}

/// Returns the engines that this host asks, and whether they run requests of this host.
fn assigned_targets(state: &State, now_ms: u64) -> Vec<(TargetName, bool)> {
    let configuration = state.configuration.as_ref();
    let is_engine = |entry: &TargetEntry| {
        configuration.is_some_and(|known| known.engine(&entry.pool).is_some())
    };
    let has_own_runs = |target: &TargetName| {
        let load = state.own_loads.get(target);
        load.is_some_and(|load| load.runs > 0)
    };
    state
        .directory
        .iter()
        .filter(|(target, entry)| {
            !entry.is_leaving
                && is_engine(entry)
                && !state.target_notices.get(target).is_leaving
                && is_asker(state, now_ms, target, entry)
        })
        .map(|(target, _)| (target.clone(), has_own_runs(target)))
        .collect()
}

/// Returns true if this host is the one that asks a target: the first live host after the target's
/// hash on a ring, of the target's zone if there is one.
fn is_asker(
    state: &State,
    now_ms: u64,
    target: &TargetName,
    entry: &TargetEntry,
) -> bool {
    let own = state.identity.address;
    let hash = stable_hash(target.as_str().as_bytes());
    let is_live =
        |address: SocketAddr| address == own || state.peers.is_live_at(now_ms, address);
    let senders = state.peers.senders();
    let in_zone = senders.first_of_zone(&entry.zone, hash, is_live);
    let asker = in_zone.or_else(|| senders.first(hash, is_live));
    asker == Some(own)
}

/// Handles the report of an engine, or that it gave none.
pub(super) fn handle_report(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    report: Option<TargetReport>,
    effects: &mut Vec<Effect>,
) {
    if let Some(leaves_in_ms) = report.and_then(|report| report.leaves_in_ms) {
        let leaves_at_ms = now_ms.saturating_add(leaves_in_ms);
        state.leaves_at_ms.insert(target.clone(), leaves_at_ms);
    }
    match state.target_watch.record(now_ms, target, report) {
        Belief::Leaving => {
            state.suspected_targets.remove(target);
            notices::record_leaving(state, now_ms, target, effects);
        }
        Belief::Suspected => {
            let entry = state.directory.get(target);
            let started_unix_ms = entry.and_then(|entry| entry.started_unix_ms);
            suspect(
                state,
                now_ms,
                target,
                started_unix_ms,
                SUSPICION_MS,
                true,
                effects,
            );
        }
        Belief::Unchanged => {}
    }
}

/// Returns what this host tells its peers.
pub(super) fn own_report(state: &State, now_ms: u64) -> WatchReport {
    WatchReport {
        reads_host_list: state.reads_host_list,
        suspicions: state.suspected_targets.own_reports(now_ms),
    }
}

/// Records the suspicions of a peer.
pub(super) fn handle_peer_report(
    state: &mut State,
    now_ms: u64,
    message: &Message,
    effects: &mut Vec<Effect>,
) {
    let Some(watch) = &message.watch else {
        return;
    };
    for report in &watch.suspicions {
        let entry = state.directory.get(&report.target);
        // A report of another start says nothing about the target.
        if entry.is_some_and(|entry| entry.started_unix_ms == report.started_unix_ms) {
            suspect(
                state,
                now_ms,
                &report.target,
                report.started_unix_ms,
                report.left_ms,
                false,
                effects,
            );
        }
    }
}

/// Suspects a target, unless too many of its pool are suspected: its runs begin to migrate, and
/// it gets no new ones.
fn suspect(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    started_unix_ms: Option<u64>,
    left_ms: u64,
    is_own: bool,
    effects: &mut Vec<Effect>,
) {
    let Some(entry) = state.directory.get(target).cloned() else {
        return;
    };
    let is_known = entry.is_leaving || state.target_notices.get(target).is_leaving;
    if is_known || !may_suspect_another(state, now_ms, &entry.pool) {
        return;
    }
    let suspected = &mut state.suspected_targets;
    if !suspected.suspect(now_ms, target, started_unix_ms, left_ms, is_own) {
        return;
    }
    state.must_broadcast |= is_own;
    effects.push(Effect::Log(LogEvent::TargetSuspected {
        target: target.clone(),
        is_own,
        runs: state.own_loads.get(target).map_or(0, |load| load.runs),
    }));
    migration::leave(state, now_ms, &[(target.clone(), entry)], effects);
}

fn may_suspect_another(state: &State, now_ms: u64, pool: &PoolName) -> bool {
    let is_of_pool = |target: &&TargetName| {
        let entry = state.directory.get(target);
        entry.is_some_and(|entry| entry.pool == *pool)
    };
    let suspected = state.suspected_targets.iter(now_ms).filter(is_of_pool);
    suspected.count() < state.directory.accepting(pool).count() / SUSPECTS_DIVISOR
}
