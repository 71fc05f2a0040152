//! How fast the targets of a pool prefill prompts, and how long runs stay there.
//!
//! Each host sums what it sees and tells its peers the sums, so that a host that sees few
//! requests knows the rate within a second. See docs/design/contention.md, "Expected time".

use serde::{Deserialize, Serialize};

/// Time in which an observation loses half of its weight.
const HALF_LIFE_MS: f64 = 5_000.0;

/// Observed time from which on a rate is known.
const OBSERVED_MIN_MS: u64 = 2_000;

/// Sums of observations, older ones with less weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSums {
    /// Prompt tokens that a target had to prefill when a request was sent there, its own
    /// included.
    pub prefill_tokens: u64,
    /// Time from then to the request's first event.
    pub prefill_ms: u64,
    /// Tokens of runs that have ended.
    pub ended_tokens: u64,
    /// The product of the tokens and the duration of each of those runs.
    pub ended_token_ms: u64,
}

impl ServiceSums {
    /// Adds other sums, saturating at the highest numbers.
    pub fn add(&mut self, other: ServiceSums) {
        self.combine(other, u64::saturating_add);
    }

    /// Subtracts other sums, saturating at zero.
    pub fn subtract(&mut self, other: ServiceSums) {
        self.combine(other, u64::saturating_sub);
    }

    fn combine(&mut self, other: ServiceSums, operation: impl Fn(u64, u64) -> u64) {
        self.prefill_tokens = operation(self.prefill_tokens, other.prefill_tokens);
        self.prefill_ms = operation(self.prefill_ms, other.prefill_ms);
        self.ended_tokens = operation(self.ended_tokens, other.ended_tokens);
        self.ended_token_ms = operation(self.ended_token_ms, other.ended_token_ms);
    }

    /// Returns the prompt tokens that a target prefills in a time, if the rate is known.
    pub fn prefill_in(&self, time_ms: u64) -> Option<u64> {
        (self.prefill_ms >= OBSERVED_MIN_MS)
            .then(|| scale(self.prefill_tokens, time_ms, self.prefill_ms))
    }

    /// Returns the time in which a target prefills a number of tokens, if the rate is known.
    pub fn prefill_time_ms(&self, tokens: u64) -> Option<u64> {
        (self.prefill_ms >= OBSERVED_MIN_MS)
            .then(|| scale(self.prefill_ms, tokens, self.prefill_tokens))
    }

    /// Returns the time in which targets make room for a number of tokens, if the rates are
    /// known: the prompts have to be prefilled, and runs have to end.
    pub fn room_time_ms(
        &self,
        tokens: u64,
        targets: u64,
        used_tokens: u64,
    ) -> Option<u64> {
        let prefill_ms = self.prefill_time_ms(tokens)? / targets.max(1);
        if self.ended_tokens == 0 {
            return Some(prefill_ms);
        }
        let residence_ms = self.ended_token_ms / self.ended_tokens;
        Some(prefill_ms.max(scale(residence_ms, tokens, used_tokens)))
    }
}

/// Returns `value * numerator / denominator`, saturating at the highest number.
fn scale(value: u64, numerator: u64, denominator: u64) -> u64 {
    let product = u128::from(value) * u128::from(numerator);
    u64::try_from(product / u128::from(denominator.max(1))).unwrap_or(u64::MAX)
}

/// The observations of one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceObservations {
    sums: [f64; 4],
    at_ms: u64,
}

impl ServiceObservations {
    /// Records the first event of a run.
    pub fn record_first_event(&mut self, now_ms: u64, prefill_tokens: u64, took_ms: u64) {
        self.add(now_ms, [prefill_tokens as f64, took_ms as f64, 0.0, 0.0]);
    }

    /// Records the end of a run.
    pub fn record_end(&mut self, now_ms: u64, tokens: u64, took_ms: u64) {
        let tokens = tokens as f64;
        self.add(now_ms, [0.0, 0.0, tokens, tokens * took_ms as f64]);
    }

    /// Returns the sums as of a time.
    pub fn sums(&self, now_ms: u64) -> ServiceSums {
        let weight = self.weight(now_ms);
        let [prefill_tokens, prefill_ms, ended_tokens, ended_token_ms] =
            self.sums.map(|sum| (sum * weight) as u64);
        ServiceSums {
            prefill_tokens,
            prefill_ms,
            ended_tokens,
            ended_token_ms,
        }
    }

    fn weight(&self, now_ms: u64) -> f64 {
        (-(now_ms.saturating_sub(self.at_ms) as f64) / HALF_LIFE_MS).exp2()
    }

    fn add(&mut self, now_ms: u64, added: [f64; 4]) {
        let weight = self.weight(now_ms);
        for (sum, added) in self.sums.iter_mut().zip(added) {
            *sum = *sum * weight + added;
        }
        self.at_ms = now_ms;
    }
}
