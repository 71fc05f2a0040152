//! The members of the zone and how statements about them merge.

use std::net::SocketAddr;

use super::{Effect, Entry, Host, ListedHost, State, Status};
use crate::prelude::*;
use crate::rng::{mix64, stable_hash};

/// A host of the zone, as this host sees it.
#[derive(Debug)]
pub(super) struct Member {
    pub entry: Entry,
    pub since_ms: u64,
    /// How often the statement has been passed on since it changed.
    pub transmits: u32,
}

impl State {
    /// Returns this host and the status that it gives itself.
    pub fn own(&self) -> &Entry {
        &self.own
    }

    /// Returns the version of the set of hosts that take homes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the hosts of the zone that take homes, this host included while it stays.
    pub fn live_hosts(&self) -> impl Iterator<Item = &Host> {
        self.entries()
            .filter(|entry| entry.status.takes_homes())
            .map(|entry| &entry.host)
    }

    /// Returns every statement in the view, this host's about itself first.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        std::iter::once(&self.own)
            .chain(self.members.values().map(|member| &member.entry))
    }

    /// Returns the hosts of the zone that have announced their stop and may still finish
    /// streams.
    pub fn leaving_hosts(&self) -> impl Iterator<Item = &Host> {
        let left = self.entries().filter(|entry| entry.status == Status::Left);
        left.map(|entry| &entry.host)
    }

    /// Returns how many hosts of the zone may run without being in reach, or `None` while
    /// the host list has not been read: dead ones that the list may still show, and
    /// listed ones that were never met.
    pub fn missing_hosts(&self) -> Option<usize> {
        if self.listed_at_ms == 0 {
            return None;
        }
        let dead = self
            .members
            .values()
            .filter(|m| m.entry.status == Status::Dead);
        let unmet = self
            .seeds
            .keys()
            .filter(|name| !self.members.contains_key(*name));
        Some(dead.count() + unmet.count())
    }

    /// Returns a digest of the live hosts and their incarnations, by which two hosts find
    /// out that they see the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the status of a host of the zone, or `None` for one that isn't known.
    pub fn status_of(&self, name: &HostName) -> Option<Status> {
        if *name == self.own.host.name {
            return Some(self.own.status);
        }
        self.members.get(name).map(|member| member.entry.status)
    }

    /// Returns where a host's peers' port is: a member, a listed host or a delegate.
    pub fn address_of(&self, name: &HostName) -> Option<SocketAddr> {
        if let Some(member) = self.members.get(name) {
            return Some(member.entry.host.address);
        }
        if let Some(seed) = self.seeds.get(name) {
            return Some(seed.address);
        }
        self.zones.values().find_map(|zone| zone.address_of(name))
    }

    /// Merges one statement; returns without effect when it is older or of another zone.
    pub(super) fn merge(
        &mut self,
        now_ms: u64,
        entry: &Entry,
        effects: &mut Vec<Effect>,
    ) {
        if entry.host.name == self.own.host.name {
            self.refute(entry, effects);
            return;
        }
        if entry.host.zone != self.own.host.zone {
            return;
        }
        let known = self.members.get(&entry.host.name);
        if known.is_some_and(|member| !entry.supersedes(&member.entry)) {
            return;
        }
        let before = known.map(|member| member.entry.status);
        self.seeds.shift_remove(&entry.host.name);
        let member = Member {
            entry: entry.clone(),
            since_ms: now_ms,
            transmits: 0,
        };
        self.members.insert(entry.host.name.clone(), member);
        self.after_change(before, entry, effects);
    }

    /// Sets the status of a member in this host's own judgement.
    pub(super) fn set_status(
        &mut self,
        now_ms: u64,
        name: &HostName,
        status: Status,
        effects: &mut Vec<Effect>,
    ) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        let host = member.entry.host.clone();
        self.merge(now_ms, &Entry { host, status }, effects);
    }

    /// Raises the own incarnation when a statement about this host is wrong.
    fn refute(&mut self, entry: &Entry, effects: &mut Vec<Effect>) {
        if !entry.supersedes(&self.own) {
            return;
        }
        let incarnation = Incarnation(entry.host.incarnation.0.saturating_add(1));
        self.own.host.incarnation = incarnation;
        self.digest = self.compute_digest();
        effects.push(Effect::Refuted { incarnation });
    }

    /// Announces a planned stop: no homes from now on.
    pub(super) fn leave(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if self.own.status == Status::Left {
            return;
        }
        self.own.status = Status::Left;
        self.count_change(effects);
        let mut peers = self.probe_candidates();
        self.rng.shuffle(&mut peers);
        // N.B. Told to several at once: a host that is killed soon after must not be the
        // only one that knew.
        peers.truncate(self.config.indirect_probes);
        for peer in peers {
            self.send_ping(now_ms, peer, effects);
        }
    }

    fn after_change(
        &mut self,
        before: Option<Status>,
        entry: &Entry,
        effects: &mut Vec<Effect>,
    ) {
        let lived = before.is_some_and(Status::takes_homes);
        if before != Some(entry.status) {
            let (host, status) = (entry.host.clone(), entry.status);
            effects.push(Effect::StatusChanged { host, status });
        }
        if lived != entry.status.takes_homes() {
            self.count_change(effects);
        } else {
            self.digest = self.compute_digest();
        }
    }

    fn count_change(&mut self, effects: &mut Vec<Effect>) {
        self.version += 1;
        self.digest = self.compute_digest();
        effects.push(Effect::LiveHostsChanged {
            version: self.version,
        });
    }

    /// Digests the live hosts with their incarnations.
    ///
    /// Suspicions are left out: they come and go faster than views could be synchronised.
    pub(super) fn compute_digest(&self) -> u64 {
        self.live_hosts().fold(0, |digest, host| {
            digest
                ^ mix64(stable_hash(host.name.as_str().as_bytes()) ^ host.incarnation.0)
        })
    }

    pub(super) fn expire_suspicions(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let limit_ms = self.config.suspicion_ms;
        let expired: Vec<HostName> = self
            .members
            .values()
            .filter(|member| member.entry.status == Status::Suspect)
            .filter(|member| now_ms.saturating_sub(member.since_ms) >= limit_ms)
            .map(|member| member.entry.host.name.clone())
            .collect();
        for name in expired {
            self.set_status(now_ms, &name, Status::Dead, effects);
        }
    }

    /// Forgets hosts that are gone for good.
    ///
    /// A dead host that the list still shows may be cut off, so it is kept to be tried
    /// again; so is every dead host while the list can't be read.
    pub(super) fn drop_tombstones(&mut self, now_ms: u64) {
        let (listed_at_ms, kept_ms) = (self.listed_at_ms, self.config.tombstone_ms);
        let seeds = &self.seeds;
        self.members.retain(|name, member| {
            let old = now_ms.saturating_sub(member.since_ms) >= kept_ms;
            match member.entry.status {
                Status::Alive | Status::Suspect => true,
                Status::Left => !old,
                Status::Dead => {
                    !old || listed_at_ms <= member.since_ms || seeds.contains_key(name)
                }
            }
        });
        self.bound_tombstones();
    }

    fn bound_tombstones(&mut self) {
        let gone = self
            .members
            .values()
            .filter(|member| !member.entry.status.takes_homes());
        let mut excess = gone.count().saturating_sub(self.config.tombstones_max);
        self.members.retain(|_, member| {
            let drop = excess > 0 && !member.entry.status.takes_homes();
            excess -= usize::from(drop);
            !drop
        });
    }

    /// Takes the host list as hints whom to try.
    pub(super) fn take_list(&mut self, now_ms: u64, hosts: Vec<ListedHost>) {
        self.listed_at_ms = now_ms;
        self.seeds.clear();
        for zone in self.zones.values_mut() {
            zone.clear_seeds();
        }
        for listed in hosts {
            if listed.leaving || listed.name == self.own.host.name {
                continue;
            }
            if listed.zone == self.own.host.zone {
                self.add_seed(listed);
            } else {
                self.add_zone_seed(listed);
            }
        }
    }

    fn add_seed(&mut self, listed: ListedHost) {
        let alive = self
            .status_of(&listed.name)
            .is_some_and(Status::takes_homes);
        if alive {
            return;
        }
        let ListedHost {
            name,
            zone,
            address,
            ..
        } = listed;
        let host = Host {
            name,
            zone,
            address,
            incarnation: Incarnation(0),
        };
        self.seeds.insert(host.name.clone(), host);
    }
}
