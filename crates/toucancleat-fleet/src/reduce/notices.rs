//! Handles what targets report about themselves, in answers to this host or to its peers.

use toucancleat_core::prelude::*;

use crate::event::{Effect, LogEvent};
use crate::peers::{Message, Peer, earliest_send_ms};
use crate::rate_limit::{SenderCandidate, sender_share_per_s};
use crate::state::{State, random_unit};
use crate::target_notice::TargetNotice;

/// Interval at which the shares of limits follow the live hosts.
const SHARE_INTERVAL_MS: u64 = 500;

/// Discards notices that are out of date, and updates this host's shares of the limits.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    for (target, notice) in state.target_notices.expire(now_ms) {
        log_change(&target, notice, TargetNotice::default(), effects);
    }
    if now_ms < state.shares_due_ms {
        return;
    }
    state.shares_due_ms = now_ms + SHARE_INTERVAL_MS;
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
    if let Some(before) = record(state, now_ms, target, notice, now_ms, true, effects) {
        state.has_unsent_notice |= notice.is_urgent_after(before);
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
    for report in &message.notices {
        if let Some(answered_ms) = sent_ms.checked_sub(report.age_ms) {
            let (target, notice) = (&report.target, report.notice);
            record(state, now_ms, target, notice, answered_ms, false, effects);
        }
    }
}

/// Records a notice, and returns the one before if they differ.
fn record(
    state: &mut State,
    now_ms: u64,
    target: &TargetName,
    notice: TargetNotice,
    answered_ms: u64,
    is_own: bool,
    effects: &mut Vec<Effect>,
) -> Option<TargetNotice> {
    // An answer, or a peer's report, may arrive after the target has left.
    if state.directory.get(target).is_none()
        && !state.expired_entries.contains_key(target)
    {
        return None;
    }
    let before = state
        .target_notices
        .record(target, notice, answered_ms, is_own)?;
    log_change(target, before, notice, effects);
    if let Some(limit_per_s) = notice.rate_limit_per_s {
        update_share(state, now_ms, target, limit_per_s);
    }
    Some(before)
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
    let target_zone = state.directory.get(target).map(|entry| &entry.zone);
    let is_in_zone = |zone: &ZoneName| target_zone.is_none_or(|known| known == zone);
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
    target: &TargetName,
    before: TargetNotice,
    after: TargetNotice,
    effects: &mut Vec<Effect>,
) {
    if before.rate_limit_per_s != after.rate_limit_per_s {
        effects.push(Effect::Log(LogEvent::RateLimitChanged {
            target: target.clone(),
            limit_per_s: after.rate_limit_per_s,
            limit_before_per_s: before.rate_limit_per_s,
        }));
    }
}
