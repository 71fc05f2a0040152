//! Assigns keys to hosts by consistent hashing.

use std::collections::BTreeMap;
use std::fmt::Display;

use toucancleat_core::rng::stable_hash;

/// Points of each host on the ring. With one point, some hosts of a large fleet would have
/// several times the keys of others.
const POINTS_PER_HOST: u64 = 8;

/// Maximum number of points that are examined for one key, so that the cost of a look-up
/// doesn't grow when many hosts are down.
const POINTS_EXAMINED_MAX: usize = 128;

/// Hosts on a ring of hashes, by their names or addresses.
///
/// A key belongs to the hosts whose points follow its hash. When a host joins or leaves, only
/// the keys next to its points change hosts. Hosts that know slightly different fleets mostly
/// agree on the hosts of a key.
#[derive(Clone, Debug)]
pub struct HostRing<H> {
    points: BTreeMap<u64, H>,
}

impl<H> Default for HostRing<H> {
    fn default() -> Self {
        HostRing {
            points: BTreeMap::new(),
        }
    }
}

impl<H: Clone + Display + PartialEq> HostRing<H> {
    /// Adds a host.
    pub fn insert(&mut self, host: &H) {
        for point in points(host) {
            self.points.insert(point, host.clone());
        }
    }

    /// Removes a host.
    pub fn remove(&mut self, host: &H) {
        for point in points(host) {
            self.points.remove(&point);
        }
    }

    /// Returns the first hosts after a hash for which `is_usable` returns true.
    pub fn successors(
        &self,
        hash: u64,
        count: usize,
        is_usable: impl Fn(&H) -> bool,
    ) -> Vec<&H> {
        let mut found: Vec<&H> = Vec::new();
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

fn points<H: Display>(host: &H) -> impl Iterator<Item = u64> {
    (0..POINTS_PER_HOST).map(move |n| stable_hash(format!("{n} {host}").as_bytes()))
}
