//! Other zones: their summaries, and the delegates that exchange them.

use std::net::SocketAddr;

use super::{Delegate, Effect, ListedHost, Message, State, ZoneSummary};
use crate::homes::{self, HomeKey, ZoneRole};
use crate::prelude::*;

/// The known state of another zone.
#[derive(Debug)]
pub struct ZoneState {
    summary: Option<ZoneSummary>,
    summary_at_ms: u64,
    is_reachable: bool,
    seeds: Vec<Delegate>,
}

impl ZoneState {
    /// Returns the latest summary, or `None` if none has arrived yet.
    pub fn summary(&self) -> Option<&ZoneSummary> {
        self.summary.as_ref()
    }

    /// Returns true if the latest summary has not expired.
    pub fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// Returns when the latest summary arrived, or when the zone became known if none
    /// has, in milliseconds since the Unix epoch.
    pub fn summary_at_ms(&self) -> u64 {
        self.summary_at_ms
    }

    pub(super) fn clear_seeds(&mut self) {
        self.seeds.clear();
    }

    pub(super) fn address(&self, name: &HostName) -> Option<SocketAddr> {
        self.contacts()
            .find(|contact| contact.name == *name)
            .map(|contact| contact.address)
    }

    /// Returns the hosts at which the zone may be reached, its delegates first.
    fn contacts(&self) -> impl Iterator<Item = &Delegate> {
        let delegates = self.summary.iter().flat_map(|summary| &summary.delegates);
        delegates.chain(&self.seeds)
    }

    fn new(now_ms: u64) -> Self {
        ZoneState {
            summary: None,
            summary_at_ms: now_ms,
            is_reachable: false,
            seeds: Vec::new(),
        }
    }
}

impl State {
    /// Returns the other zones in the order in which they became known.
    pub fn other_zones(&self) -> impl Iterator<Item = (&ZoneName, &ZoneState)> {
        self.zones.iter()
    }

    /// Returns the delegates of this zone, the preferred one first.
    pub fn delegates(&self) -> Vec<Delegate> {
        let key = HomeKey::Role(ZoneRole::Delegate);
        let ranked = homes::rank(&key, self.live_hosts(), self.config.delegates_per_zone);
        let to_delegate = |host: &super::Host| Delegate {
            name: host.name.clone(),
            address: host.address,
        };
        ranked.into_iter().map(to_delegate).collect()
    }

    /// Returns true if this host is a delegate of its zone.
    pub fn is_delegate(&self) -> bool {
        self.delegates()
            .iter()
            .any(|delegate| delegate.name == self.own.host.name)
    }

    /// Keeps a listed host as a seed of its zone, up to the maximum number per zone.
    pub(super) fn add_zone_seed(&mut self, listed: ListedHost) {
        let now_ms = self.list_read_at_ms;
        let zone = self
            .zones
            .entry(listed.zone)
            .or_insert_with(|| ZoneState::new(now_ms));
        let seed = Delegate {
            name: listed.name,
            address: listed.address,
        };
        if zone.seeds.len() < self.config.zone_seeds_max {
            zone.seeds.push(seed);
            return;
        }
        // N.B. Replaces a random seed, or all hosts would contact the first ones in the
        // list.
        let i = self.rng.below(2 * zone.seeds.len());
        if let Some(replaced) = zone.seeds.get_mut(i) {
            *replaced = seed;
        }
    }

    /// Sends this zone's summary to a random contact in a random other zone, if this
    /// host is a delegate.
    pub(super) fn exchange_summaries(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if now_ms < self.next_summary_ms {
            return;
        }
        self.next_summary_ms = now_ms + self.config.summary_interval_ms;
        if self.zones.is_empty() || !self.is_delegate() {
            return;
        }
        let zone = self.rng.below(self.zones.len());
        let contacts: Vec<HostName> = self.zones[zone]
            .contacts()
            .map(|contact| contact.name.clone())
            .collect();
        if contacts.is_empty() {
            return;
        }
        let to = contacts[self.rng.below(contacts.len())].clone();
        self.send_summary(now_ms, to, true, effects);
    }

    pub(super) fn send_summary(
        &mut self,
        now_ms: u64,
        to: HostName,
        reply: bool,
        effects: &mut Vec<Effect>,
    ) {
        let summary = ZoneSummary {
            zone: self.own.host.zone.clone(),
            created_unix_ms: now_ms,
            live_hosts: self.live_hosts().count() as u32,
            delegates: self.delegates(),
            spare: self.spare.clone(),
        };
        effects.push(Effect::Send {
            to,
            message: Message::Summary { reply, summary },
        });
    }

    /// Stores a summary of another zone if it is newer than the known one.
    pub(super) fn merge_summary(
        &mut self,
        now_ms: u64,
        summary: &ZoneSummary,
        effects: &mut Vec<Effect>,
    ) {
        if summary.zone == self.own.host.zone {
            return;
        }
        let zone = self
            .zones
            .entry(summary.zone.clone())
            .or_insert_with(|| ZoneState::new(now_ms));
        let is_newer = zone
            .summary
            .as_ref()
            .is_none_or(|known| summary.created_unix_ms > known.created_unix_ms);
        if !is_newer {
            return;
        }
        zone.summary = Some(summary.clone());
        zone.summary_at_ms = now_ms;
        if !std::mem::replace(&mut zone.is_reachable, true) {
            let zone = summary.zone.clone();
            effects.push(Effect::ZoneReachabilityChanged {
                zone,
                is_reachable: true,
            });
        }
    }

    /// Marks the zones as unreachable whose latest summary is too old.
    pub(super) fn expire_zones(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let expiry_ms = self.config.summary_expiry_ms;
        for (name, zone) in &mut self.zones {
            if zone.is_reachable && now_ms.saturating_sub(zone.summary_at_ms) >= expiry_ms
            {
                zone.is_reachable = false;
                let zone = name.clone();
                effects.push(Effect::ZoneReachabilityChanged {
                    zone,
                    is_reachable: false,
                });
            }
        }
    }

    /// Returns the summary of a random reachable zone, to be gossiped within this zone.
    pub(super) fn pick_summary(&mut self) -> Option<ZoneSummary> {
        let reachable: Vec<usize> = (0..self.zones.len())
            .filter(|&i| self.zones[i].is_reachable)
            .collect();
        let i = reachable.get(self.rng.below(reachable.len()))?;
        self.zones[*i].summary.clone()
    }
}
