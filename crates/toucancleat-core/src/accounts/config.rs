//! Rates and bounds of admission.

use std::fmt;
use std::sync::Arc;

use crate::lengths;

/// Rates and bounds of admission that aren't part of the settings tree.
#[derive(Clone, Debug)]
pub struct Config {
    /// Seed of every random choice.
    pub seed: u64,
    /// Bounds of the length sketches.
    pub lengths: lengths::Config,
    /// Time between progress messages to one home.
    pub progress_interval_ms: u64,
    /// Time between refreshes of the length distributions.
    pub refresh_interval_ms: u64,
    /// Time between brief load messages to the zone.
    pub loads_interval_ms: u64,
    /// Most peers that one round of load messages goes to.
    pub loads_fanout: usize,
    /// Time without an answer of the home after which a request goes elsewhere.
    pub reserve_timeout_ms: u64,
    /// Time after which a home is reminded of a request that waits in its queue.
    pub queue_repeat_ms: u64,
    /// Wait in a queue after which one more target is asked.
    pub widen_interval_ms: u64,
    /// Most targets that a request waits for at once.
    pub candidates_max: usize,
    /// Time without progress after which a reservation is dropped.
    pub reservation_timeout_ms: u64,
    /// Longest time that a new home waits for its peers' holdings.
    pub rebuild_timeout_ms: u64,
    /// Share of a target's memory used while its account is not known.
    pub caution_share: f64,
    /// How far the fairness between organisations may be set aside for slack, in tokens
    /// of service.
    pub fairness_slack_tokens: f64,
    /// Waiting requests that may be passed over by one that fits.
    pub bypass_max: usize,
    /// Tells an answer's true length, for experiments on the bound of what knowing it
    /// would give; `None` in service.
    pub length_oracle: Option<LengthOracle>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            seed: 0,
            lengths: lengths::Config::default(),
            progress_interval_ms: 250,
            refresh_interval_ms: 1_000,
            loads_interval_ms: 1_000,
            loads_fanout: 6,
            reserve_timeout_ms: 150,
            queue_repeat_ms: 1_000,
            widen_interval_ms: 100,
            candidates_max: 4,
            reservation_timeout_ms: 3_000,
            rebuild_timeout_ms: 1_000,
            caution_share: 0.5,
            fairness_slack_tokens: 256.0,
            bypass_max: 4,
            length_oracle: None,
        }
    }
}

/// A closure from a prompt's prefix hashes to the answer's length.
#[derive(Clone)]
pub struct LengthOracle(Arc<Tell>);

type Tell = dyn Fn(&[u64]) -> Option<u32> + Send + Sync;

impl LengthOracle {
    /// Wraps a closure.
    pub fn new(tell: impl Fn(&[u64]) -> Option<u32> + Send + Sync + 'static) -> Self {
        LengthOracle(Arc::new(tell))
    }

    /// Returns the length of the answer to a prompt.
    pub fn length_tokens(&self, prefix_hashes: &[u64]) -> Option<u32> {
        (self.0)(prefix_hashes)
    }
}

impl fmt::Debug for LengthOracle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LengthOracle(..)")
    }
}
