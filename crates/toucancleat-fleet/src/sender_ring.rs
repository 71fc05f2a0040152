//! Chooses the hosts that send to a target of which the requests are bounded in any second.
//!
//! The bound holds for all hosts together, also for hosts that can't reach each other. So the
//! senders are chosen from all hosts that may be running, not from the live ones. See
//! docs/design/cold-targets.md.

use std::net::SocketAddr;

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

use crate::host_ring::HostRing;

/// Time for which a host that has fallen silent still counts among those that may be running.
/// Longer than most partitions.
const SILENT_HOST_RETENTION_MS: u64 = 3_600_000;

/// All hosts that may be running, this one included, by their addresses.
#[derive(Clone, Debug, Default)]
pub struct SenderRing {
    ring: HostRing<SocketAddr>,
    /// The zones of the hosts that were heard.
    zones: IndexMap<SocketAddr, ZoneName>,
    /// Hosts that have been silent for long, and until when they are kept.
    silent_until_ms: IndexMap<SocketAddr, u64>,
    changes: u64,
}

impl SenderRing {
    /// Adds a host of which the zone isn't known yet.
    pub fn add(&mut self, address: SocketAddr) {
        self.silent_until_ms.swap_remove(&address);
        self.ring.insert(&address);
        self.changes += 1;
    }

    /// Adds a host, or records its zone.
    pub fn record_zone(&mut self, address: SocketAddr, zone: &ZoneName) {
        self.silent_until_ms.swap_remove(&address);
        if self.zones.get(&address) != Some(zone) {
            self.zones.insert(address, zone.clone());
            self.ring.insert(&address);
            self.changes += 1;
        }
    }

    /// Removes a host that has another address now.
    pub fn remove(&mut self, address: SocketAddr) {
        self.silent_until_ms.swap_remove(&address);
        self.zones.swap_remove(&address);
        self.ring.remove(&address);
        self.changes += 1;
    }

    /// Records that a host has been silent for long. One that was heard before may be running
    /// nevertheless; one that was only listed most likely isn't.
    pub fn record_silence(&mut self, now_ms: u64, address: SocketAddr) {
        if self.zones.contains_key(&address) {
            let until_ms = now_ms + SILENT_HOST_RETENTION_MS;
            self.silent_until_ms.insert(address, until_ms);
        } else {
            self.remove(address);
        }
    }

    /// Removes hosts that have been silent for so long that they aren't running any more.
    pub fn expire(&mut self, now_ms: u64) {
        let is_gone = |(address, until_ms): (&SocketAddr, &u64)| {
            (now_ms >= *until_ms).then_some(*address)
        };
        let gone: Vec<SocketAddr> =
            self.silent_until_ms.iter().filter_map(is_gone).collect();
        for address in gone {
            self.remove(address);
        }
    }

    /// Returns the first host after a hash for which `is_usable` returns true.
    pub fn first(
        &self,
        hash: u64,
        is_usable: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let found = self.ring.successors(hash, 1, |address| is_usable(*address));
        found.first().map(|address| **address)
    }

    /// Returns the first host of a zone after a hash for which `is_usable` returns true.
    pub fn first_of_zone(
        &self,
        zone: &ZoneName,
        hash: u64,
        is_usable: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        self.first(hash, |address| {
            self.zones.get(&address) == Some(zone) && is_usable(address)
        })
    }

    /// Returns a number that differs after each change of the hosts.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns true if the host at `own`, of which the zone is known, is among the `count` hosts
    /// that send to what belongs to a hash: half of them from its zone, since they reach it when
    /// zones are partitioned, and the others from elsewhere.
    ///
    /// A host whose zone isn't known takes a place in both halves. So a host that has just started
    /// counts itself among the senders less often than the others would, not more.
    pub fn is_sender(
        &self,
        own: SocketAddr,
        zone: &ZoneName,
        hash: u64,
        count: usize,
    ) -> bool {
        let may_be_in_zone = |address: &SocketAddr, is_in_zone: bool| {
            let known_zone = self.zones.get(address);
            known_zone.is_none_or(|known| (known == zone) == is_in_zone)
        };
        let is_in_zone = self.zones.get(&own) == Some(zone);
        let places = if is_in_zone {
            count.div_ceil(2)
        } else {
            count / 2
        };
        let is_elsewhere = |address: &SocketAddr| may_be_in_zone(address, !is_in_zone);
        let others = self.ring.successors(hash, count - places, is_elsewhere);
        // Places that nobody takes there are free for the hosts here.
        let places = count - others.len();
        let is_here = |address: &SocketAddr| may_be_in_zone(address, is_in_zone);
        let here = self.ring.successors(hash, places, is_here);
        here.contains(&&own)
    }
}
