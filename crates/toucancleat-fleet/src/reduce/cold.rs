//! Learns which targets are cold, and computes how many requests this host may send to them.

use toucancleat_core::prelude::*;
use toucancleat_core::rng::stable_hash;

use crate::cold_targets::{ColdDivision, HEARTBEAT_INTERVAL_MS};
use crate::event::{Effect, LogEvent};
use crate::peers::Message;
use crate::request::AttemptOutcome;
use crate::state::{Registration, State};
use crate::store::StorePosition;
use crate::target::{TargetChange, TargetEntry};

/// Forgets targets that are warm, and updates this host's shares if hosts have come or gone, or
/// the configuration has changed.
pub(super) fn tick(state: &mut State, now_ms: u64) {
    state.cold_targets.expire(now_ms);
    let basis = share_basis(state);
    if basis == state.cold_share_basis {
        return;
    }
    state.cold_share_basis = basis;
    let targets: Vec<TargetName> = state.cold_targets.iter(now_ms).cloned().collect();
    for target in targets {
        update_share(state, now_ms, &target, None);
    }
}

/// Considers entries of the host list that this host, or the peer that sent them, has read from
/// the store in an era.
///
/// The list counts a heartbeat as no change, so this looks at all of them.
pub(super) fn record_changes(
    state: &mut State,
    now_ms: u64,
    era: u64,
    changes: &[TargetChange],
    effects: &mut Vec<Effect>,
) {
    if state.config.cold_bound.is_none() {
        return;
    }
    let is_first = !state.directory.is_known();
    for change in changes {
        let entry = change.entry.as_ref();
        let Some(entry) = entry.filter(|entry| is_bounded(state, &entry.pool)) else {
            continue;
        };
        let target = &change.target;
        let position = StorePosition {
            era,
            version: change.store_version,
        };
        let is_reported = state.is_reader;
        let is_new =
            state
                .cold_targets
                .record_entry(now_ms, position, target, entry, is_reported);
        if !is_new {
            continue;
        }
        update_share(state, now_ms, target, Some(entry));
        if !is_first {
            state.must_broadcast |= is_reported;
            effects.push(log(target, entry.slow_start_left_ms));
        }
    }
}

/// Records the cold targets that a peer reports.
pub(super) fn handle_reports(
    state: &mut State,
    now_ms: u64,
    message: &Message,
    effects: &mut Vec<Effect>,
) {
    if state.config.cold_bound.is_none() {
        return;
    }
    for report in &message.cold_reports {
        let entry = state.directory.get(&report.target);
        // A report of another start says nothing about the target.
        if entry.is_none_or(|entry| entry.started_unix_ms != report.started_unix_ms) {
            continue;
        }
        if state.cold_targets.record_report(now_ms, report) {
            update_share(state, now_ms, &report.target, None);
            effects.push(log(&report.target, report.left_ms));
        }
    }
}

/// Records whether an attempt reached its target.
pub(super) fn record_outcome(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    outcome: AttemptOutcome,
) {
    if state.config.cold_bound.is_none() {
        return;
    }
    let entry = state.directory.get(target);
    let Some(entry) = entry.filter(|entry| is_bounded(state, &entry.pool)) else {
        return;
    };
    let started_unix_ms = entry.started_unix_ms;
    let is_new = match outcome {
        AttemptOutcome::NotSent => {
            state
                .cold_targets
                .record_failure(now_ms, target, started_unix_ms)
        }
        AttemptOutcome::Answered { .. }
        | AttemptOutcome::ErrorAnswer
        | AttemptOutcome::Declined => {
            let has_returned = state.cold_targets.record_answer(now_ms, target);
            state.must_broadcast |= has_returned;
            has_returned
        }
        _ => false,
    };
    if is_new {
        update_share(state, now_ms, target, None);
    }
}

/// Records that operators have taken an evacuated zone back. Its targets may have become cold
/// shortly before, and their entries say so only with the next heartbeats.
pub(super) fn zone_returned(state: &mut State, now_ms: u64, zone: &ZoneName) {
    if state.config.cold_bound.is_none() {
        return;
    }
    let in_zone = state
        .directory
        .iter()
        .filter(|(_, entry)| entry.zone == *zone && is_bounded(state, &entry.pool));
    let targets: Vec<(TargetName, Option<u64>)> = in_zone
        .map(|(target, entry)| (target.clone(), entry.started_unix_ms))
        .collect();
    for (target, started_unix_ms) in targets {
        let is_new = state.cold_targets.assume(
            now_ms,
            &target,
            started_unix_ms,
            HEARTBEAT_INTERVAL_MS,
        );
        if is_new {
            update_share(state, now_ms, &target, None);
        }
    }
}

/// Returns true unless cold targets of a pool are known to take any number of requests.
fn is_bounded(state: &State, pool: &PoolName) -> bool {
    let configuration = state.configuration.as_ref();
    configuration.is_none_or(|known| {
        let pool = known.pools.get(pool);
        pool.is_some_and(|pool| pool.cold_requests_per_s.is_some())
    })
}

/// Returns what the shares depend on, apart from the targets.
fn share_basis(state: &State) -> (u64, Option<u64>, bool) {
    (
        state.peers.senders().changes(),
        state.configuration.as_ref().map(|known| known.version),
        state.registration == Registration::Listed,
    )
}

/// Updates this host's share of the requests to a cold target. `entry` is its entry if the host
/// list doesn't have it yet.
fn update_share(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    entry: Option<&TargetEntry>,
) {
    let expired = || state.expired_entries.get(target).map(|(entry, _)| entry);
    let entry = entry.or_else(|| state.directory.get(target));
    let Some(entry) = entry.or_else(expired) else {
        return;
    };
    let share_per_s = share_per_s(state, target, entry);
    state
        .cold_targets
        .set_share_per_s(now_ms, target, share_per_s);
}

/// Returns the requests per second that this host may send to a target while it is cold, or `None`
/// if they aren't bounded.
fn share_per_s(state: &State, target: &TargetName, entry: &TargetEntry) -> Option<f64> {
    let bound = state.config.cold_bound?;
    let Some(configuration) = &state.configuration else {
        return Some(0.0);
    };
    let pool = configuration.pools.get(&entry.pool)?;
    let division = ColdDivision::new(bound, pool.cold_requests_per_s?);
    let own = state.identity.address;
    let hash = stable_hash(target.as_str().as_bytes());
    // A host that doesn't know yet which others there are could take each share for its own.
    let is_sender = state.registration == Registration::Listed
        && state
            .peers
            .senders()
            .is_sender(own, &entry.zone, hash, division.senders);
    if !is_sender {
        return Some(0.0);
    }
    let senders = division.senders.min(state.peers.fleet_size());
    Some(division.rate_per_s / senders as f64)
}

fn log(target: &TargetName, left_ms: u64) -> Effect {
    Effect::Log(LogEvent::TargetCold {
        target: target.clone(),
        left_ms,
    })
}
