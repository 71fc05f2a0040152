//! What answers say of a target.

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

/// Weight of the newest answer in the averages: about the last ten answers count.
const EWMA_WEIGHT: f64 = 0.15;

/// First pause after a connection failed; doubled with each failure in a row.
const EJECTION_FIRST_MS: u64 = 300;

/// Longest pause; a target that has come back is tried within this time.
const EJECTION_MAX_MS: u64 = 4_000;

/// What is known of one target from its own answers.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failure_rate: f64,
    latency_ms: Option<f64>,
    consecutive_failures: u32,
    ejected_until_ms: u64,
}

/// What an attempt showed of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A good answer after some time.
    Answered {
        /// Time to the answer, or to the first event of a stream.
        took_ms: u64,
    },
    /// An answer that reports a failure.
    Failed,
    /// It declined, as a target does that is full.
    Declined,
    /// No connection, a broken one, or bytes that are no answer.
    ConnectionFailed,
}

/// Health of all targets.
#[derive(Clone, Debug, Default)]
pub struct HealthTable(IndexMap<TargetName, TargetHealth>);

impl HealthTable {
    /// Takes in what an attempt showed.
    pub fn record(&mut self, now_ms: u64, target: &TargetName, observation: Observation) {
        let health = self.0.entry(target.clone()).or_default();
        let failed = match observation {
            Observation::Answered { took_ms } => {
                let before = health.latency_ms.unwrap_or(took_ms as f64);
                health.latency_ms =
                    Some(before + EWMA_WEIGHT * (took_ms as f64 - before));
                health.consecutive_failures = 0;
                0.0
            }
            Observation::Failed => 1.0,
            Observation::Declined => 0.5,
            Observation::ConnectionFailed => {
                let ejection_ms = EJECTION_FIRST_MS << health.consecutive_failures.min(4);
                health.ejected_until_ms = now_ms + ejection_ms.min(EJECTION_MAX_MS);
                health.consecutive_failures += 1;
                1.0
            }
        };
        health.failure_rate += EWMA_WEIGHT * (failed - health.failure_rate);
    }

    /// Forgets a target that has started anew or is gone.
    pub fn remove(&mut self, target: &TargetName) {
        self.0.swap_remove(target);
    }

    /// Says whether a target had better be left alone for now.
    pub fn is_ejected(&self, now_ms: u64, target: &TargetName) -> bool {
        self.0
            .get(target)
            .is_some_and(|health| now_ms < health.ejected_until_ms)
    }

    /// Returns the share of a target's answers that failed of late.
    pub fn failure_rate(&self, target: &TargetName) -> f64 {
        self.0.get(target).map_or(0.0, |health| health.failure_rate)
    }

    /// Returns a target's usual time to an answer.
    pub fn latency_ms(&self, target: &TargetName) -> Option<f64> {
        self.0.get(target).and_then(|health| health.latency_ms)
    }
}
