//! How many targets of each software version have left recently.
//!
//! Versions have no order, so nothing tells which one a release replaces, except that its
//! targets leave. Streams that run there can continue only at the targets that are left of
//! their version, and find room there if new streams begin at another.

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

use crate::target::{SoftwareVersion, TargetDirectory, TargetEntry};

/// Time in which the count of departures decays to a third; about the time that a release
/// takes for a few targets.
const DECAY_MS: f64 = 10_000.0;

/// Counts of departures, decaying with time.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    counts: IndexMap<PoolName, IndexMap<SoftwareVersion, DecayingCount>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    value: f64,
    at_ms: u64,
}

impl DecayingCount {
    fn at(self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.value * (-age_ms / DECAY_MS).exp()
    }
}

impl Departures {
    /// Counts a target that leaves. Versions of the pool without targets are forgotten.
    pub fn record(
        &mut self,
        now_ms: u64,
        entry: &TargetEntry,
        directory: &TargetDirectory,
    ) {
        let Some(version) = &entry.software_version else {
            return;
        };
        let counts = self.counts.entry(entry.pool.clone()).or_default();
        counts.retain(|known, _| directory.count(&entry.pool, known) > 0);
        let count = counts.entry(version.clone()).or_default();
        *count = DecayingCount {
            value: count.at(now_ms) + 1.0,
            at_ms: now_ms,
        };
    }

    /// Returns the share of the targets of an entry's version that have left recently.
    pub fn share(
        &self,
        now_ms: u64,
        entry: &TargetEntry,
        directory: &TargetDirectory,
    ) -> f64 {
        let Some(version) = &entry.software_version else {
            return 0.0;
        };
        let counts = self.counts.get(&entry.pool);
        let Some(count) = counts.and_then(|counts| counts.get(version)) else {
            return 0.0;
        };
        let left = count.at(now_ms);
        let listed = directory.count(&entry.pool, version).max(1) as f64;
        left / (left + listed)
    }
}
