//! Which entry host of the zone keeps the account of a thing.
//!
//! The home of a key is the live host with the highest random weight (rendezvous
//! hashing): every host works it out alone, and a host that comes or goes moves only its
//! own share of the keys. Hosts with different views may name different homes for a
//! while; whatever a home keeps must bear two homes. See docs/design/membership.md.

use indexmap::IndexMap;

use crate::membership::Host;
use crate::prelude::*;
use crate::rng::{mix64, stable_hash};

/// Most keys whose home is remembered; more are worked out at each use.
const CACHED_KEYS_MAX: usize = 65_536;

/// The homes in one version of the zone's live hosts.
#[derive(Debug, Default)]
pub struct Homes {
    version: u64,
    hosts: Vec<(u64, HostName)>,
    cached: IndexMap<HomeKey, Option<HostName>>,
}

/// A thing that has a home.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum HomeKey {
    /// A target, whose home keeps the account of its memory and queue.
    Target(TargetName),
    /// A request, whose home knows where its generation runs.
    Request(RequestId),
    /// An organisation, whose home keeps its share of limits and its crash marks.
    Organisation(OrganisationName),
    /// A duty that one host of the zone carries.
    Role(ZoneRole),
}

/// A duty that one host of a zone carries for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ZoneRole {
    /// Speaks for the zone towards the other zones.
    Delegate,
    /// Reads the head of the settings from the platform.
    SettingsReader,
    /// Sends orders to engines.
    Orders,
    /// Gives requests that crash targets their turn, one at a time.
    Isolation,
    /// Batches the claims of requests that may run only once.
    Claims,
}

/// A key whose home has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Moved {
    /// The key.
    pub key: HomeKey,
    /// The home before, if any host was live.
    pub from: Option<HostName>,
    /// The home now, if any host is live.
    pub to: Option<HostName>,
}

impl Homes {
    /// Makes homes without any host; [`Homes::update`] brings the first.
    pub fn new() -> Self {
        Homes::default()
    }

    /// Returns the version of the live hosts that the homes are worked out from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the home of a key, or `None` without a live host.
    pub fn home(&mut self, key: &HomeKey) -> Option<HostName> {
        if let Some(home) = self.cached.get(key) {
            return home.clone();
        }
        let home = self.work_out(key);
        // N.B. A request's home is asked for about twice and then never again.
        if !matches!(key, HomeKey::Request(_)) && self.cached.len() < CACHED_KEYS_MAX {
            self.cached.insert(key.clone(), home.clone());
        }
        home
    }

    /// Says whether `host` is the home of a key.
    pub fn is_home(&mut self, key: &HomeKey, host: &HostName) -> bool {
        self.home(key).as_ref() == Some(host)
    }

    /// Takes a new set of live hosts, and returns the remembered keys whose home moved.
    ///
    /// A host that leaves is not in the set, so its list holds every key that it hands
    /// over.
    pub fn update<'a>(
        &mut self,
        version: u64,
        live: impl IntoIterator<Item = &'a Host>,
    ) -> Vec<Moved> {
        self.version = version;
        self.hosts = live
            .into_iter()
            .map(|host| (host_hash(&host.name), host.name.clone()))
            .collect();
        let mut cached = std::mem::take(&mut self.cached);
        let mut moved = Vec::new();
        for (key, home) in &mut cached {
            let to = self.work_out(key);
            if to != *home {
                let from = std::mem::replace(home, to.clone());
                moved.push(Moved {
                    key: key.clone(),
                    from,
                    to,
                });
            }
        }
        self.cached = cached;
        moved
    }

    /// Forgets the remembered homes, which are only worth their memory while in use.
    pub(crate) fn forget_cached(&mut self) {
        self.cached = IndexMap::new();
    }

    /// Returns the host that would be the home of a key without its present home.
    pub fn successor(&self, key: &HomeKey) -> Option<HostName> {
        let home = self.work_out(key)?;
        self.best(key, |name| *name != home)
    }

    /// Works a home out without remembering it.
    pub(crate) fn work_out(&self, key: &HomeKey) -> Option<HostName> {
        self.best(key, |_| true)
    }

    fn best(
        &self,
        key: &HomeKey,
        counts: impl Fn(&HostName) -> bool,
    ) -> Option<HostName> {
        let key_hash = key.hash();
        let weight = |(host_hash, name): &&(u64, HostName)| {
            (mix64(key_hash ^ host_hash), (*name).clone())
        };
        let counting = self.hosts.iter().filter(|(_, name)| counts(name));
        counting.max_by_key(weight).map(|(_, name)| name.clone())
    }
}

impl HomeKey {
    /// Hashes the key in the same way on every host.
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
    /// Returns the name of the role in logs and in the time line.
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

/// Returns the first `count` hosts for a key, the home first.
pub fn rank<'a>(
    key: &HomeKey,
    live: impl IntoIterator<Item = &'a Host>,
    count: usize,
) -> Vec<&'a Host> {
    let key_hash = key.hash();
    let mut weighted: Vec<(u64, &Host)> = live
        .into_iter()
        .map(|host| (mix64(key_hash ^ host_hash(&host.name)), host))
        .collect();
    weighted.sort_unstable_by(|a, b| (b.0, &b.1.name).cmp(&(a.0, &a.1.name)));
    weighted
        .into_iter()
        .take(count)
        .map(|(_, host)| host)
        .collect()
}

fn host_hash(name: &HostName) -> u64 {
    stable_hash(name.as_str().as_bytes())
}
