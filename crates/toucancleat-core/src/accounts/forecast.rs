//! Forecasts of the memory that a batch needs in future steps.

use crate::lengths::Distribution;

/// Numbers of steps ahead at which the memory of a batch is forecast; one step generates
/// one token of each generation.
pub const CHECKPOINTS_TOKENS: [u32; CHECKPOINTS] =
    [0, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192];

const CHECKPOINTS: usize = 10;

/// Mean and variance of the memory that a generation, or a batch, holds at each
/// checkpoint.
///
/// A generation that still runs `t` steps ahead holds its prompt, the tokens generated
/// so far and `t` more; one that has ended holds nothing. The sum of these independent
/// variables is approximated as normal. This is the future-memory estimate of Gong et
/// al., "Past-Future Scheduler for LLM Serving under SLA Guarantees" (ASPLOS 2025), with
/// a probability in place of its sampled prediction. See docs/POLICY.md.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forecast {
    mean_tokens: [f64; CHECKPOINTS],
    variance_tokens2: [f64; CHECKPOINTS],
    remaining_tokens: f64,
}

/// The known memory and length of one generation.
#[derive(Clone, Copy, Debug)]
pub enum Footprint<'a> {
    /// The length is unknown and follows a distribution.
    Unknown {
        /// Tokens of the prompt that are in memory.
        prompt_tokens: u32,
        /// Tokens generated so far.
        generated: u32,
        /// Most tokens that the answer may have.
        max_output_tokens: u32,
        /// Distribution of the length.
        distribution: &'a Distribution,
    },
    /// The length is known.
    Known {
        /// Tokens of the prompt that are in memory.
        prompt_tokens: u32,
        /// Tokens generated so far.
        generated: u32,
        /// Length of the whole answer.
        length_tokens: u32,
    },
    /// The memory of the longest possible answer is reserved from the start to the end.
    Fixed {
        /// Tokens held.
        held_tokens: u64,
        /// Tokens generated so far.
        generated: u32,
        /// Most tokens that the answer may have.
        max_output_tokens: u32,
        /// Distribution of the length, which predicts the remaining tokens but doesn't
        /// affect the reserved memory.
        distribution: &'a Distribution,
    },
}

impl Forecast {
    /// Forecasts one generation.
    pub fn of(footprint: Footprint<'_>) -> Self {
        let mut forecast = Forecast {
            remaining_tokens: remaining_tokens(footprint),
            ..Forecast::default()
        };
        for (index, &ahead) in CHECKPOINTS_TOKENS.iter().enumerate() {
            let (held, chance) = held_at(footprint, ahead);
            forecast.mean_tokens[index] = held * chance;
            forecast.variance_tokens2[index] = held * held * chance * (1.0 - chance);
        }
        forecast
    }

    /// Adds a generation to the batch.
    pub fn add(&mut self, other: &Forecast) {
        for index in 0..CHECKPOINTS {
            self.mean_tokens[index] += other.mean_tokens[index];
            self.variance_tokens2[index] += other.variance_tokens2[index];
        }
        self.remaining_tokens += other.remaining_tokens;
    }

    /// Removes a generation from the batch.
    pub fn subtract(&mut self, other: &Forecast) {
        for index in 0..CHECKPOINTS {
            let mean = self.mean_tokens[index] - other.mean_tokens[index];
            let variance = self.variance_tokens2[index] - other.variance_tokens2[index];
            self.mean_tokens[index] = mean.max(0.0);
            self.variance_tokens2[index] = variance.max(0.0);
        }
        let remaining = self.remaining_tokens - other.remaining_tokens;
        self.remaining_tokens = remaining.max(0.0);
    }

    /// Returns the expected memory held now, in tokens.
    pub fn current_tokens(&self) -> f64 {
        self.mean_tokens[0]
    }

    /// Returns the expected number of tokens still to be generated.
    pub fn remaining_tokens(&self) -> f64 {
        self.remaining_tokens
    }

    /// Returns true if with `added` the probability of exceeding `memory_tokens` is at
    /// most `chance_max` at every checkpoint.
    pub fn fits(&self, added: &Forecast, memory_tokens: f64, chance_max: f64) -> bool {
        let deviations = normal_quantile(1.0 - chance_max);
        (0..CHECKPOINTS).all(|index| {
            let mean = self.mean_tokens[index] + added.mean_tokens[index];
            let variance = self.variance_tokens2[index] + added.variance_tokens2[index];
            mean + deviations * variance.sqrt() <= memory_tokens
        })
    }
}

fn remaining_tokens(footprint: Footprint<'_>) -> f64 {
    match footprint {
        Footprint::Unknown {
            generated,
            max_output_tokens,
            distribution,
            ..
        }
        | Footprint::Fixed {
            generated,
            max_output_tokens,
            distribution,
            ..
        } => distribution.expected_remaining(generated, max_output_tokens),
        Footprint::Known {
            generated,
            length_tokens,
            ..
        } => f64::from(length_tokens.saturating_sub(generated)),
    }
}

/// Returns the memory that a generation holds if it still runs `ahead` steps later, and
/// the probability that it does.
fn held_at(footprint: Footprint<'_>, ahead: u32) -> (f64, f64) {
    match footprint {
        Footprint::Unknown {
            prompt_tokens,
            generated,
            max_output_tokens,
            distribution,
        } => {
            let total = generated.saturating_add(ahead);
            let held = f64::from(prompt_tokens) + f64::from(total);
            let chance = match total > max_output_tokens {
                true => 0.0,
                false => distribution.chance_running(generated, ahead),
            };
            (held, chance)
        }
        Footprint::Known {
            prompt_tokens,
            generated,
            length_tokens,
        } => {
            let total = generated.saturating_add(ahead);
            let held = f64::from(prompt_tokens) + f64::from(total);
            (held, f64::from(u8::from(total <= length_tokens)))
        }
        Footprint::Fixed { held_tokens, .. } => (held_tokens as f64, 1.0),
    }
}

/// Returns the quantile of the standard normal distribution, by the rational
/// approximation 26.2.23 of Abramowitz and Stegun, whose error is under 0.00045.
fn normal_quantile(chance: f64) -> f64 {
    let tail = chance.min(1.0 - chance).clamp(1e-9, 0.5);
    let t = (-2.0 * tail.ln()).sqrt();
    let numerator = 2.515517 + t * (0.802853 + t * 0.010328);
    let denominator = 1.0 + t * (1.432788 + t * (0.189269 + t * 0.001308));
    let deviations = t - numerator / denominator;
    if chance < 0.5 {
        -deviations
    } else {
        deviations
    }
}
