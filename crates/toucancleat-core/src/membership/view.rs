//! The members of the zone, and how entries about them merge.

use std::net::SocketAddr;

use super::{Effect, Host, ListedHost, MemberEntry, State, Status};
use crate::prelude::*;
use crate::rng::{mix64, stable_hash};

/// The known state of another host of the zone.
#[derive(Debug)]
pub(super) struct Member {
    pub entry: MemberEntry,
    /// When the entry last changed, or when this host last resumed from a pause.
    pub status_since_ms: u64,
    /// Number of times that the entry was sent since it changed.
    pub transmits: u32,
}

impl State {
    /// Returns this host's entry about itself.
    pub fn own(&self) -> &MemberEntry {
        &self.own
    }

    /// Returns the version of the set of live hosts, which is local to this host.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the live hosts of the zone, which are those that can be homes, including
    /// this host unless it is leaving.
    pub fn live_hosts(&self) -> impl Iterator<Item = &Host> {
        self.entries()
            .filter(|entry| entry.status.is_live())
            .map(|entry| &entry.host)
    }

    /// Returns every entry in the view, starting with this host's entry about itself.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        std::iter::once(&self.own)
            .chain(self.members.values().map(|member| &member.entry))
    }

    /// Returns the number of hosts of the zone that may be running but unreachable, or
    /// `None` until the host list has been read.
    ///
    /// These are the dead hosts, which the list may still show, and the listed hosts that
    /// this host has never had contact with.
    pub fn unreachable_hosts_max(&self) -> Option<usize> {
        if self.list_read_at_ms == 0 {
            return None;
        }
        let dead = self
            .members
            .values()
            .filter(|m| m.entry.status == Status::Dead);
        let unknown = self
            .seeds
            .keys()
            .filter(|name| !self.members.contains_key(*name));
        Some(dead.count() + unknown.count())
    }

    /// Returns a digest of the live hosts and their incarnations, by which two hosts
    /// detect that their views differ.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the status of a host of the zone, or `None` if it isn't known.
    pub fn status(&self, name: &HostName) -> Option<Status> {
        if *name == self.own.host.name {
            return Some(self.own.status);
        }
        self.members.get(name).map(|member| member.entry.status)
    }

    /// Returns the address of the port for peers of a member, a listed host or a
    /// delegate of another zone.
    pub fn address(&self, name: &HostName) -> Option<SocketAddr> {
        if let Some(member) = self.members.get(name) {
            return Some(member.entry.host.address);
        }
        if let Some(seed) = self.seeds.get(name) {
            return Some(seed.address);
        }
        self.zones.values().find_map(|zone| zone.address(name))
    }

    /// Merges one entry, unless it doesn't supersede the known one or belongs to another
    /// zone. An entry about this host itself is refuted if it is wrong.
    pub(super) fn merge(
        &mut self,
        now_ms: u64,
        entry: &MemberEntry,
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
        let previous = known.map(|member| member.entry.status);
        self.seeds.shift_remove(&entry.host.name);
        let member = Member {
            entry: entry.clone(),
            status_since_ms: now_ms,
            transmits: 0,
        };
        self.members.insert(entry.host.name.clone(), member);
        self.finish_merge(previous, entry, effects);
    }

    /// Sets the status of a member as this host itself has determined it.
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
        self.merge(now_ms, &MemberEntry { host, status }, effects);
    }

    /// Raises this host's incarnation above that of a wrong entry about it.
    fn refute(&mut self, entry: &MemberEntry, effects: &mut Vec<Effect>) {
        if !entry.supersedes(&self.own) {
            return;
        }
        let incarnation = Incarnation(entry.host.incarnation.0.saturating_add(1));
        self.own.host.incarnation = incarnation;
        self.digest = self.compute_digest();
        effects.push(Effect::Refuted { incarnation });
    }

    /// Announces a planned stop, after which this host is no longer a home.
    pub(super) fn leave(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        if self.own.status == Status::Left {
            return;
        }
        self.own.status = Status::Left;
        self.increment_version(effects);
        let mut peers = self.probe_candidates();
        self.rng.shuffle(&mut peers);
        // N.B. Pings several peers at once, so that the announcement isn't lost if this
        // host or one of the peers is killed soon after.
        peers.truncate(self.config.indirect_probes);
        for peer in peers {
            self.send_ping(now_ms, peer, effects);
        }
    }

    /// Notifies the daemon of a merged entry and updates the digest.
    fn finish_merge(
        &mut self,
        previous: Option<Status>,
        entry: &MemberEntry,
        effects: &mut Vec<Effect>,
    ) {
        let was_live = previous.is_some_and(Status::is_live);
        if previous != Some(entry.status) {
            let (host, status) = (entry.host.clone(), entry.status);
            effects.push(Effect::StatusChanged { host, status });
        }
        if was_live != entry.status.is_live() {
            self.increment_version(effects);
        } else {
            self.digest = self.compute_digest();
        }
    }

    /// Increments the version of the set of live hosts.
    fn increment_version(&mut self, effects: &mut Vec<Effect>) {
        self.version += 1;
        self.digest = self.compute_digest();
        effects.push(Effect::LiveHostsChanged {
            version: self.version,
        });
    }

    /// Computes the digest of the live hosts and their incarnations.
    ///
    /// Suspicions are excluded: they change faster than views could be synchronised.
    pub(super) fn compute_digest(&self) -> u64 {
        self.live_hosts().fold(0, |digest, host| {
            digest
                ^ mix64(stable_hash(host.name.as_str().as_bytes()) ^ host.incarnation.0)
        })
    }

    /// Declares dead the suspects that have not refuted their suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let timeout_ms = self.config.suspicion_ms;
        let expired: Vec<HostName> = self
            .members
            .values()
            .filter(|member| member.entry.status == Status::Suspect)
            .filter(|member| now_ms.saturating_sub(member.status_since_ms) >= timeout_ms)
            .map(|member| member.entry.host.name.clone())
            .collect();
        for name in expired {
            self.set_status(now_ms, &name, Status::Dead, effects);
        }
    }

    /// Removes the tombstones of hosts that have stopped for good.
    ///
    /// A dead host that the host list still shows may only be unreachable, so it is
    /// kept for further attempts to reach it. So is every dead host while the list
    /// can't be read.
    pub(super) fn expire_tombstones(&mut self, now_ms: u64) {
        let (list_read_at_ms, expiry_ms) =
            (self.list_read_at_ms, self.config.tombstone_ms);
        let seeds = &self.seeds;
        self.members.retain(|name, member| {
            let is_expired = now_ms.saturating_sub(member.status_since_ms) >= expiry_ms;
            match member.entry.status {
                Status::Alive | Status::Suspect => true,
                Status::Left => !is_expired,
                Status::Dead => {
                    !is_expired
                        || list_read_at_ms <= member.status_since_ms
                        || seeds.contains_key(name)
                }
            }
        });
        self.limit_tombstones();
    }

    /// Removes the tombstones that exceed the maximum number, in the order in which their
    /// hosts became known.
    fn limit_tombstones(&mut self) {
        let tombstones = self
            .members
            .values()
            .filter(|member| !member.entry.status.is_live());
        let mut excess = tombstones
            .count()
            .saturating_sub(self.config.tombstones_max);
        self.members.retain(|_, member| {
            let is_excess = excess > 0 && !member.entry.status.is_live();
            excess -= usize::from(is_excess);
            !is_excess
        });
    }

    /// Stores the hosts of the host list as seeds to contact, without a change of any
    /// status.
    pub(super) fn handle_host_list(&mut self, now_ms: u64, hosts: Vec<ListedHost>) {
        self.list_read_at_ms = now_ms;
        self.seeds.clear();
        for zone in self.zones.values_mut() {
            zone.clear_seeds();
        }
        for listed in hosts {
            if listed.is_leaving || listed.name == self.own.host.name {
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
        let is_live = self.status(&listed.name).is_some_and(Status::is_live);
        if is_live {
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
