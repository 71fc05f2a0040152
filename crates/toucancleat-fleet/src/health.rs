//! Health of targets, measured by the answers that this host received from them.

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

/// Weight of the newest answer in the moving averages, which cover about the last ten
/// answers.
const EWMA_WEIGHT: f64 = 0.15;

/// Duration of the first ejection after a failed connection. Doubles with each
/// consecutive failure.
const EJECTION_FIRST_MS: u64 = 300;

/// Maximum duration of an ejection. A target that has recovered is tried again within it.
const EJECTION_MAX_MS: u64 = 4_000;

/// Measurements of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failure_rate: f64,
    latency_ms: Option<f64>,
    consecutive_failures: u32,
    ejected_until_ms: u64,
    /// When a connection to it last failed to open.
    unreached_ms: Option<u64>,
}

/// The health of a target as shown by one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSample {
    /// A successful answer.
    Answered {
        /// Time to the answer, or to the first event of a stream.
        took_ms: u64,
    },
    /// An answer that reports a failure.
    Failed,
    /// The target declined the request, as a full one does.
    Declined,
    /// No connection could be opened.
    Unreached,
    /// The connection was interrupted, the address belongs to another target, no answer was
    /// received in time, or the response was malformed.
    ConnectionFailed,
}

/// Health of all targets.
#[derive(Clone, Debug, Default)]
pub struct HealthTable(IndexMap<TargetName, TargetHealth>);

impl HealthTable {
    /// Records the health of a target as shown by one attempt.
    pub fn record(&mut self, now_ms: u64, target: &TargetName, sample: HealthSample) {
        let health = self.0.entry(target.clone()).or_default();
        let failed = match sample {
            HealthSample::Answered { took_ms } => {
                let before = health.latency_ms.unwrap_or(took_ms as f64);
                health.latency_ms =
                    Some(before + EWMA_WEIGHT * (took_ms as f64 - before));
                health.consecutive_failures = 0;
                0.0
            }
            HealthSample::Failed => 1.0,
            HealthSample::Declined => 0.5,
            HealthSample::Unreached | HealthSample::ConnectionFailed => {
                if sample == HealthSample::Unreached {
                    health.unreached_ms = Some(now_ms);
                }
                let ejection_ms = EJECTION_FIRST_MS << health.consecutive_failures.min(4);
                health.ejected_until_ms = now_ms + ejection_ms.min(EJECTION_MAX_MS);
                health.consecutive_failures += 1;
                1.0
            }
        };
        health.failure_rate += EWMA_WEIGHT * (failed - health.failure_rate);
    }

    /// Removes a target that has restarted or is gone.
    pub fn remove(&mut self, target: &TargetName) {
        self.0.swap_remove(target);
    }

    /// Returns true if a target is ejected: it is used only where there is no other.
    pub fn is_ejected(&self, now_ms: u64, target: &TargetName) -> bool {
        self.0
            .get(target)
            .is_some_and(|health| now_ms < health.ejected_until_ms)
    }

    /// Returns when a connection to a target last failed to open.
    pub fn unreached_ms(&self, target: &TargetName) -> Option<u64> {
        self.0.get(target)?.unreached_ms
    }

    /// Returns the moving average of a target's share of failed answers.
    pub fn failure_rate(&self, target: &TargetName) -> f64 {
        self.0.get(target).map_or(0.0, |health| health.failure_rate)
    }

    /// Returns the moving average of a target's time to an answer, in milliseconds.
    pub fn latency_ms(&self, target: &TargetName) -> Option<f64> {
        self.0.get(target).and_then(|health| health.latency_ms)
    }
}
