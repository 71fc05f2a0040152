//! What one entry host knows.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

use crate::budget::RetryBudget;
use crate::configuration::Configuration;
use crate::crashers::PoisonRequests;
use crate::health::HealthTable;
use crate::peers::{Load, Peers};
use crate::request::{Request, Ticket};
use crate::settings::Config;
use crate::store::QuerySchedule;
use crate::target::{TargetDirectory, TargetEntry};

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
    pub(crate) configuration_confirmed_ms: Option<u64>,
    pub(crate) directory: TargetDirectory,
    /// Targets whose entries are gone without a notice, and since when.
    pub(crate) expired_entries: IndexMap<TargetName, (TargetEntry, u64)>,
    pub(crate) leaves_at_ms: IndexMap<TargetName, u64>,
    /// Until when targets that have just started are slow.
    pub(crate) slow_start_until_ms: IndexMap<TargetName, u64>,
    pub(crate) query_schedule: QuerySchedule,
    pub(crate) is_reader: bool,
    /// Highest versions that other hosts have spoken of.
    pub(crate) peer_versions: Versions,
    pub(crate) behind_since_ms: Option<u64>,
    pub(crate) is_registered: bool,
    pub(crate) peers: Peers,
    pub(crate) last_broadcast_ms: u64,
    pub(crate) last_zone_send_ms: u64,
    /// Whether streams have ended or moved since the others were told of the load.
    pub(crate) has_unsent_load: bool,
    pub(crate) sample_offset: usize,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) poison_requests: PoisonRequests,
    pub(crate) health: HealthTable,
    pub(crate) requests: IndexMap<Ticket, Request>,
    pub(crate) queue: Vec<Ticket>,
    pub(crate) own_loads: IndexMap<TargetName, Load>,
    pub(crate) stopping_since_ms: Option<u64>,
    pub(crate) rng_state: u64,
}

impl State {
    /// Makes the state of a host that has just started and knows nothing yet.
    pub fn new(identity: Identity, config: Config, seeds: &[SocketAddr]) -> Self {
        let mut peers = Peers::default();
        for seed in seeds {
            peers.add_candidate(0, identity.address, *seed);
        }
        State {
            rng_state: identity.incarnation | 1,
            identity,
            config,
            configuration: None,
            configuration_confirmed_ms: None,
            directory: TargetDirectory::default(),
            expired_entries: IndexMap::new(),
            leaves_at_ms: IndexMap::new(),
            slow_start_until_ms: IndexMap::new(),
            query_schedule: QuerySchedule::default(),
            is_reader: true,
            peer_versions: Versions::default(),
            behind_since_ms: None,
            is_registered: false,
            peers,
            last_broadcast_ms: 0,
            last_zone_send_ms: 0,
            has_unsent_load: false,
            sample_offset: 0,
            retry_budget: RetryBudget::default(),
            poison_requests: PoisonRequests::default(),
            health: HealthTable::default(),
            requests: IndexMap::new(),
            queue: Vec::new(),
            own_loads: IndexMap::new(),
            stopping_since_ms: None,
        }
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the time since the configuration in force was known to be the newest.
    pub fn configuration_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.configuration_confirmed_ms
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
            && self.is_configuration_fresh(now_ms)
            && self.directory.known_version() > 0
    }

    /// Returns the targets of a pool that may get new work.
    ///
    /// Where the host list names none, those count that it named until just now.
    pub(crate) fn usable_targets<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> Vec<(&'a TargetName, &'a TargetEntry)> {
        let accepting: Vec<_> = self.directory.accepting(pool).collect();
        if !accepting.is_empty() {
            return accepting;
        }
        let expired = self
            .expired_entries
            .iter()
            .map(|(target, (entry, _))| (target, entry));
        expired.filter(|(_, entry)| entry.pool == *pool).collect()
    }

    /// Says whether another host knows of something that this one doesn't.
    pub(crate) fn is_behind(&self) -> bool {
        let own_version = self.configuration.as_ref().map(|known| known.version);
        self.peer_versions.configuration > own_version
            || self.peer_versions.host_list > self.directory.known_version()
    }

    /// Says whether keys may still be trusted.
    pub(crate) fn is_configuration_fresh(&self, now_ms: u64) -> bool {
        self.configuration_age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < self.config.revocation_bound_ms)
    }
}

/// Draws a number from 0 to 1 by xorshift: the draws only spread load, and are the same in
/// each run of a test.
pub(crate) fn random_unit(rng_state: &mut u64) -> f64 {
    *rng_state ^= *rng_state << 13;
    *rng_state ^= *rng_state >> 7;
    *rng_state ^= *rng_state << 17;
    (*rng_state >> 11) as f64 / (1_u64 << 53) as f64
}
