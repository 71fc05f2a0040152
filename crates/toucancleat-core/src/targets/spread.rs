//! How judgements of targets spread in the zone.

use super::{
    Effect, Heard, Judgement, LeavingTarget, Message, Reason, Report, State, Target,
};
use crate::prelude::*;

/// Most leaving targets that are kept although this host hasn't seen them yet.
const EARLY_LEAVING_MAX: usize = 256;

impl State {
    pub(super) fn take_hosts(&mut self, peers: Vec<HostName>, effects: &mut Vec<Effect>) {
        let first = self.peers.is_empty();
        self.peers = peers;
        for target in self.targets.values_mut() {
            target.reports.retain(|host, _| self.peers.contains(host));
        }
        if first {
            // N.B. A host that has just started must not send work to a target whose
            // leaving was told before.
            for to in self.random_peers(self.config.forward_hosts) {
                let message = self.views(true);
                effects.push(Effect::Send { to, message });
            }
        }
    }

    pub(super) fn receive(
        &mut self,
        now_ms: u64,
        from: HostName,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Leaving(leaving) => {
                self.leaving(now_ms, leaving, Heard::FromPeer, effects)
            }
            Message::Report(report) => self.take_report(now_ms, &from, report, effects),
            Message::Views { reply, leaving } => {
                for leaving in leaving {
                    self.leaving(now_ms, leaving, Heard::FromPeer, effects);
                }
                if reply {
                    let message = self.views(false);
                    effects.push(Effect::Send { to: from, message });
                }
            }
        }
    }

    /// Takes a target out for good, and passes it on when it is news.
    ///
    /// The first to hear tells every host; each that it was news to passes it on to a
    /// few, so that no single lost message leaves a host without it.
    pub(super) fn leaving(
        &mut self,
        now_ms: u64,
        leaving: LeavingTarget,
        heard: Heard,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.targets.get_mut(&leaving.target) else {
            self.remember_early(leaving);
            return;
        };
        if known.epoch > leaving.epoch || (known.epoch == leaving.epoch && known.leaving)
        {
            return;
        }
        if known.epoch < leaving.epoch {
            *known = Target::new(known.pool.clone(), leaving.epoch);
        }
        known.leaving = true;
        self.news_until_ms = now_ms + self.config.news_ms;
        self.next_views_ms = self
            .next_views_ms
            .min(now_ms + self.config.news_interval_ms);
        let (target, reason) = (leaving.target.clone(), Reason::Leaving);
        effects.push(Effect::TakenOut { target, reason });
        let receivers = match heard {
            Heard::Directly => self.peers.clone(),
            Heard::FromPeer => self.random_peers(self.config.forward_hosts),
        };
        for to in receivers {
            let message = Message::Leaving(leaving.clone());
            effects.push(Effect::Send { to, message });
        }
    }

    /// Tells every host of the zone what this host judges.
    pub(super) fn report(
        &mut self,
        target: &TargetName,
        out_for_ms: u64,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        // N.B. Time is part of the version, so that a restarted host's reports replace
        // those from before.
        self.last_version = now_ms.max(self.last_version + 1);
        let Some(known) = self.targets.get(target) else {
            return;
        };
        let report = Report {
            target: target.clone(),
            epoch: known.epoch,
            version: self.last_version,
            out_for_ms,
        };
        for to in &self.peers {
            let message = Message::Report(report.clone());
            effects.push(Effect::Send {
                to: to.clone(),
                message,
            });
        }
    }

    fn take_report(
        &mut self,
        now_ms: u64,
        from: &HostName,
        report: Report,
        effects: &mut Vec<Effect>,
    ) {
        let needed = self.config.reporters_to_open;
        let Some(known) = self.targets.get_mut(&report.target) else {
            return;
        };
        let older = known
            .reports
            .get(from)
            .is_some_and(|old| old.version >= report.version);
        if !is_same_epoch(known.epoch, report.epoch)
            || older
            || !self.peers.contains(from)
        {
            return;
        }
        let limit_ms = self.config.probation_max_ms;
        let out_until_ms = now_ms + report.out_for_ms.min(limit_ms);
        let judgement = Judgement {
            version: report.version,
            out_until_ms,
        };
        known.reports.insert(from.clone(), judgement);
        let in_force = known
            .reports
            .values()
            .map(|r| r.out_until_ms)
            .filter(|&until| until > now_ms);
        let own = usize::from(!known.breaker.is_closed());
        if in_force.clone().count() + own < needed || report.out_for_ms == 0 {
            return;
        }
        let was_closed = known.breaker.is_closed();
        known.breaker.hold_until(in_force.max().unwrap_or(now_ms));
        if was_closed {
            let (target, reason) = (report.target, Reason::Reported);
            effects.push(Effect::TakenOut { target, reason });
        }
    }

    /// Exchanges views with random hosts, which mends whatever messages were lost.
    ///
    /// After news of a leaving target it does so more often for a while, so that also a
    /// host that missed every word hears it within the time in which new work must end.
    pub(super) fn exchange_views(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if now_ms < self.next_views_ms {
            return;
        }
        let fresh = now_ms < self.news_until_ms;
        let (interval_ms, receivers) = match fresh {
            true => (self.config.news_interval_ms, self.config.forward_hosts),
            false => (self.config.views_interval_ms, 1),
        };
        self.next_views_ms = now_ms + interval_ms;
        let message = self.views(false);
        if matches!(&message, Message::Views { leaving, .. } if leaving.is_empty()) {
            return;
        }
        for to in self.random_peers(receivers) {
            effects.push(Effect::Send {
                to,
                message: message.clone(),
            });
        }
    }

    /// Makes a message with targets that leave.
    ///
    /// Reports aren't repeated: they end by themselves, and each host judges by itself.
    fn views(&mut self, reply: bool) -> Message {
        let mut leaving: Vec<LeavingTarget> = self
            .targets
            .iter()
            .filter(|(_, known)| known.leaving)
            .map(|(name, known)| LeavingTarget {
                target: name.clone(),
                epoch: known.epoch,
            })
            .collect();
        self.rng.shuffle(&mut leaving);
        leaving.truncate(self.config.entries_per_message_max);
        Message::Views { reply, leaving }
    }

    /// Keeps what was told about a target that this host hasn't seen yet.
    fn remember_early(&mut self, leaving: LeavingTarget) {
        let epoch = self.early_leaving.entry(leaving.target).or_default();
        *epoch = leaving.epoch.max(*epoch);
        if self.early_leaving.len() > EARLY_LEAVING_MAX {
            self.early_leaving.shift_remove_index(0);
        }
    }

    fn random_peers(&mut self, count: usize) -> Vec<HostName> {
        let mut peers = self.peers.clone();
        self.rng.shuffle(&mut peers);
        peers.truncate(count);
        peers
    }
}

/// Says whether two hosts may speak of the same start of a target.
///
/// N.B. A host that has not looked at the target itself knows no epoch and says zero.
fn is_same_epoch(one: u64, other: u64) -> bool {
    one == other || one == 0 || other == 0
}
