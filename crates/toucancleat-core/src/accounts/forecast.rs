//! How much memory a batch will need, step by step ahead.

use crate::lengths::Distribution;

/// Steps ahead at which the batch's memory is forecast.
pub const CHECKPOINTS_TOKENS: [u32; CHECKPOINTS] =
    [0, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192];

const CHECKPOINTS: usize = 10;

/// Mean and variance of the memory that one generation, or a batch, holds at each checkpoint.
///
/// A generation that is still running `t` steps ahead holds its prompt, what it has
/// generated and `t` tokens more; one that has ended holds nothing. Sums of these
/// independent variables are taken as normal. This is the future-memory estimate of
/// Gong et al., "Past-Future Scheduler for LLM Serving under SLA Guarantees" (ASPLOS
/// 2025), with a chance in place of its sampled prediction. See docs/POLICY.md.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forecast {
    mean_tokens: [f64; CHECKPOINTS],
    variance_tokens2: [f64; CHECKPOINTS],
    remaining_tokens: f64,
}

/// What is known of one generation's memory.
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
    /// The longest possible answer is reserved from the start to the end.
    Fixed {
        /// Tokens held.
        held_tokens: u64,
        /// Tokens generated so far.
        generated: u32,
        /// Most tokens that the answer may have.
        max_output_tokens: u32,
        /// Distribution of the length, which the reservation leaves aside.
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
    pub fn add(&mut self, one: &Forecast) {
        for index in 0..CHECKPOINTS {
            self.mean_tokens[index] += one.mean_tokens[index];
            self.variance_tokens2[index] += one.variance_tokens2[index];
        }
        self.remaining_tokens += one.remaining_tokens;
    }

    /// Takes a generation out of the batch.
    pub fn subtract(&mut self, one: &Forecast) {
        for index in 0..CHECKPOINTS {
            let mean = self.mean_tokens[index] - one.mean_tokens[index];
            let variance = self.variance_tokens2[index] - one.variance_tokens2[index];
            self.mean_tokens[index] = mean.max(0.0);
            self.variance_tokens2[index] = variance.max(0.0);
        }
        let remaining = self.remaining_tokens - one.remaining_tokens;
        self.remaining_tokens = remaining.max(0.0);
    }

    /// Returns the memory held now.
    pub fn now_tokens(&self) -> f64 {
        self.mean_tokens[0]
    }

    /// Returns the expected number of tokens still to be generated.
    pub fn remaining_tokens(&self) -> f64 {
        self.remaining_tokens
    }

    /// Says whether, with `one` more, the chance of outgrowing `memory_tokens` stays
    /// under `chance_max` at every checkpoint.
    pub fn fits(&self, one: &Forecast, memory_tokens: f64, chance_max: f64) -> bool {
        let deviations = normal_quantile(1.0 - chance_max);
        (0..CHECKPOINTS).all(|index| {
            let mean = self.mean_tokens[index] + one.mean_tokens[index];
            let variance = self.variance_tokens2[index] + one.variance_tokens2[index];
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

/// Returns the memory that a generation holds if it still runs, and the chance that it does.
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
