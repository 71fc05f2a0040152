//! The arrivals of a run, all drawn from its seed.

use toucancleat_core::rng::Rng;

use crate::spec::{Kind, Spec};

/// Bytes of text that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Answers drawn to work out what the engines can generate.
const CAPACITY_SAMPLES: usize = 20_000;

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it is sent, from the start of the run.
    pub at_ms: f64,
    /// Index of the organisation.
    pub organisation: usize,
    /// Index of the kind.
    pub kind: usize,
    /// The prompt.
    pub prompt: String,
    /// Length of the answer, which only the engine is told.
    pub output_tokens: u32,
}

/// Draws every arrival of a run.
///
/// Arrivals are a Poisson process whose rate rises in the rush. It is drawn by thinning
/// one at the highest rate, so that arms and load shares stay paired on a seed.
pub fn arrivals(spec: &Spec, seed: u64) -> Vec<Arrival> {
    let rate = capacity_per_ms(spec) * spec.load_share;
    let peak = spec.rush.as_ref().map_or(1.0, |rush| rush.factor.max(1.0));
    let end_ms = (spec.warm_up_ms + spec.duration_ms) as f64;
    let mut rng = Rng::new(seed);
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    loop {
        at_ms += exponential(&mut rng) / (rate * peak);
        if at_ms >= end_ms {
            return arrivals;
        }
        let arrival = draw(spec, &mut rng, at_ms, arrivals.len());
        if unit(&mut rng) * peak < rate_factor(spec, at_ms) {
            arrivals.push(arrival);
        }
    }
}

/// Returns the requests that the engines can finish in a millisecond of engine time, at the
/// largest mean batch that their memory and step-time bound allow.
pub fn capacity_per_ms(spec: &Spec) -> f64 {
    let mut rng = Rng::new(1);
    let (mut output, mut held, mut prompts) = (0.0, 0.0, 0.0);
    for index in 0..CAPACITY_SAMPLES {
        let arrival = draw(spec, &mut rng, 0.0, index);
        let tokens = f64::from(arrival.output_tokens);
        let prompt = (arrival.prompt.len() / TOKEN_BYTES) as f64;
        output += tokens;
        prompts += prompt;
        // A request holds its prompt all along and half of its answer on average.
        held += tokens * (prompt + tokens / 2.0);
    }
    let engines = &spec.engines;
    let footprint = held / output;
    let by_memory = engines.memory_tokens as f64 / footprint;
    let spare_ms = spec.bounds.step_time_max_ms - engines.step_base_ms;
    let context_ms = engines.step_1000_context_tokens_ms * footprint / 1_000.0;
    let by_step = spare_ms / (engines.step_sequence_ms + context_ms);
    let batch = by_memory
        .min(by_step)
        .min(f64::from(engines.max_batch))
        .max(1.0);
    let step_ms = engines.step_base_ms + (engines.step_sequence_ms + context_ms) * batch;
    let samples = CAPACITY_SAMPLES as f64;
    let prefill_ms = prompts / samples * engines.step_prefill_token_ms;
    let decode_ms = output / samples * step_ms / batch;
    engines.count as f64 / (prefill_ms + decode_ms)
}

fn rate_factor(spec: &Spec, at_ms: f64) -> f64 {
    let Some(rush) = &spec.rush else {
        return 1.0;
    };
    let start_ms = (spec.warm_up_ms + rush.at_ms) as f64;
    let within = at_ms >= start_ms && at_ms < start_ms + rush.duration_ms as f64;
    if within { rush.factor } else { 1.0 }
}

fn draw(spec: &Spec, rng: &mut Rng, at_ms: f64, index: usize) -> Arrival {
    let organisation = weighted(rng, spec.organisations.iter().map(|o| o.arrivals));
    let kind = weighted(rng, spec.kinds.iter().map(|k| k.arrivals));
    let described = &spec.kinds[kind];
    let output_tokens = output_tokens(described, rng);
    let name = &spec.organisations[organisation].name;
    Arrival {
        at_ms,
        organisation,
        kind,
        prompt: prompt(described, name, index, rng),
        output_tokens,
    }
}

/// Draws a length from a log-normal law, cut at the kind's maximum.
fn output_tokens(kind: &Kind, rng: &mut Rng) -> u32 {
    let exponent = kind.output_sigma * normal(rng);
    let tokens = kind.output_median_tokens * exponent.exp();
    (tokens as u32).clamp(1, kind.max_output_tokens)
}

fn prompt(kind: &Kind, organisation: &str, index: usize, rng: &mut Rng) -> String {
    let spread = (kind.prompt_max_tokens - kind.prompt_min_tokens) as usize;
    let tokens = kind.prompt_min_tokens as usize + rng.below(spread + 1);
    let shared = format!("{} of {organisation}. ", kind.name);
    let mut text = String::with_capacity(tokens * TOKEN_BYTES);
    while text.len() < kind.shared_prefix_tokens as usize * TOKEN_BYTES {
        text.push_str(&shared);
    }
    text.truncate(kind.shared_prefix_tokens as usize * TOKEN_BYTES);
    let own = format!("request {index:06} {:016x} ", rng.next_u64());
    while text.len() < tokens * TOKEN_BYTES {
        text.push_str(&own);
    }
    text.truncate(tokens * TOKEN_BYTES);
    text
}

fn weighted(rng: &mut Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = unit(rng) * weights.clone().sum::<f64>();
    let last = weights.clone().count() - 1;
    for (index, weight) in weights.enumerate() {
        if left < weight {
            return index;
        }
        left -= weight;
    }
    last
}

fn unit(rng: &mut Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

fn exponential(rng: &mut Rng) -> f64 {
    -(1.0 - unit(rng)).ln()
}

fn normal(rng: &mut Rng) -> f64 {
    let radius = (2.0 * exponential(rng)).sqrt();
    radius * (std::f64::consts::TAU * unit(rng)).cos()
}
