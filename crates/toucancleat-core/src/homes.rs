//! Homes: the entry host of the zone that is responsible for a key, such as a target's
//! account.
//!
//! The home of a key is the live host with the highest random weight (rendezvous
//! hashing). Every host computes homes without communication, and a host that joins or
//! leaves moves only its own share of the keys. Hosts whose views differ may compute
//! different homes for a while, so all state that a home keeps must tolerate two homes.
//! See docs/design/membership.md.

use indexmap::IndexMap;

use crate::membership::Host;
use crate::prelude::*;
use crate::rng::{mix64, stable_hash};

/// Maximum number of keys whose home is cached; the homes of others are computed at
/// each use.
const CACHED_KEYS_MAX: usize = 65_536;

/// The homes under one version of the set of the zone's live hosts.
#[derive(Debug, Default)]
pub struct Homes {
    version: u64,
    /// The live hosts with the hashes of their names.
    hosts: Vec<(u64, HostName)>,
    cached: IndexMap<HomeKey, Option<HostName>>,
}

/// A key that has a home.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum HomeKey {
    /// A target, whose home keeps the account of its memory and its queue.
    Target(TargetName),
    /// A request, whose home tracks where its generation runs.
    Request(RequestId),
    /// An organisation, whose home keeps its share of limits and its crash marks.
    Organisation(OrganisationName),
    /// A task that one host performs for the zone.
    Role(ZoneRole),
}

/// A task that one host performs for its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ZoneRole {
    /// Represents the zone towards the other zones.
    Delegate,
    /// Reads the head of the settings from the platform.
    SettingsReader,
    /// Sends orders to engines.
    Orders,
    /// Grants turns to isolated requests, one at a time.
    Isolation,
    /// Batches the claims of idempotency keys for requests that may run only once.
    Claims,
}

/// A key whose home has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MovedHome {
    /// The key.
    pub key: HomeKey,
    /// The previous home, or `None` if no host was live.
    pub from: Option<HostName>,
    /// The new home, or `None` if no host is live.
    pub to: Option<HostName>,
}

impl Homes {
    /// Creates homes without any host. [`Homes::update`] sets the hosts.
    pub fn new() -> Self {
        Homes::default()
    }

    /// Returns the version of the set of live hosts from which the homes are computed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the home of a key, or `None` if no host is live.
    pub fn home(&mut self, key: &HomeKey) -> Option<HostName> {
        if let Some(home) = self.cached.get(key) {
            return home.clone();
        }
        let home = self.compute_home(key);
        // N.B. The home of a request is not cached, since it is used about twice and
        // never again.
        if !matches!(key, HomeKey::Request(_)) && self.cached.len() < CACHED_KEYS_MAX {
            self.cached.insert(key.clone(), home.clone());
        }
        home
    }

    /// Returns true if `host` is the home of a key.
    pub fn is_home(&mut self, key: &HomeKey, host: &HostName) -> bool {
        self.home(key).as_ref() == Some(host)
    }

    /// Replaces the set of live hosts and returns the cached keys whose home has changed.
    ///
    /// A host that leaves is not in its own set, so the result at that host contains
    /// every cached key whose home it was.
    pub fn update<'a>(
        &mut self,
        version: u64,
        live: impl IntoIterator<Item = &'a Host>,
    ) -> Vec<MovedHome> {
        self.version = version;
        self.hosts = live
            .into_iter()
            .map(|host| (hash_host(&host.name), host.name.clone()))
            .collect();
        let mut cached = std::mem::take(&mut self.cached);
        let mut moved = Vec::new();
        for (key, home) in &mut cached {
            let to = self.compute_home(key);
            if to != *home {
                let from = std::mem::replace(home, to.clone());
                moved.push(MovedHome {
                    key: key.clone(),
                    from,
                    to,
                });
            }
        }
        self.cached = cached;
        moved
    }

    /// Clears the cached homes, which are worth their memory only while they are in use.
    pub(crate) fn clear_cache(&mut self) {
        self.cached = IndexMap::new();
    }

    /// Returns the host that becomes the home of a key if its current home fails.
    pub fn successor(&self, key: &HomeKey) -> Option<HostName> {
        let home = self.compute_home(key)?;
        self.highest_weight_host(key, |name| *name != home)
    }

    /// Computes a home without caching it.
    pub(crate) fn compute_home(&self, key: &HomeKey) -> Option<HostName> {
        self.highest_weight_host(key, |_| true)
    }

    /// Returns the eligible host with the highest weight for a key.
    fn highest_weight_host(
        &self,
        key: &HomeKey,
        is_eligible: impl Fn(&HostName) -> bool,
    ) -> Option<HostName> {
        let key_hash = key.hash();
        let weight = |(host_hash, name): &&(u64, HostName)| {
            (mix64(key_hash ^ host_hash), (*name).clone())
        };
        let eligible = self.hosts.iter().filter(|(_, name)| is_eligible(name));
        eligible.max_by_key(weight).map(|(_, name)| name.clone())
    }
}

impl HomeKey {
    /// Returns the hash of the key, which is the same on every host.
    fn hash(&self) -> u64 {
        let (tag, hash) = match self {
            HomeKey::Target(name) => (1, stable_hash(name.as_str().as_bytes())),
            HomeKey::Request(id) => (2, stable_hash(&id.0.to_le_bytes())),
            HomeKey::Organisation(name) => (3, stable_hash(name.as_str().as_bytes())),
            HomeKey::Role(role) => (4, stable_hash(role.as_str().as_bytes())),
        };
        mix64(hash.wrapping_add(tag))
    }
}

impl ZoneRole {
    /// Returns the name of the role in logs and in the timeline.
    pub fn as_str(self) -> &'static str {
        match self {
            ZoneRole::Delegate => "delegate",
            ZoneRole::SettingsReader => "settings_reader",
            ZoneRole::Orders => "orders",
            ZoneRole::Isolation => "isolation",
            ZoneRole::Claims => "claims",
        }
    }
}

/// Returns the `count` hosts with the highest weights for a key, starting with the home.
pub fn rank<'a>(
    key: &HomeKey,
    live: impl IntoIterator<Item = &'a Host>,
    count: usize,
) -> Vec<&'a Host> {
    let key_hash = key.hash();
    let mut weighted: Vec<(u64, &Host)> = live
        .into_iter()
        .map(|host| (mix64(key_hash ^ hash_host(&host.name)), host))
        .collect();
    weighted.sort_unstable_by(|a, b| (b.0, &b.1.name).cmp(&(a.0, &a.1.name)));
    weighted
        .into_iter()
        .take(count)
        .map(|(_, host)| host)
        .collect()
}

fn hash_host(name: &HostName) -> u64 {
    stable_hash(name.as_str().as_bytes())
}
