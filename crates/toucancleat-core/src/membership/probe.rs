//! Failure detection: direct probes, indirect probes, and probes on behalf of peers.

use super::view::Member;
use super::{Effect, Message, State, Status};
use crate::prelude::*;

/// Maximum number of concurrent probes on behalf of peers.
const RELAYED_PROBES_MAX: usize = 64;

/// The probe in progress.
#[derive(Debug)]
pub(super) struct Probe {
    subject: HostName,
    sequence: u64,
    started_ms: u64,
    /// True if the indirect probes have been requested.
    is_indirect: bool,
}

/// A probe on behalf of a peer.
#[derive(Debug)]
pub(super) struct RelayedProbe {
    requester: HostName,
    /// The requester's number of the probe, which the acknowledgement repeats.
    requester_sequence: u64,
    sequence: u64,
    started_ms: u64,
}

impl State {
    /// Requests indirect probes for an overdue probe, and starts a probe in each
    /// interval.
    ///
    /// A host whose probe is still unanswered when the next one starts is suspected.
    pub(super) fn advance_probe(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let timeout_ms = self.config.probe_timeout_ms;
        if let Some(probe) = &self.probe
            && now_ms.saturating_sub(probe.started_ms) >= timeout_ms
        {
            self.request_indirect_probes(effects);
        }
        if now_ms < self.next_probe_ms {
            return;
        }
        self.next_probe_ms = now_ms + self.config.probe_interval_ms;
        self.relayed_probes.retain(|relayed_probe| {
            now_ms.saturating_sub(relayed_probe.started_ms) < 2 * timeout_ms
        });
        if let Some(missed) = self.probe.take() {
            self.set_status(now_ms, &missed.subject, Status::Suspect, effects);
        }
        self.ping_suspect(now_ms, effects);
        if let Some(subject) = self.next_probe_subject() {
            let sequence = self.send_ping(now_ms, subject.clone(), effects);
            let probe = Probe {
                subject,
                sequence,
                started_ms: now_ms,
                is_indirect: false,
            };
            self.probe = Some(probe);
        }
    }

    /// Pings a random suspect, so that it receives the suspicion and can refute it in
    /// time even if messages are lost.
    fn ping_suspect(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let is_suspect =
            |(_, member): &(&HostName, &Member)| member.entry.status == Status::Suspect;
        let suspects: Vec<HostName> = self
            .members
            .iter()
            .filter(is_suspect)
            .map(|(name, _)| name.clone())
            .collect();
        if !suspects.is_empty() {
            let i = self.rng.below(suspects.len());
            self.send_ping(now_ms, suspects[i].clone(), effects);
        }
    }

