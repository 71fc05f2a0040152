//! The distribution of an answer's length, given the tokens generated so far.

use super::buckets::{BUCKETS, bucket_position, lower_edge};
use super::sketch::Sketch;

/// Length in tokens at which the survival of the built-in prior is one half.
const PRIOR_SCALE_TOKENS: f64 = 256.0;

/// Highest hazard of a bucket, so that the survival never reaches zero.
const HAZARD_MAX: f64 = 0.98;

/// A distribution of the lengths of answers, as a survival function over the buckets.
///
/// Every query is conditioned on the tokens generated so far, because an answer that is
/// already long is expected to run for longer.
#[derive(Clone, Debug, PartialEq)]
pub struct Distribution {
    /// Chance that an answer reaches each bucket's lower edge.
    survival: [f64; BUCKETS],
    /// Integral of the survival up to each lower edge, in tokens.
    area_tokens: [f64; BUCKETS],
}

impl Distribution {
    /// Returns the distribution assumed before any observation. It has a heavy tail, as
    /// it is safer to expect long answers.
    pub fn prior() -> Self {
        let survival = std::array::from_fn(|b| {
            1.0 / (1.0 + (lower_edge(b) - 1.0) / PRIOR_SCALE_TOKENS)
        });
        Distribution::from_survival(survival)
    }

    /// Estimates the distribution from a sketch, with shrinkage towards `parent` where
    /// the sketch holds few observations.
    ///
    /// The chance of ending within a bucket is the Kaplan-Meier hazard, shrunk towards
    /// the parent's by the weight of `parent_weight` observations. The tail, which few
    /// answers reach, thus follows the parent even when the body is well known.
    pub fn estimate(sketch: &Sketch, parent: &Distribution, parent_weight: f64) -> Self {
        let at_risk = sketch.at_risk();
        let mut survival = [1.0; BUCKETS];
        for bucket in 0..BUCKETS - 1 {
            let inherited = 1.0 - parent.survival[bucket + 1] / parent.survival[bucket];
            let ended = sketch.ended_in(bucket) + parent_weight * inherited;
            let hazard = ended / (at_risk[bucket] + parent_weight);
            survival[bucket + 1] = survival[bucket] * (1.0 - hazard.min(HAZARD_MAX));
        }
        Distribution::from_survival(survival)
    }

    /// Returns the chance that an answer with `generated` tokens still runs after
    /// `ahead` more.
    pub fn chance_running(&self, generated: u32, ahead: u32) -> f64 {
        let now = self.survival_at(f64::from(generated));
        let then = self.survival_at(f64::from(generated) + f64::from(ahead));
        then / now
    }

    /// Returns the expected number of further tokens, where no answer exceeds
    /// `max_output_tokens`.
    pub fn expected_remaining(&self, generated: u32, max_output_tokens: u32) -> f64 {
        let generated = f64::from(generated);
        let end = f64::from(max_output_tokens).max(generated);
        let area_tokens = self.area_at(end) - self.area_at(generated);
        area_tokens / self.survival_at(generated)
    }

    /// Returns the quantile `chance` of the total length of an answer with `generated`
    /// tokens, in tokens and at most `max_output_tokens`.
    pub fn quantile(&self, generated: u32, chance: f64, max_output_tokens: u32) -> f64 {
        let survival_goal = self.survival_at(f64::from(generated)) * (1.0 - chance);
        let first = self.survival.partition_point(|&s| s > survival_goal);
        let length = match first {
            0 => 1.0,
            BUCKETS => lower_edge(BUCKETS - 1),
            bucket => self.invert_within(bucket - 1, survival_goal),
        };
        length
            .max(f64::from(generated))
            .min(f64::from(max_output_tokens))
    }

    fn from_survival(survival: [f64; BUCKETS]) -> Self {
        let mut area_tokens = [0.0; BUCKETS];
        // N.B. The area starts at zero tokens, one below the edge of the first bucket.
        area_tokens[0] = 1.0;
        for bucket in 1..BUCKETS {
            let width = lower_edge(bucket) - lower_edge(bucket - 1);
            let height = (survival[bucket] + survival[bucket - 1]) / 2.0;
            area_tokens[bucket] = area_tokens[bucket - 1] + width * height;
        }
        Distribution {
            survival,
            area_tokens,
        }
    }

    /// Interpolates the survival linearly within its bucket.
    fn survival_at(&self, tokens: f64) -> f64 {
        let position = bucket_position(tokens);
        let bucket = (position as usize).min(BUCKETS - 2);
        let share = position - bucket as f64;
        let (low, high) = (self.survival[bucket], self.survival[bucket + 1]);
        low + (high - low) * share
    }

    /// Returns the integral of the survival from zero to `tokens`.
    fn area_at(&self, tokens: f64) -> f64 {
        let position = bucket_position(tokens);
        let bucket = (position as usize).min(BUCKETS - 2);
        let width = tokens.max(1.0) - lower_edge(bucket);
        let height = (self.survival[bucket] + self.survival_at(tokens)) / 2.0;
        self.area_tokens[bucket] + width * height
    }

    /// Returns the length within a bucket at which the survival falls to `survival_goal`.
    fn invert_within(&self, bucket: usize, survival_goal: f64) -> f64 {
        let (low, high) = (lower_edge(bucket), lower_edge(bucket + 1));
        let fall = self.survival[bucket] - self.survival[bucket + 1];
        let share = ((self.survival[bucket] - survival_goal)
            / fall.max(f64::MIN_POSITIVE))
        .min(1.0);
        low + (high - low) * share
    }
}
