//! What one entry host knows.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

use crate::budget::Budget;
use crate::configuration::Configuration;
use crate::crashers::Crashers;
use crate::health::HealthTable;
use crate::peers::{Load, Peers};
use crate::request::{Request, Ticket};
use crate::settings::Config;
use crate::store::Calls;
use crate::target::{Directory, TargetEntry};

/// Who this host is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes messages of other hosts.
    pub address: SocketAddr,
    /// Drawn anew at each start.
    pub incarnation: u64,
}

/// Versions of what all hosts should know.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Versions {
    pub(crate) configuration: Option<u64>,
    pub(crate) host_list: u64,
}

/// Everything that the decisions of one entry host depend on.
#[derive(Debug)]
pub struct State {
    pub(crate) identity: Identity,
    pub(crate) config: Config,
    pub(crate) configuration: Option<Arc<Configuration>>,
    pub(crate) confirmed_ms: Option<u64>,
    pub(crate) directory: Directory,
    /// Targets whose entries are gone without a notice, and since when.
    pub(crate) lapsed: IndexMap<TargetName, (TargetEntry, u64)>,
    pub(crate) leaves_at_ms: IndexMap<TargetName, u64>,
    /// Until when targets that have just started are slow.
    pub(crate) slow_until_ms: IndexMap<TargetName, u64>,
    pub(crate) calls: Calls,
    pub(crate) reads: bool,
    /// Highest versions that other hosts have spoken of.
    pub(crate) spoken_of: Versions,
    pub(crate) missed_since_ms: Option<u64>,
    pub(crate) is_registered: bool,
    pub(crate) peers: Peers,
    pub(crate) said_ms: u64,
    pub(crate) said_to_zone_ms: u64,
    /// Whether streams have ended or moved since the others were told of the load.
    pub(crate) has_untold_load: bool,
    pub(crate) turn: usize,
    pub(crate) budget: Budget,
    pub(crate) crashers: Crashers,
    pub(crate) health: HealthTable,
    pub(crate) requests: IndexMap<Ticket, Request>,
    pub(crate) waiting: Vec<Ticket>,
    pub(crate) loads: IndexMap<TargetName, Load>,
    pub(crate) stopping_since_ms: Option<u64>,
    pub(crate) random: u64,
}

impl State {
    /// Makes the state of a host that has just started and knows nothing yet.
    pub fn new(identity: Identity, config: Config, seeds: &[SocketAddr]) -> Self {
        let mut peers = Peers::default();
        for seed in seeds {
            peers.name(0, identity.address, *seed);
        }
        State {
            random: identity.incarnation | 1,
            identity,
            config,
            configuration: None,
            confirmed_ms: None,
            directory: Directory::default(),
            lapsed: IndexMap::new(),
            leaves_at_ms: IndexMap::new(),
            slow_until_ms: IndexMap::new(),
            calls: Calls::default(),
            reads: true,
            spoken_of: Versions::default(),
            missed_since_ms: None,
            is_registered: false,
            peers,
            said_ms: 0,
            said_to_zone_ms: 0,
            has_untold_load: false,
            turn: 0,
            budget: Budget::default(),
            crashers: Crashers::default(),
            health: HealthTable::default(),
            requests: IndexMap::new(),
            waiting: Vec::new(),
            loads: IndexMap::new(),
            stopping_since_ms: None,
        }
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the time since the configuration in force was known to be the newest.
    pub fn configuration_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms
            .map(|confirmed_ms| now_ms.saturating_sub(confirmed_ms))
    }

    /// Returns when a target that leaves will be gone, if it has said so.
    pub fn leaves_at_ms(&self, target: &TargetName) -> Option<u64> {
        self.leaves_at_ms.get(target).copied()
    }

    /// Says whether new callers should come here.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        self.stopping_since_ms.is_none()
            && self.configuration.is_some()
            && self.is_fresh(now_ms)
            && self.directory.known_version() > 0
    }

    /// Returns the targets of a pool that may get new work.
    ///
    /// Where the host list names none, those count that it named until just now.
    pub(crate) fn usable<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> Vec<(&'a TargetName, &'a TargetEntry)> {
        let ready: Vec<_> = self.directory.ready(pool).collect();
        if !ready.is_empty() {
            return ready;
        }
        let lapsed = self
            .lapsed
            .iter()
            .map(|(target, (entry, _))| (target, entry));
        lapsed.filter(|(_, entry)| entry.pool == *pool).collect()
    }

    /// Says whether another host knows of something that this one doesn't.
    pub(crate) fn is_behind(&self) -> bool {
        let own_version = self.configuration.as_ref().map(|known| known.version);
        self.spoken_of.configuration > own_version
            || self.spoken_of.host_list > self.directory.known_version()
    }

    /// Says whether keys may still be trusted.
    pub(crate) fn is_fresh(&self, now_ms: u64) -> bool {
        self.configuration_age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < self.config.revocation_bound_ms)
    }
}

/// Draws a number from 0 to 1 by xorshift: the draws only spread load, and are the same in
/// each run of a test.
pub(crate) fn draw(random: &mut u64) -> f64 {
    *random ^= *random << 13;
    *random ^= *random >> 7;
    *random ^= *random << 17;
    (*random >> 11) as f64 / (1_u64 << 53) as f64
}
