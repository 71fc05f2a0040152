//! The state from which one entry host decides.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

use crate::brittle_targets::BrittleTargets;
use crate::budget::RetryBudget;
use crate::cold_targets::ColdTargets;
use crate::config::FleetConfig;
use crate::configuration::Configuration;
use crate::contention::Contention;
use crate::departures::Departures;
use crate::evacuation::Evacuations;
use crate::health::HealthTable;
use crate::lapsed_entries::LapsedEntries;
use crate::peers::{Load, MESSAGE_INTERVAL_MAX_MS, Peers};
use crate::poison_parts::PoisonParts;
use crate::pool_path::PoolPaths;
use crate::request::{Request, RequestNumber};
use crate::sole_origin::SoleOrigins;
use crate::store::{ConfigurationRow, QuerySchedule, StorePosition};
use crate::stream_origin::StreamOrigins;
use crate::target::{TargetDirectory, TargetEntry};
use crate::target_notice::TargetNotices;
use crate::target_watch::{SuspectedTargets, TargetWatch};

/// Time after its start from which a host that hears no peer trusts the store alone. Live peers send a message
/// within their longest interval.
const JOIN_TIMEOUT_MS: u64 = MESSAGE_INTERVAL_MAX_MS;

/// Time from the first message of a peer in which all live peers have been heard, also if one of their messages
/// is lost.
const JOINING_MS: u64 = 2 * MESSAGE_INTERVAL_MAX_MS;

/// Identity of this host.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the host.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Address at which the host receives messages of its peers.
    pub address: SocketAddr,
    /// Random number, drawn anew at each start.
    pub incarnation: u64,
}

/// Versions of the configuration and of the host list.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Versions {
    pub(crate) configuration: Option<u64>,
    pub(crate) host_list: StorePosition,
}

/// A target that has left, and would be ready again in a copy of the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DepartedTarget {
    /// When the target started, in Unix time.
    pub(crate) started_unix_ms: Option<u64>,
    /// When this host learnt that it leaves or is gone.
    pub(crate) departed_ms: u64,
}

/// Whether the store lists this host among the entry hosts of the fleet.
///
/// A host reads the list before it writes its row, and once more afterwards. The row of a
/// host that has restarted is still there, and the store makes only some hundred writes a
/// second, so a whole fleet that restarts must not write one row for each host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Registration {
    /// The list has not been read yet.
    #[default]
    Unknown,
    /// The list lacks this host.
    Missing,
    /// This host has written its row. Hosts that registered meanwhile are not known yet.
    Written,
    /// The list that this host knows contains it.
    Listed,
}

