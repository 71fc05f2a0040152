//! A retry budget, which bounds retries to a share of all first attempts.

/// Maximum number of retries that accumulate while no attempt fails.
const TOKENS_MAX: f64 = 10.0;

/// A token bucket to which each first attempt adds a fraction of a token and from which each
/// retry takes one token.
///
/// Without a budget, retries multiply the load on a pool exactly when the pool is slow.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: TOKENS_MAX }
    }
}

impl RetryBudget {
    /// Adds `ratio` tokens for a first attempt.
    pub fn deposit(&mut self, ratio: f64) {
        self.tokens = (self.tokens + ratio).min(TOKENS_MAX);
    }

    /// Takes one token for a retry; returns false if there is none.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
