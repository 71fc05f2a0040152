//! Messages by which the hosts of a zone share which targets are unavailable.

use super::{
    BreakerReport, Effect, LeavingSource, LeavingTarget, Message, PeerReport, Reason,
    State, TargetHealth,
};
use crate::prelude::*;

/// Most leaving targets that are recorded before this host knows the target itself.
const UNKNOWN_LEAVING_MAX: usize = 256;

impl State {
    /// Replaces the live peers, and drops the reports of all others.
    ///
    /// If there were no peers before, a few of them receive a request for the leaving
    /// targets that they know.
    pub(super) fn set_peers(&mut self, peers: Vec<HostName>, effects: &mut Vec<Effect>) {
        let is_first = self.peers.is_empty();
        self.peers = peers;
        for target in self.targets.values_mut() {
            target
                .peer_reports
                .retain(|host, _| self.peers.contains(host));
        }
        if is_first {
            // N.B. A host that has just started must not send work to a target that was
            // announced as leaving before the start.
            for to in self.random_peers(self.config.forward_fanout) {
                let message = self.leaving_targets(true);
                effects.push(Effect::Send { to, message });
            }
        }
    }

    pub(super) fn handle_message(
        &mut self,
        now_ms: u64,
        from: HostName,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Leaving(leaving) => {
                self.mark_leaving(now_ms, leaving, LeavingSource::Peer, effects)
            }
            Message::Report(report) => self.merge_report(now_ms, &from, report, effects),
            Message::LeavingTargets { reply, leaving } => {
                for leaving in leaving {
                    self.mark_leaving(now_ms, leaving, LeavingSource::Peer, effects);
                }
                if reply {
                    let message = self.leaving_targets(false);
                    effects.push(Effect::Send { to: from, message });
                }
            }
        }
    }

    /// Marks a target as leaving for good, and forwards the message if it is an update.
    ///
    /// The host that detects it sends it to every peer. Each peer for which it
    /// is an update forwards it to a few others, so that no single lost message leaves a
    /// host without it.
    pub(super) fn mark_leaving(
        &mut self,
        now_ms: u64,
        leaving: LeavingTarget,
        source: LeavingSource,
        effects: &mut Vec<Effect>,
    ) {
        let Some(health) = self.targets.get_mut(&leaving.target) else {
            self.record_unknown_leaving(leaving);
            return;
        };
        if health.epoch > leaving.epoch
            || (health.epoch == leaving.epoch && health.is_leaving)
        {
            return;
        }
        if health.epoch < leaving.epoch {
            *health = TargetHealth::new(health.pool.clone(), leaving.epoch);
        }
        health.is_leaving = true;
        self.fast_gossip_until_ms = now_ms + self.config.fast_gossip_ms;
        self.next_gossip_ms = self
            .next_gossip_ms
            .min(now_ms + self.config.fast_gossip_interval_ms);
        let (target, reason) = (leaving.target.clone(), Reason::Leaving);
        effects.push(Effect::TargetUnavailable { target, reason });
        let recipients = match source {
            LeavingSource::Local => self.peers.clone(),
            LeavingSource::Peer => self.random_peers(self.config.forward_fanout),
        };
        for to in recipients {
            let message = Message::Leaving(leaving.clone());
            effects.push(Effect::Send { to, message });
        }
    }

    /// Sends the state of this host's breaker of a target to every live peer.
    ///
    /// `unavailable_for_ms` is zero once the target is available again.
    pub(super) fn broadcast_report(
        &mut self,
        target: &TargetName,
        unavailable_for_ms: u64,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        // N.B. The version is at least the time, so that a restarted host's reports
        // replace those from before the restart.
        self.last_version = now_ms.max(self.last_version + 1);
        let Some(health) = self.targets.get(target) else {
            return;
        };
        let report = BreakerReport {
            target: target.clone(),
            epoch: health.epoch,
            version: self.last_version,
            unavailable_for_ms,
        };
        for to in &self.peers {
            let message = Message::Report(report.clone());
            effects.push(Effect::Send {
                to: to.clone(),
                message,
            });
        }
    }

    /// Records a peer's report, and opens the breaker once enough hosts agree.
    fn merge_report(
        &mut self,
        now_ms: u64,
        from: &HostName,
        report: BreakerReport,
        effects: &mut Vec<Effect>,
    ) {
        let reporters_needed = self.config.reporters_to_open;
        let Some(health) = self.targets.get_mut(&report.target) else {
            return;
        };
        let is_stale = health
            .peer_reports
            .get(from)
            .is_some_and(|known| known.version >= report.version);
        if !may_be_same_epoch(health.epoch, report.epoch)
            || is_stale
            || !self.peers.contains(from)
        {
            return;
        }
        let open_max_ms = self.config.open_max_ms;
        let unavailable_until_ms = now_ms + report.unavailable_for_ms.min(open_max_ms);
        let peer_report = PeerReport {
            version: report.version,
            unavailable_until_ms,
        };
        health.peer_reports.insert(from.clone(), peer_report);
        let active_until_ms = health
            .peer_reports
            .values()
            .map(|report| report.unavailable_until_ms)
            .filter(|&until_ms| until_ms > now_ms);
        let own_reports = usize::from(!health.breaker.is_closed());
        if active_until_ms.clone().count() + own_reports < reporters_needed
            || report.unavailable_for_ms == 0
        {
            return;
        }
        let was_closed = health.breaker.is_closed();
        health
            .breaker
            .extend_open(active_until_ms.max().unwrap_or(now_ms));
        if was_closed {
            let (target, reason) = (report.target, Reason::Reported);
            effects.push(Effect::TargetUnavailable { target, reason });
        }
    }

    /// Sends the known leaving targets to random peers, which repairs lost messages.
    ///
    /// After an update about a leaving target it does so more often for a while, so that
    /// also a host that missed every earlier message receives it within the time in which
    /// new work must end.
    pub(super) fn gossip(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if now_ms < self.next_gossip_ms {
            return;
        }
        let is_fast = now_ms < self.fast_gossip_until_ms;
        let (interval_ms, recipients) = match is_fast {
            true => (
                self.config.fast_gossip_interval_ms,
                self.config.forward_fanout,
            ),
            false => (self.config.gossip_interval_ms, 1),
        };
        self.next_gossip_ms = now_ms + interval_ms;
        let message = self.leaving_targets(false);
        if matches!(&message, Message::LeavingTargets { leaving, .. } if leaving.is_empty())
        {
            return;
        }
        for to in self.random_peers(recipients) {
            effects.push(Effect::Send {
                to,
                message: message.clone(),
            });
        }
    }

    /// Builds a message with the leaving targets, a random choice of them if there are
    /// more than one message may hold.
    ///
    /// Reports aren't repeated: they expire, and each host has a breaker of its own.
    fn leaving_targets(&mut self, reply: bool) -> Message {
        let mut leaving: Vec<LeavingTarget> = self
            .targets
            .iter()
            .filter(|(_, health)| health.is_leaving)
            .map(|(name, health)| LeavingTarget {
                target: name.clone(),
                epoch: health.epoch,
            })
            .collect();
        self.rng.shuffle(&mut leaving);
        leaving.truncate(self.config.entries_per_message_max);
        Message::LeavingTargets { reply, leaving }
    }

    /// Records that a target leaves which this host doesn't know yet; past the limit the
    /// oldest record is dropped.
    fn record_unknown_leaving(&mut self, leaving: LeavingTarget) {
        let epoch = self.unknown_leaving.entry(leaving.target).or_default();
        *epoch = leaving.epoch.max(*epoch);
        if self.unknown_leaving.len() > UNKNOWN_LEAVING_MAX {
            self.unknown_leaving.shift_remove_index(0);
        }
    }

    fn random_peers(&mut self, count: usize) -> Vec<HostName> {
        let mut peers = self.peers.clone();
        self.rng.shuffle(&mut peers);
        peers.truncate(count);
        peers
    }
}

/// Returns true if the epochs of two hosts may belong to the same start of a target.
///
/// N.B. A host that hasn't observed the target itself knows no epoch and sends zero.
fn may_be_same_epoch(own: u64, reported: u64) -> bool {
    own == reported || own == 0 || reported == 0
}