/// Everything that the decisions of one entry host depend on.
#[derive(Debug)]
pub struct State {
    pub(crate) identity: Identity,
    pub(crate) config: FleetConfig,
    pub(crate) configuration: Option<Arc<Configuration>>,
    pub(crate) configuration_confirmed_ms: Option<u64>,
    /// When this host began to hear peers, after it had heard none.
    pub(crate) joined_ms: Option<u64>,
    /// Whether what the store says is believed, though peers may know better.
    pub(crate) trusts_store: bool,
    /// The row of the configuration in force, if this host has read it from the store.
    pub(crate) configuration_row: Option<ConfigurationRow>,
    /// From when on this host may ask whether that row has changed.
    pub(crate) may_check_from_ms: u64,
    /// Why the newest configuration was rejected, so that it is logged once.
    pub(crate) configuration_problem: Option<String>,
    pub(crate) directory: TargetDirectory,
    /// How many targets of each software version have left recently.
    pub(crate) departures: Departures,
    /// Targets that have left recently.
    pub(crate) departed_targets: IndexMap<TargetName, DepartedTarget>,
    /// Targets whose entries vanished without a notice, and since when.
    pub(crate) expired_entries: IndexMap<TargetName, (TargetEntry, u64)>,
    pub(crate) leaves_at_ms: IndexMap<TargetName, u64>,
    /// When the slow start of each recently started target ends.
    pub(crate) slow_start_until_ms: IndexMap<TargetName, u64>,
    pub(crate) query_schedule: QuerySchedule,
    /// How often the store has returned to a copy.
    pub(crate) store_era: u64,
    /// When this host learnt of that era.
    pub(crate) era_since_ms: u64,
    /// When the store acknowledged the row of this host.
    pub(crate) registered_ms: Option<u64>,
    pub(crate) is_reader: bool,
    /// Since when no host has read the store on behalf of the others.
    pub(crate) readerless_since_ms: Option<u64>,
    /// Until when this host leaves reading to others, since the store didn't answer it.
    pub(crate) may_read_from_ms: u64,
    /// Highest versions that peers have reported.
    pub(crate) peer_versions: Versions,
    pub(crate) behind_since_ms: Option<u64>,
    pub(crate) registration: Registration,
    /// When this host handled its first event.
    pub(crate) started_ms: Option<u64>,
    pub(crate) peers: Peers,
    pub(crate) last_broadcast_ms: u64,
    /// When this host announces itself to hosts that it has just learnt of.
    pub(crate) announce_at_ms: Option<u64>,
    pub(crate) last_zone_send_ms: u64,
    /// Whether streams have ended or migrated since the load was last broadcast.
    pub(crate) has_unsent_load: bool,
    pub(crate) address_sample_offset: usize,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) poison_parts: PoisonParts,
    /// The whole contents of requests, each as a part of its own.
    pub(crate) poison_requests: PoisonParts,
    pub(crate) pool_paths: PoolPaths,
    pub(crate) health: HealthTable,
    pub(crate) stream_origins: StreamOrigins,
    pub(crate) sole_origins: SoleOrigins,
    /// When the host list that this host knows was last the newest.
    pub(crate) host_list_confirmed_ms: Option<u64>,
    pub(crate) target_notices: TargetNotices,
    pub(crate) target_watch: TargetWatch,
    pub(crate) suspected_targets: SuspectedTargets,
    /// Whether engines are asked, since nobody reads the host list.
    pub(crate) is_watching_targets: bool,
    /// When a host began to read the host list again, until the entries that expired meanwhile
    /// are back.
    pub(crate) host_list_returned_ms: Option<u64>,
    pub(crate) lapsed_entries: LapsedEntries,
    /// Whether this host reads the host list for all, as peers were last told.
    pub(crate) reads_host_list: bool,
    pub(crate) brittle_targets: BrittleTargets,
    pub(crate) evacuations: Evacuations,
    pub(crate) cold_targets: ColdTargets,
    /// What the shares of cold targets were last computed from.
    pub(crate) cold_share_basis: (u64, Option<u64>, bool),
    pub(crate) contention: Contention,
    /// When this host's shares of the targets' limits are computed next.
    pub(crate) shares_due_ms: u64,
    /// Whether peers have to learn of something before the next periodic message.
    pub(crate) must_broadcast: bool,
    pub(crate) requests: IndexMap<RequestNumber, Request>,
    pub(crate) queue: Vec<RequestNumber>,
    pub(crate) own_loads: IndexMap<TargetName, Load>,
    pub(crate) stopping_since_ms: Option<u64>,
    pub(crate) rng_state: u64,
}

