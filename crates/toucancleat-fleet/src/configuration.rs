//! The configuration that an operator has put in force.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of this version. A higher one replaces a lower one.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Pools of targets by name.
    pub pools: IndexMap<PoolName, Pool>,
    /// Limits on what callers send, and how slowly.
    pub limits: CallerLimits,
    /// Organisations by API key.
    pub organisations: IndexMap<String, Organisation>,
    /// Whether requests need a key, except those on public routes. That doesn't follow from the
    /// keys: the last one may have been withdrawn.
    pub requires_keys: bool,
}

/// A route from a host and a path prefix to pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the request kind, used in logs.
    pub kind: KindName,
    /// Value of the `Host` header that selects the route.
    pub hostname: String,
    /// Start of the path that selects the route, with a slash at both ends.
    pub path_prefix: String,
    /// Whether requests may run again.
    pub retry_safety: RetrySafety,
    /// Maximum time that a caller waits, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer, or the first event of a stream, meets the objective.
    pub latency_objective_ms: u64,
    /// Maximum pause between two events of a stream that meets the objective.
    pub inter_event_objective_ms: u64,
    /// Priority among the routes; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of attempts at one request that may have run it.
    pub runs_max: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Pools among which requests are split by weight.
    pub weighted_pools: Vec<WeightedPool>,
    /// Regions to which requests are confined; any region if there are none. Hosts of the last
    /// release don't know them, so changes carry them separately.
    #[serde(skip)]
    pub confining_regions: Vec<RegionName>,
}

/// Whether a route's requests may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetrySafety {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// A stream that may run again and be resumed after the last event delivered.
    ResumableStream,
    /// A stream that may run at most once, though it may migrate with its memory.
    AtMostOnceStream,
}

impl RetrySafety {
    /// Returns true if a request may run again after a run that may have begun.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RetrySafety::Idempotent | RetrySafety::ResumableStream)
    }

    /// Returns true if the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(
            self,
            RetrySafety::ResumableStream | RetrySafety::AtMostOnceStream
        )
    }
}

/// A pool and its weight among the pools of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolName,
    /// Its weight relative to the other pools.
    pub weight: f64,
}

/// Targets that serve the same requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Capabilities of the targets, if they are model engines.
    pub engine: Option<EngineCapabilities>,
    /// Requests per second that a cold target takes from all hosts together, if that is limited.
    /// Hosts of the last release don't know it, so changes carry it separately.
    #[serde(skip)]
    pub cold_requests_per_s: Option<f64>,
}

/// Capabilities of each model engine of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineCapabilities {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Number of tokens that an engine's memory holds.
    pub memory_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub event_tokens: u64,
    /// Whether runs can migrate to another engine with their memory.
    pub can_migrate: bool,
}

/// Limits on what callers send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub head_max_bytes: usize,
    /// Maximum size of a request's body.
    pub body_max_bytes: usize,
    /// Maximum time from the first byte of a head to its last.
    pub head_timeout_ms: u64,
    /// Maximum time that a connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known. They are tighter
    /// than those that operators set.
    fn default() -> Self {
        CallerLimits {
            head_max_bytes: 16_384,
            body_max_bytes: 1_048_576,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The organisation that owns an API key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
    /// Regions to which its requests are confined; any region if there are none. Hosts of the
    /// last release don't know them, so changes carry them separately.
    #[serde(skip)]
    pub confining_regions: Vec<RegionName>,
}

impl Configuration {
    /// Returns the route with the longest matching prefix among those of the host, and
    /// its index.
    pub fn route_for(&self, hostname: &str, path: &str) -> Option<(usize, &Route)> {
        self.routes
            .iter()
            .enumerate()
            .filter(|(_, route)| route.hostname.eq_ignore_ascii_case(hostname))
            .filter(|(_, route)| path.starts_with(&route.path_prefix))
            .max_by_key(|(_, route)| route.path_prefix.len())
    }

    /// Returns the capabilities of a pool's engines, if its targets are engines.
    pub fn engine(&self, pool: &PoolName) -> Option<&EngineCapabilities> {
        self.pools.get(pool).and_then(|pool| pool.engine.as_ref())
    }
}

impl Route {
    /// Picks a pool by weight with a random number from 0 to 1.
    pub fn pick_pool(&self, random: f64) -> Option<&PoolName> {
        let sum: f64 = self.weighted_pools.iter().map(|entry| entry.weight).sum();
        let mut remaining = random * sum;
        for entry in &self.weighted_pools {
            remaining -= entry.weight;
            if remaining < 0.0 {
                return Some(&entry.pool);
            }
        }
        self.weighted_pools.last().map(|entry| &entry.pool)
    }
}
