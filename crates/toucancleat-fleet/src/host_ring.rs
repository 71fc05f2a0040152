//! Assigns keys to hosts by consistent hashing.

use std::collections::BTreeMap;

use toucancleat_core::prelude::*;
use toucancleat_core::rng::stable_hash;

/// Points of each host on the ring. With one point, some hosts of a large fleet would have
/// several times the keys of others.
const POINTS_PER_HOST: u64 = 8;

/// Maximum number of points that are examined for one key, so that the cost of a look-up
/// doesn't grow when many hosts are down.
const POINTS_EXAMINED_MAX: usize = 128;

/// Hosts on a ring of hashes.
///
/// A key belongs to the hosts whose points follow its hash. When a host joins or leaves, only
/// the keys next to its points change hosts. Hosts that know slightly different fleets mostly
/// agree on the hosts of a key.
#[derive(Clone, Debug, Default)]
pub struct HostRing {
    points: BTreeMap<u64, HostName>,
}

impl HostRing {
    /// Adds a host.
    pub fn insert(&mut self, host: &HostName) {
        for point in points(host) {
            self.points.insert(point, host.clone());
        }
    }

    /// Removes a host.
    pub fn remove(&mut self, host: &HostName) {
        for point in points(host) {
            self.points.remove(&point);
        }
    }

    /// Returns the first hosts after a hash for which `is_usable` returns true.
    pub fn successors(
        &self,
        hash: u64,
        count: usize,
        is_usable: impl Fn(&HostName) -> bool,
    ) -> Vec<&HostName> {
        let mut found: Vec<&HostName> = Vec::new();
        let around = self.points.range(hash..).chain(self.points.range(..hash));
        for (_, host) in around.take(POINTS_EXAMINED_MAX) {
            if found.len() == count {
                break;
            }
            if !found.contains(&host) && is_usable(host) {
                found.push(host);
            }
        }
        found
    }
}

fn points(host: &HostName) -> impl Iterator<Item = u64> {
    (0..POINTS_PER_HOST).map(move |n| stable_hash(format!("{n} {host}").as_bytes()))
}
