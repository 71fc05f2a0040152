//! Whether this host has a path to the targets of each pool.
//!
//! Only new connections count as evidence: a partition may leave open ones alive. A host that
//! can't connect to several targets in turn has lost its path, or the targets are down; peers
//! that reach the same targets tell the two apart. See docs/design/handoffs.md.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;

/// Number of consecutive failed connections, and of different targets among them, after which
/// the path to a pool counts as lost. Two targets may be down by coincidence.
pub const FAILURES_MIN: usize = 3;

/// Interval at which a host whose path is lost tries to connect to a target.
pub const PROBE_INTERVAL_MS: u64 = 500;

/// Time since its last connection for which a host vouches for its path.
pub const VOUCH_MS: u64 = 5_000;

/// Maximum number of targets with failed connections that are remembered of one pool.
const FAILURES_MAX: usize = 16;

/// Maximum number of pools in a message.
const REPORTED_MAX: usize = 16;

/// What a host reports to its peers about its path to a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathReport {
    /// The pool.
    pub pool: PoolName,
    /// Time since the last connection to one of its targets was opened.
    pub reached_age_ms: Option<u64>,
    /// Whether the path is lost.
    pub is_lost: bool,
}

/// The path to the targets of one pool.
#[derive(Clone, Debug, Default)]
struct PoolPath {
    /// When the last connection to one of the targets was opened.
    reached_ms: Option<u64>,
    /// Some targets to which connections have failed since then, and when.
    failures: IndexMap<TargetName, u64>,
    /// Number of failed connections since then.
    failure_count: usize,
    is_lost: bool,
    probe_due_ms: u64,
}

/// The paths to all pools.
#[derive(Clone, Debug, Default)]
pub struct PoolPaths {
    paths: IndexMap<PoolName, PoolPath>,
}

impl PoolPaths {
    /// Records that a connection to a target was opened at a time. Returns true if the path
    /// was lost.
    pub fn record_reached(&mut self, at_ms: u64, pool: &PoolName) -> bool {
        let path = self.path(pool);
        path.reached_ms = path.reached_ms.max(Some(at_ms));
        path.failures.retain(|_, failed_ms| *failed_ms > at_ms);
        path.failure_count = path.failure_count.min(path.failures.len());
        path.failures.is_empty() && std::mem::take(&mut path.is_lost)
    }

    /// Records that no connection to a target could be opened. Returns true if the path is lost
    /// from now on. `targets` is the number of targets of the pool.
    pub fn record_failure(
        &mut self,
        now_ms: u64,
        pool: &PoolName,
        target: &TargetName,
        targets: usize,
    ) -> bool {
        let path = self.path(pool);
        if path.failures.len() < FAILURES_MAX || path.failures.contains_key(target) {
            path.failures.insert(target.clone(), now_ms);
        }
        path.failure_count += 1;
        let has_failed = path.failure_count >= FAILURES_MIN
            && path.failures.len() >= FAILURES_MIN.min(targets);
        let is_lost = has_failed && !path.is_lost;
        path.is_lost |= has_failed;
        if is_lost {
            // Targets that are down, rather than the path, are the more common cause.
            path.probe_due_ms = now_ms;
        }
        is_lost
    }

    /// Returns true if the path to a pool is lost.
    pub fn is_lost(&self, pool: &PoolName) -> bool {
        self.paths.get(pool).is_some_and(|path| path.is_lost)
    }

    /// Returns true if a connection to a target has failed since the last one to its pool was
    /// opened.
    pub fn has_failed(&self, pool: &PoolName, target: &TargetName) -> bool {
        let path = self.paths.get(pool);
        path.is_some_and(|path| path.failures.contains_key(target))
    }

    /// Returns true if a connection to a pool has failed since the last one was opened.
    pub fn has_failures(&self, pool: &PoolName) -> bool {
        let path = self.paths.get(pool);
        path.is_some_and(|path| !path.failures.is_empty())
    }

    /// Returns the number of pools to which the path is lost.
    pub fn lost_count(&self) -> usize {
        self.paths.values().filter(|path| path.is_lost).count()
    }

    /// Returns the pools to which the path is lost and a probe is due, and schedules the next.
    pub fn take_due_probes(&mut self, now_ms: u64) -> Vec<PoolName> {
        let mut due = Vec::new();
        for (pool, path) in &mut self.paths {
            if path.is_lost && now_ms >= path.probe_due_ms {
                path.probe_due_ms = now_ms + PROBE_INTERVAL_MS;
                due.push(pool.clone());
            }
        }
        due
    }

    /// Forgets the path to a pool.
    pub fn forget(&mut self, pool: &PoolName) {
        self.paths.swap_remove(pool);
    }

    /// Returns what this host reports to its peers.
    pub fn reports(&self, now_ms: u64) -> Vec<PathReport> {
        let reports = self.paths.iter().map(|(pool, path)| PathReport {
            pool: pool.clone(),
            reached_age_ms: path
                .reached_ms
                .map(|reached_ms| now_ms.saturating_sub(reached_ms)),
            is_lost: path.is_lost,
        });
        reports
            .filter(|report| {
                report.is_lost
                    || report
                        .reached_age_ms
                        .is_some_and(|age_ms| age_ms <= VOUCH_MS)
            })
            .take(REPORTED_MAX)
            .collect()
    }

    fn path(&mut self, pool: &PoolName) -> &mut PoolPath {
        self.paths.entry(pool.clone()).or_default()
    }
}

impl PathReport {
    /// Returns true if the host that reported this `age_ms` ago can take requests for the pool.
    pub fn vouches(&self, age_ms: u64) -> bool {
        let reached_age_ms = self
            .reached_age_ms
            .and_then(|reached_age_ms| reached_age_ms.checked_add(age_ms));
        !self.is_lost && reached_age_ms.is_some_and(|age_ms| age_ms <= VOUCH_MS)
    }
}
