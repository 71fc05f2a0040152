//! The configuration that an operator has put in force, in the words of this project.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of this version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Pools of targets by name.
    pub pools: IndexMap<PoolName, Pool>,
    /// What a caller may send, and how slowly.
    pub limits: CallerLimits,
    /// Organisations by API key.
    pub organisations: IndexMap<String, Organisation>,
}

/// What a host and a path lead to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the request kind, used in logs.
    pub kind: KindName,
    /// Value of the `Host` header that selects the route.
    pub hostname: String,
    /// Start of the path that selects the route, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub repetition: Repetition,
    /// Longest time that a caller may be kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer, or its first event, is on time.
    pub latency_objective_ms: u64,
    /// Longest pause between two events of a stream that is still on time.
    pub pause_objective_ms: u64,
    /// Rank among the routes; 0 is the most urgent.
    pub priority: u8,
    /// Most targets that may run one request.
    pub attempts_max: u32,
    /// Whether a request needs no key.
    pub is_public: bool,
    /// Pools among which requests are split, by weight.
    pub split: Vec<Share>,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repetition {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// A stream that may be run again and continued after the last event delivered.
    ResumableStream,
    /// A stream that may run at most once, though it may move with its memory.
    StreamOnce,
}

impl Repetition {
    /// Says whether another run is allowed after one that may have begun.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Repetition::Idempotent | Repetition::ResumableStream)
    }

    /// Says whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repetition::ResumableStream | Repetition::StreamOnce)
    }
}

/// A pool's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The pool.
    pub pool: PoolName,
    /// Its weight against those of the other shares.
    pub weight: f64,
}

/// Targets that serve the same requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// What the targets are able to do, where they are model engines.
    pub engine: Option<Engine>,
}

/// What the model engines of a pool are able to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens for which an engine has memory.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u64,
    /// Whether a run's memory can be moved to another engine.
    pub can_move: bool,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub head_max_bytes: usize,
    /// Most bytes of a request's body.
    pub body_max_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout_ms: u64,
    /// Longest time that a connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Bounds that hold until a configuration is known; tighter than what operators set.
    fn default() -> Self {
        CallerLimits {
            head_max_bytes: 16_384,
            body_max_bytes: 1_048_576,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The holder of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Rank of its requests, which goes before the route's.
    pub priority: Option<u8>,
}

impl Configuration {
    /// Finds the route with the longest prefix among those of the host, and its place.
    pub fn route_for(&self, hostname: &str, path: &str) -> Option<(usize, &Route)> {
        self.routes
            .iter()
            .enumerate()
            .filter(|(_, route)| route.hostname.eq_ignore_ascii_case(hostname))
            .filter(|(_, route)| path.starts_with(&route.path_prefix))
            .max_by_key(|(_, route)| route.path_prefix.len())
    }

    /// Returns what the engines of a pool are able to do, if its targets are engines.
    pub fn engine(&self, pool: &PoolName) -> Option<&Engine> {
        self.pools.get(pool).and_then(|pool| pool.engine.as_ref())
    }
}

impl Route {
    /// Picks a pool by weight, with a number drawn from 0 to 1.
    pub fn pick_pool(&self, random: f64) -> Option<&PoolName> {
        let sum: f64 = self.split.iter().map(|share| share.weight).sum();
        let mut left = random * sum;
        for share in &self.split {
            left -= share.weight;
            if left < 0.0 {
                return Some(&share.pool);
            }
        }
        self.split.last().map(|share| &share.pool)
    }
}