impl State {
    /// Creates the state of a host that has just started and has no configuration or
    /// targets.
    pub fn new(identity: Identity, config: FleetConfig, seeds: &[SocketAddr]) -> Self {
        let mut peers = Peers::default();
        peers.add_own(identity.address, &identity.zone);
        for seed in seeds {
            let _ = peers.add_candidate(0, identity.address, *seed);
        }
        let retry_budget = if config.is_first_start {
            RetryBudget::default()
        } else {
            RetryBudget::of_new_process()
        };
        State {
            rng_state: identity.incarnation | 1,
            identity,
            config,
            configuration: None,
            configuration_confirmed_ms: None,
            joined_ms: None,
            trusts_store: false,
            configuration_row: None,
            may_check_from_ms: 0,
            configuration_problem: None,
            directory: TargetDirectory::default(),
            departures: Departures::default(),
            departed_targets: IndexMap::new(),
            expired_entries: IndexMap::new(),
            leaves_at_ms: IndexMap::new(),
            slow_start_until_ms: IndexMap::new(),
            query_schedule: QuerySchedule::default(),
            store_era: 0,
            era_since_ms: 0,
            registered_ms: None,
            is_reader: true,
            readerless_since_ms: None,
            may_read_from_ms: 0,
            peer_versions: Versions::default(),
            behind_since_ms: None,
            registration: Registration::default(),
            started_ms: None,
            peers,
            last_broadcast_ms: 0,
            announce_at_ms: None,
            last_zone_send_ms: 0,
            has_unsent_load: false,
            address_sample_offset: 0,
            retry_budget,
            poison_parts: PoisonParts::default(),
            poison_requests: PoisonParts::default(),
            pool_paths: PoolPaths::default(),
            health: HealthTable::default(),
            stream_origins: StreamOrigins::default(),
            sole_origins: SoleOrigins::default(),
            host_list_confirmed_ms: None,
            target_notices: TargetNotices::default(),
            target_watch: TargetWatch::default(),
            suspected_targets: SuspectedTargets::default(),
            is_watching_targets: false,
            host_list_returned_ms: None,
            lapsed_entries: LapsedEntries::default(),
            reads_host_list: false,
            brittle_targets: BrittleTargets::default(),
            evacuations: Evacuations::default(),
            cold_targets: ColdTargets::default(),
            cold_share_basis: (0, None, false),
            contention: Contention::default(),
            shares_due_ms: 0,
            must_broadcast: false,
            requests: IndexMap::new(),
            queue: Vec::new(),
            own_loads: IndexMap::new(),
            stopping_since_ms: None,
        }
    }

    /// Returns the availability zone of this host.
    pub fn zone(&self) -> &ZoneName {
        &self.identity.zone
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the time in milliseconds since the configuration in force was confirmed to
    /// be the newest.
    pub fn configuration_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.configuration_confirmed_ms
            .map(|confirmed_ms| now_ms.saturating_sub(confirmed_ms))
    }

    /// Returns how many hosts may be running, including this one.
    pub fn fleet_size(&self) -> usize {
        self.peers.fleet_size()
    }

    /// Returns when a leaving target exits, if it has reported that.
    pub fn leaves_at_ms(&self, target: &TargetName) -> Option<u64> {
        self.leaves_at_ms.get(target).copied()
    }

    /// Returns the number of targets that limit the rate of requests.
    pub fn limited_targets(&self) -> usize {
        self.target_notices.limits().count()
    }

    /// Returns the number of targets that are cold.
    pub fn cold_targets(&self, now_ms: u64) -> usize {
        self.cold_targets.iter(now_ms).count()
    }

    /// Returns the number of pools to which this host has no path.
    pub fn lost_paths(&self) -> usize {
        self.pool_paths.lost_count()
    }

    /// Returns the number of targets that are suspected to be leaving.
    pub fn suspected_targets(&self, now_ms: u64) -> usize {
        self.suspected_targets.iter(now_ms).count()
    }

