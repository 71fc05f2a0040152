//! Handles what targets report about themselves, in answers to this host or to its peers.

use toucancleat_core::prelude::*;

use super::migration;
use crate::event::{Effect, LogEvent};
use crate::peers::{Message, Peer, earliest_send_ms};
use crate::rate_limit::{SenderCandidate, sender_share_per_s};
use crate::state::{State, random_unit};
use crate::target::TargetEntry;
use crate::target_notice::{AnswerSource, KnownNotice, NoticeReport, TargetNotice};

/// Interval at which the shares of limits follow the live hosts.
const SHARE_INTERVAL_MS: u64 = 500;

/// Discards notices that are out of date, and updates this host's shares of the limits.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    state.brittle_targets.expire(now_ms);
    for (target, before) in state.target_notices.expire(now_ms) {
        log_change(state, now_ms, &target, &before, effects);
    }
    if now_ms < state.shares_due_ms {
        return;
    }
    state.shares_due_ms = now_ms + SHARE_INTERVAL_MS;
    update_brittle_rates(state, now_ms);
    let limits = state.target_notices.limits();
    let limits: Vec<_> = limits
        .map(|(target, limit_per_s)| (target.clone(), limit_per_s))
        .collect();
    for (target, limit_per_s) in limits {
        update_share(state, now_ms, &target, limit_per_s);
    }
}

/// Records the notice of an answer to this host, and tells the peers at once if it changes
/// what they may send.
pub(super) fn handle_notice(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    notice: TargetNotice,
    effects: &mut Vec<Effect>,
) {
    // The answer may arrive after the target has left.
    let Some(entry) = known_entry(state, target).cloned() else {
        return;
    };
    let is_brittle = notice.rejections_max_per_s.is_some();
    if state
        .brittle_targets
        .record_answer(now_ms, &entry.pool, is_brittle)
    {
        state.must_broadcast = true;
        update_brittle_rates(state, now_ms);
        effects.push(Effect::Log(LogEvent::BrittlenessChanged {
            pool: entry.pool.clone(),
            rejections_max_per_s: notice.rejections_max_per_s,
        }));
    }
    let source = AnswerSource {
        started_unix_ms: entry.started_unix_ms,
        answered_ms: now_ms,
        is_own: true,
    };
    if let Some(before) = state.target_notices.record(target, notice, source) {
        let is_urgent = state.target_notices.get(target).is_urgent_after(&before);
        state.must_broadcast |= is_urgent;
        apply_change(state, now_ms, (target, &entry), &before, effects);
    }
}

/// Records that a target has said that it is leaving, when it was asked, and tells the peers.
pub(super) fn record_leaving(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    effects: &mut Vec<Effect>,
) {
    let Some(entry) = known_entry(state, target).cloned() else {
        return;
    };
    let notice = TargetNotice {
        rate_limit_per_s: state.target_notices.get(target).rate_limit_per_s,
        is_leaving: true,
        ..TargetNotice::default()
    };
    let source = AnswerSource {
        started_unix_ms: entry.started_unix_ms,
        answered_ms: now_ms,
        is_own: true,
    };
    if let Some(before) = state.target_notices.record(target, notice, source) {
        state.must_broadcast = true;
        apply_change(state, now_ms, (target, &entry), &before, effects);
    }
}

/// Records the notices that a peer has received.
///
/// A notice of unknown age could replace a later one, so a message that echoes none of this
/// host is ignored here; the peer's next message repeats its notices.
pub(super) fn handle_reports(
    state: &mut State,
    now_ms: u64,
    message: &Message,
    effects: &mut Vec<Effect>,
) {
    let Some(sent_ms) = earliest_send_ms(message, state.identity.incarnation, now_ms)
    else {
        return;
    };
    state.brittle_targets.record_reports(
        sent_ms,
        &state.identity.host,
        &message.brittle_reports,
    );
    for report in &message.notices {
        handle_report(state, now_ms, sent_ms, report, effects);
    }
}

fn handle_report(
    state: &mut State,
    now_ms: u64,
    sent_ms: u64,
    report: &NoticeReport,
    effects: &mut Vec<Effect>,
) {
    let target = &report.target;
    let entry = known_entry(state, target).cloned();
    // A report of an earlier start says nothing about the target.
    let entry = entry.filter(|entry| entry.started_unix_ms == report.started_unix_ms);
    let (Some(entry), Some(answered_ms)) = (entry, sent_ms.checked_sub(report.age_ms))
    else {
        return;
    };
    let notice = TargetNotice {
        rate_limit_per_s: report.rate_limit_per_s,
        is_leaving: report.is_leaving,
        ..TargetNotice::default()
    };
    let source = AnswerSource {
        started_unix_ms: entry.started_unix_ms,
        answered_ms,
        is_own: false,
    };
    if let Some(before) = state.target_notices.record(target, notice, source) {
        apply_change(state, now_ms, (target, &entry), &before, effects);
    }
}