    /// Requests indirect probes at once if the direct probe could not be delivered.
    pub(super) fn handle_delivery_failure(
        &mut self,
        _now_ms: u64,
        to: &HostName,
        effects: &mut Vec<Effect>,
    ) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.subject == *to)
        {
            self.request_indirect_probes(effects);
        }
    }

    /// Requests indirect probes of the current subject, once per probe.
    fn request_indirect_probes(&mut self, effects: &mut Vec<Effect>) {
        let Some(probe) = self.probe.as_mut().filter(|probe| !probe.is_indirect) else {
            return;
        };
        probe.is_indirect = true;
        let (subject, sequence) = (probe.subject.clone(), probe.sequence);
        let mut intermediaries = self.probe_candidates();
        intermediaries.retain(|name| *name != subject);
        self.rng.shuffle(&mut intermediaries);
        intermediaries.truncate(self.config.indirect_probes);
        for to in intermediaries {
            let gossip = Box::new(self.make_gossip(&to));
            let message = Message::PingRequest {
                sequence,
                subject: subject.clone(),
                gossip,
            };
            effects.push(Effect::Send { to, message });
        }
    }

    pub(super) fn acknowledge(
        &mut self,
        to: &HostName,
        sequence: u64,
        subject: HostName,
        effects: &mut Vec<Effect>,
    ) {
        let gossip = Box::new(self.make_gossip(to));
        let message = Message::Ack {
            sequence,
            subject,
            gossip,
        };
        effects.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    pub(super) fn handle_ack(
        &mut self,
        sequence: u64,
        subject: &HostName,
        effects: &mut Vec<Effect>,
    ) {
        let is_own_probe = self
            .probe
            .as_ref()
            .is_some_and(|p| p.sequence == sequence && p.subject == *subject);
        if is_own_probe {
            self.probe = None;
        }
        if let Some(i) = self
            .relayed_probes
            .iter()
            .position(|relayed_probe| relayed_probe.sequence == sequence)
        {
            let relayed_probe = self.relayed_probes.swap_remove(i);
            let subject = subject.clone();
            self.acknowledge(
                &relayed_probe.requester,
                relayed_probe.requester_sequence,
                subject,
                effects,
            );
        }
    }

    /// Probes a host on behalf of a peer, unless the host is unknown or too many such
    /// probes are in progress.
    pub(super) fn relay_probe(
        &mut self,
        now_ms: u64,
        requester: HostName,
        requester_sequence: u64,
        subject: HostName,
        effects: &mut Vec<Effect>,
    ) {
        if self.relayed_probes.len() >= RELAYED_PROBES_MAX
            || !self.members.contains_key(&subject)
        {
            return;
        }
        let sequence = self.send_ping(now_ms, subject, effects);
        self.relayed_probes.push(RelayedProbe {
            requester,
            requester_sequence,
            sequence,
            started_ms: now_ms,
        });
    }

    pub(super) fn send_ping(
        &mut self,
        _now_ms: u64,
        to: HostName,
        effects: &mut Vec<Effect>,
    ) -> u64 {
        self.sequence += 1;
        let sequence = self.sequence;
        let gossip = Box::new(self.make_gossip(&to));
        effects.push(Effect::Send {
            to,
            message: Message::Ping { sequence, gossip },
        });
        sequence
    }

    /// Returns the members that are alive or suspect.
    pub(super) fn probe_candidates(&self) -> Vec<HostName> {
        self.members
            .iter()
            .filter(|(_, member)| member.entry.status.is_live())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the next member to probe.
    ///
    /// Each round visits every member once in a random order, so that the time until a
    /// dead host is probed is bounded.
    fn next_probe_subject(&mut self) -> Option<HostName> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.probe_candidates();
                self.rng.shuffle(&mut self.probe_order);
            }
            let name = self.probe_order.pop()?;
            if self.status(&name).is_some_and(Status::is_live) {
                return Some(name);
            }
        }
    }

    /// Pings a random host that is in the host list or was known but is not alive in the
    /// view: it may have started, restarted or been disconnected until now.
    pub(super) fn try_rejoin(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if now_ms < self.next_rejoin_ms {
            return;
        }
        let is_alone = !self.members.values().any(|m| m.entry.status.is_live());
        let interval_ms = if is_alone {
            self.config.probe_interval_ms
        } else {
            self.config.rejoin_interval_ms
        };
        self.next_rejoin_ms = now_ms + interval_ms;
        let dead = self
            .members
            .values()
            .filter(|member| member.entry.status == Status::Dead)
            .map(|member| &member.entry.host.name);
        let mut candidates: Vec<HostName> =
            dead.chain(self.seeds.keys()).cloned().collect();
        self.rng.shuffle(&mut candidates);
        if let Some(to) = candidates.pop() {
            self.send_ping(now_ms, to, effects);
        }
    }

    /// Drops the current probe and restarts the timer of every suspicion if this host
    /// itself was paused, since it could not receive any answer meanwhile.
    pub(super) fn restart_timers_after_pause(&mut self, now_ms: u64) {
        let last_ms = self.last_tick_ms.replace(now_ms).unwrap_or(now_ms);
        if now_ms.saturating_sub(last_ms) < self.config.pause_ms {
            return;
        }
        self.probe = None;
        for member in self.members.values_mut() {
            if member.entry.status == Status::Suspect {
                member.status_since_ms = now_ms;
            }
        }
    }
}
