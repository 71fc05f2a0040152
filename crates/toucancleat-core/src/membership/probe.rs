//! Probes: direct, through others, and on behalf of others.

use super::view::Member;
use super::{Effect, Message, State, Status};
use crate::prelude::*;

/// Most probes that a host carries out for others at once.
const RELAYS_MAX: usize = 64;

/// The probe in progress.
#[derive(Debug)]
pub(super) struct Probe {
    subject: HostName,
    sequence: u64,
    started_ms: u64,
    indirect: bool,
}

/// A probe on behalf of another host.
#[derive(Debug)]
pub(super) struct Relay {
    asker: HostName,
    asker_sequence: u64,
    sequence: u64,
    started_ms: u64,
}

impl State {
    /// Moves the probe in progress on, or starts the next one.
    pub(super) fn advance_probe(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let timeout_ms = self.config.probe_timeout_ms;
        if let Some(probe) = &self.probe
            && now_ms.saturating_sub(probe.started_ms) >= timeout_ms
        {
            self.ask_others(effects);
        }
        if now_ms < self.next_probe_ms {
            return;
        }
        self.next_probe_ms = now_ms + self.config.probe_interval_ms;
        self.relays
            .retain(|relay| now_ms.saturating_sub(relay.started_ms) < 2 * timeout_ms);
        if let Some(missed) = self.probe.take() {
            self.set_status(now_ms, &missed.subject, Status::Suspect, effects);
        }
        self.ping_suspect(now_ms, effects);
        if let Some(subject) = self.next_subject() {
            let sequence = self.send_ping(now_ms, subject.clone(), effects);
            let probe = Probe {
                subject,
                sequence,
                started_ms: now_ms,
                indirect: false,
            };
            self.probe = Some(probe);
        }
    }

    /// Tells a suspect what is believed of it, so that it can refute it in time even when
    /// messages are lost.
    fn ping_suspect(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let suspected =
            |(_, member): &(&HostName, &Member)| member.entry.status == Status::Suspect;
        let suspects: Vec<HostName> = self
            .members
            .iter()
            .filter(suspected)
            .map(|(name, _)| name.clone())
            .collect();
        if !suspects.is_empty() {
            let i = self.rng.below(suspects.len());
            self.send_ping(now_ms, suspects[i].clone(), effects);
        }
    }

    /// Goes on to indirect probes at once when the direct one could not be delivered.
    pub(super) fn probe_failed(
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
            self.ask_others(effects);
        }
    }

    fn ask_others(&mut self, effects: &mut Vec<Effect>) {
        let Some(probe) = self.probe.as_mut().filter(|probe| !probe.indirect) else {
            return;
        };
        probe.indirect = true;
        let (subject, sequence) = (probe.subject.clone(), probe.sequence);
        let mut helpers = self.probe_candidates();
        helpers.retain(|name| *name != subject);
        self.rng.shuffle(&mut helpers);
        helpers.truncate(self.config.indirect_probes);
        for to in helpers {
            let exchange = Box::new(self.make_exchange(&to));
            let message = Message::PingRequest {
                sequence,
                subject: subject.clone(),
                exchange,
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
        let exchange = Box::new(self.make_exchange(to));
        let message = Message::Ack {
            sequence,
            subject,
            exchange,
        };
        effects.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    pub(super) fn take_ack(
        &mut self,
        sequence: u64,
        subject: &HostName,
        effects: &mut Vec<Effect>,
    ) {
        let own = self
            .probe
            .as_ref()
            .is_some_and(|p| p.sequence == sequence && p.subject == *subject);
        if own {
            self.probe = None;
        }
        if let Some(i) = self
            .relays
            .iter()
            .position(|relay| relay.sequence == sequence)
        {
            let relay = self.relays.swap_remove(i);
            let subject = subject.clone();
            self.acknowledge(&relay.asker, relay.asker_sequence, subject, effects);
        }
    }

    pub(super) fn relay_probe(
        &mut self,
        now_ms: u64,
        asker: HostName,
        asker_sequence: u64,
        subject: HostName,
        effects: &mut Vec<Effect>,
    ) {
        if self.relays.len() >= RELAYS_MAX || !self.members.contains_key(&subject) {
            return;
        }
        let sequence = self.send_ping(now_ms, subject, effects);
        self.relays.push(Relay {
            asker,
            asker_sequence,
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
        let exchange = Box::new(self.make_exchange(&to));
        effects.push(Effect::Send {
            to,
            message: Message::Ping { sequence, exchange },
        });
        sequence
    }

    /// Returns the members that are alive or suspected.
    pub(super) fn probe_candidates(&self) -> Vec<HostName> {
        self.members
            .iter()
            .filter(|(_, member)| member.entry.status.takes_homes())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Takes the members in a random order, each once a round, so that the time until a
    /// dead host is probed has a bound.
    fn next_subject(&mut self) -> Option<HostName> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.probe_candidates();
                self.rng.shuffle(&mut self.probe_order);
            }
            let name = self.probe_order.pop()?;
            if self.status_of(&name).is_some_and(Status::takes_homes) {
                return Some(name);
            }
        }
    }

    /// Tries hosts that are listed or were known but are not alive in the view: they may
    /// have started, come back, or been cut off until now.
    pub(super) fn try_rejoin(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if now_ms < self.next_rejoin_ms {
            return;
        }
        let alone = !self.members.values().any(|m| m.entry.status.takes_homes());
        let wait_ms = if alone {
            self.config.probe_interval_ms
        } else {
            self.config.rejoin_interval_ms
        };
        self.next_rejoin_ms = now_ms + wait_ms;
        let dead = self
            .members
            .values()
            .filter(|member| member.entry.status == Status::Dead)
            .map(|member| &member.entry.host.name);
        let mut gone: Vec<HostName> = dead.chain(self.seeds.keys()).cloned().collect();
        self.rng.shuffle(&mut gone);
        if let Some(to) = gone.pop() {
            self.send_ping(now_ms, to, effects);
        }
    }

    /// Gives every pending judgement its time again when this host itself was paused:
    /// the silence was its own.
    pub(super) fn allow_for_pause(&mut self, now_ms: u64) {
        let last_ms = self.last_tick_ms.replace(now_ms).unwrap_or(now_ms);
        if now_ms.saturating_sub(last_ms) < self.config.pause_ms {
            return;
        }
        self.probe = None;
        for member in self.members.values_mut() {
            if member.entry.status == Status::Suspect {
                member.since_ms = now_ms;
            }
        }
    }
}