fn known_entry<'a>(state: &'a State, target: &TargetName) -> Option<&'a TargetEntry> {
    let expired = || state.expired_entries.get(target).map(|(entry, _)| entry);
    state.directory.get(target).or_else(expired)
}

/// Acts on what a target has newly reported.
fn apply_change(
    state: &mut State,
    now_ms: u64,
    (target, entry): (&TargetName, &TargetEntry),
    before: &KnownNotice,
    effects: &mut Vec<Effect>,
) {
    log_change(state, now_ms, target, before, effects);
    let known = state.target_notices.get(target);
    if let Some(limit_per_s) = known.rate_limit_per_s {
        update_share(state, now_ms, target, limit_per_s);
    }
    // The host list may have shown it before.
    if known.is_leaving && !before.is_leaving && !entry.is_leaving {
        migration::leave(state, now_ms, &[(target.clone(), entry.clone())], effects);
    }
}

/// Updates this host's parts of the rates at which brittle targets answer. An engine's latency is
/// that of its first event and says nothing about its rate.
fn update_brittle_rates(state: &mut State, now_ms: u64) {
    let hosts = state.peers.fleet_size();
    let pools: Vec<PoolName> = state.brittle_targets.pools(now_ms).cloned().collect();
    for pool in pools {
        let configuration = state.configuration.as_ref();
        if configuration.is_some_and(|known| known.engine(&pool).is_some()) {
            continue;
        }
        let latencies = state.directory.accepting(&pool);
        let highest_ms = latencies
            .filter_map(|(target, _)| state.health.latency_ms(target))
            .max_by(f64::total_cmp);
        for (target, entry) in state.directory.accepting(&pool) {
            let latency_ms = state.health.latency_ms(target).or(highest_ms);
            let first_part = random_unit(&mut state.rng_state);
            let slots = entry.slots;
            state
                .brittle_targets
                .set_rate(now_ms, target, hosts, slots, latency_ms, first_part);
        }
    }
}

fn update_share(state: &mut State, now_ms: u64, target: &TargetName, limit_per_s: f64) {
    let share_per_s = own_share_per_s(state, now_ms, target, limit_per_s);
    let first_part = random_unit(&mut state.rng_state);
    state
        .target_notices
        .set_share_per_s(now_ms, target, share_per_s, first_part);
}

fn own_share_per_s(
    state: &State,
    now_ms: u64,
    target: &TargetName,
    limit_per_s: f64,
) -> f64 {
    let is_accepting = |(_, peer): &(&HostName, &Peer)| !peer.last_message.is_stopping;
    let peers = || state.peers.live(now_ms).filter(is_accepting);
    let fleet_size = state.peers.fleet_size();
    if peers().next().is_none() && fleet_size > 1 {
        // This host has just started or is isolated, possibly like all others.
        return limit_per_s / fleet_size as f64;
    }
    let target_zone = known_entry(state, target).map(|entry| &entry.zone);
    // Hosts of an evacuated zone send to the targets of all others.
    let is_in_zone = |zone: &ZoneName| {
        target_zone.is_none_or(|known| known == zone) || state.evacuations.contains(zone)
    };
    let own = SenderCandidate {
        host: &state.identity.host,
        is_in_zone: is_in_zone(&state.identity.zone),
    };
    let others = peers().map(|(host, peer)| SenderCandidate {
        host,
        is_in_zone: is_in_zone(&peer.last_message.zone),
    });
    sender_share_per_s(limit_per_s, target, own, others)
}

fn log_change(
    state: &State,
    now_ms: u64,
    target: &TargetName,
    before: &KnownNotice,
    effects: &mut Vec<Effect>,
) {
    let after = state.target_notices.get(target);
    if before.rate_limit_per_s != after.rate_limit_per_s {
        effects.push(Effect::Log(LogEvent::RateLimitChanged {
            target: target.clone(),
            limit_per_s: after.rate_limit_per_s,
            limit_before_per_s: before.rate_limit_per_s,
        }));
    }
    if after.is_leaving && !before.is_leaving {
        effects.push(Effect::Log(LogEvent::TargetReportedLeaving {
            target: target.clone(),
            runs: state.own_loads.get(target).map_or(0, |load| load.runs),
        }));
    }
    if after.paused_until_ms > before.paused_until_ms {
        effects.push(Effect::Log(LogEvent::TargetPaused {
            target: target.clone(),
            pause_ms: after.paused_until_ms.saturating_sub(now_ms),
        }));
    }
}
