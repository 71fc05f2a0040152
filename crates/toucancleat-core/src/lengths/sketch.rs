//! Counts of answer lengths in log-spaced buckets, with censored answers kept apart.

use super::buckets::{BUCKETS, bucket_of};

/// A mergeable sketch of the lengths of answers.
///
/// Of an answer that was cancelled, or that is still running, only a lower bound of its
/// length is known: the tokens generated so far. Dropping such answers would
/// underestimate the share of long ones, so they are counted apart and enter the estimate
/// as censored observations.
#[derive(Clone, Debug, PartialEq)]
pub struct Sketch {
    ended: [f32; BUCKETS],
    censored: [f32; BUCKETS],
}

impl Default for Sketch {
    fn default() -> Self {
        Sketch {
            ended: [0.0; BUCKETS],
            censored: [0.0; BUCKETS],
        }
    }
}

impl Sketch {
    /// Counts an answer that was complete at `tokens`.
    pub fn observe_ended(&mut self, tokens: u32) {
        self.ended[bucket_of(tokens)] += 1.0;
    }

    /// Counts an answer known only to be longer than `tokens`.
    pub fn observe_censored(&mut self, tokens: u32) {
        self.censored[bucket_of(tokens)] += 1.0;
    }

    /// Adds the counts of another sketch.
    pub fn merge(&mut self, other: &Sketch) {
        for (count, more) in self.ended.iter_mut().zip(&other.ended) {
            *count += more;
        }
        for (count, more) in self.censored.iter_mut().zip(&other.censored) {
            *count += more;
        }
    }

    /// Multiplies every count by `factor`, so that old observations lose weight.
    pub fn scale(&mut self, factor: f32) {
        for count in self.ended.iter_mut().chain(self.censored.iter_mut()) {
            *count *= factor;
        }
    }

    /// Returns the weight of all observations.
    pub fn weight(&self) -> f64 {
        let sum: f32 = self.ended.iter().chain(&self.censored).sum();
        f64::from(sum)
    }

    /// Returns the weight of answers that ended in a bucket.
    pub(super) fn ended_in(&self, bucket: usize) -> f64 {
        f64::from(self.ended[bucket])
    }

    /// Returns the weight of answers that reached each bucket.
    ///
    /// A censored answer counts half in the bucket where it was cut off, as in the
    /// actuarial form of the Kaplan-Meier estimator.
    pub(super) fn at_risk(&self) -> [f64; BUCKETS] {
        let mut at_risk = [0.0; BUCKETS];
        let mut beyond = 0.0;
        for bucket in (0..BUCKETS).rev() {
            let ended = f64::from(self.ended[bucket]);
            let censored = f64::from(self.censored[bucket]);
            at_risk[bucket] = beyond + ended + censored / 2.0;
            beyond += ended + censored;
        }
        at_risk
    }
}
