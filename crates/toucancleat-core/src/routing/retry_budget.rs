//! Retries as a bounded share of all attempts.

/// Most retries saved up while nothing fails.
const BALANCE_MAX: f64 = 10.0;

/// A token bucket that each first attempt fills by a ratio and each retry takes one from.
///
/// Without it, retries multiply the load on a pool exactly when the pool is slow.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            balance: BALANCE_MAX,
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self, ratio: f64) {
        self.balance = (self.balance + ratio).min(BALANCE_MAX);
    }

    /// Takes one retry out; tells whether there was one left.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
