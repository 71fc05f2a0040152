//! Rates and bounds of admission.

use std::fmt;
use std::sync::Arc;

use crate::lengths;

/// Rates and bounds of admission that aren't part of the settings tree.
#[derive(Clone, Debug)]
pub struct Config {
    /// Seed of the random choices.
    pub seed: u64,
    /// Bounds of the length sketches.
    pub lengths: lengths::Config,
    /// Time between progress messages to the homes.
    pub progress_interval_ms: u64,
    /// Time between refreshes of the length distributions.
    pub refresh_interval_ms: u64,
    /// Time between messages with the summaries of the accounts to the zone.
    pub summaries_interval_ms: u64,
    /// Most hosts that one round of these messages goes to.
    pub summaries_fanout: usize,
    /// Time without a reply of any home after which a request starts without a
    /// reservation; also the time after which an unanswered reservation is sent again.
    pub home_reply_timeout_ms: u64,
    /// Time after which the reservation of a request in a home's queue is sent again.
    pub queue_repeat_ms: u64,
    /// Wait after which a reservation is requested at one more target.
    pub widen_interval_ms: u64,
    /// Most targets at which reservations for one request are requested.
    pub candidates_max: usize,
    /// Time without progress after which a reservation is dropped.
    pub reservation_timeout_ms: u64,
    /// Longest time for which a new home waits for the holdings of its peers.
    pub rebuild_timeout_ms: u64,
    /// Share of a target's memory that is used while its account isn't complete.
    pub cautious_share: f64,
    /// Difference in service up to which slack takes precedence over fairness between
    /// organisations, in tokens.
    pub fairness_slack_tokens: f64,
    /// Most waiting requests that one that fits may overtake.
    pub bypass_max: usize,
    /// Source of the true lengths of answers, for experiments that bound the gain from
    /// knowing them; `None` in service.
    pub length_oracle: Option<LengthOracle>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            seed: 0,
            lengths: lengths::Config::default(),
            progress_interval_ms: 250,
            refresh_interval_ms: 1_000,
            summaries_interval_ms: 1_000,
            summaries_fanout: 6,
            home_reply_timeout_ms: 150,
            queue_repeat_ms: 1_000,
            widen_interval_ms: 100,
            candidates_max: 4,
            reservation_timeout_ms: 3_000,
            rebuild_timeout_ms: 1_000,
            cautious_share: 0.5,
            fairness_slack_tokens: 256.0,
            bypass_max: 4,
            length_oracle: None,
        }
    }
}

/// A function from the prefix hashes of a prompt to the true length of its answer.
#[derive(Clone)]
pub struct LengthOracle(Arc<LengthFn>);

type LengthFn = dyn Fn(&[u64]) -> Option<u32> + Send + Sync;

impl LengthOracle {
    /// Wraps a closure.
    pub fn new(
        length_of: impl Fn(&[u64]) -> Option<u32> + Send + Sync + 'static,
    ) -> Self {
        LengthOracle(Arc::new(length_of))
    }

    /// Returns the length of the answer to a prompt in tokens, if it is known.
    pub fn length_tokens(&self, prefix_hashes: &[u64]) -> Option<u32> {
        (self.0)(prefix_hashes)
    }
}

impl fmt::Debug for LengthOracle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LengthOracle(..)")
    }
}