    /// Returns the number of requests that wait for room.
    pub fn waiting_requests(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of organisations that use more than their share of a pool for which
    /// requests wait.
    pub fn organisations_over_share(&self) -> usize {
        self.contention.over_share_count()
    }

    /// Returns the number of parts of prompts with which requests are refused.
    pub fn poison_parts(&self, now_ms: u64) -> usize {
        self.poison_parts.poison_count(now_ms)
    }

    /// Returns the number of poison requests.
    pub fn poison_requests(&self, now_ms: u64) -> usize {
        self.poison_requests.poison_count(now_ms)
    }

    /// Returns the availability zones that operators have evacuated.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns true if a run whose memory has been copied may be resumed at a target: its zone
    /// isn't evacuated, or this host has only just learnt that it is.
    pub fn permits_resumption(&self, now_ms: u64, target: &TargetName) -> bool {
        self.directory
            .get(target)
            .is_none_or(|entry| self.evacuations.permits_resumption(now_ms, &entry.zone))
    }

    /// Returns the number of streams of which this host keeps where they began.
    pub fn kept_origins(&self) -> usize {
        self.stream_origins.len()
    }

    /// Records that the known host list was the newest at a time.
    pub(crate) fn confirm_host_list(&mut self, at_ms: u64) {
        self.host_list_confirmed_ms = self.host_list_confirmed_ms.max(Some(at_ms));
    }

    /// Returns true if this host should receive new callers.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        self.stopping_since_ms.is_none()
            && self.configuration.is_some()
            && self.is_configuration_fresh(now_ms)
            && self.directory.is_known()
    }

    /// Returns the targets of a pool that may get new work. Those of evacuated zones don't.
    ///
    /// If the host list names none, targets whose entries expired recently are returned.
    pub(crate) fn usable_targets<'a>(
        &'a self,
        pool: &'a PoolName,
    ) -> Vec<(&'a TargetName, &'a TargetEntry)> {
        let is_evacuated = |entry: &TargetEntry| self.evacuations.contains(&entry.zone);
        let accepting = self.directory.accepting(pool);
        let accepting: Vec<_> = accepting
            .filter(|(_, entry)| !is_evacuated(entry))
            .collect();
        if !accepting.is_empty() {
            return accepting;
        }
        let expired = self
            .expired_entries
            .iter()
            .map(|(target, (entry, _))| (target, entry));
        expired
            .filter(|(_, entry)| entry.pool == *pool && !is_evacuated(entry))
            .collect()
    }

    /// Returns true if a peer has reported a newer configuration.
    pub(crate) fn lacks_newest_configuration(&self) -> bool {
        let own_version = self.configuration.as_ref().map(|known| known.version);
        self.peer_versions.configuration > own_version
    }

    /// Returns true if a peer has reported a newer host list, or has sent entries without the
    /// versions of the targets' software.
    pub(crate) fn lacks_target_changes(&self) -> bool {
        self.peer_versions.host_list > self.directory.known_position()
            || self.directory.lacks_versions()
    }

    /// Returns true if API keys of the configuration may still be trusted.
    ///
    /// The store's word doesn't suffice for a host that has just started: the store may have returned to a
    /// copy from before a key was withdrawn, which peers know.
    pub(crate) fn is_configuration_fresh(&self, now_ms: u64) -> bool {
        self.trusts_store
            && self
                .configuration_age_ms(now_ms)
                .is_some_and(|age_ms| age_ms < self.config.revocation_bound_ms)
    }

    /// Lets this host trust the store from the first moment at which it has heard a peer, or at which there is
    /// none to wait for. Hosts that start later know no more.
    pub(crate) fn update_store_trust(&mut self, now_ms: u64) {
        let started_ms = self.started_ms.unwrap_or(now_ms);
        self.trusts_store |= self.joined_ms.is_some()
            || self.peers.is_alone()
            || now_ms >= started_ms + JOIN_TIMEOUT_MS;
    }

    /// Returns true if this host has just begun to hear peers, and some of them may not have been heard.
    pub(crate) fn is_joining(&self, now_ms: u64) -> bool {
        self.joined_ms
            .is_some_and(|joined_ms| now_ms < joined_ms + JOINING_MS)
    }
}

/// Returns a pseudorandom number from 0 to 1. Xorshift suffices, since the numbers only
/// spread load; they repeat in each run of a test.
pub(crate) fn random_unit(rng_state: &mut u64) -> f64 {
    (random_hash(rng_state) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns a pseudorandom number of 64 bits.
pub(crate) fn random_hash(rng_state: &mut u64) -> u64 {
    *rng_state ^= *rng_state << 13;
    *rng_state ^= *rng_state >> 7;
    *rng_state ^= *rng_state << 17;
    *rng_state
}
