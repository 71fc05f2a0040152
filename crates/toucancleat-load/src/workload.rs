//! Draws the arrivals of a run from its seed.

use toucancleat_core::rng::Rng;

use crate::spec::{Kind, Spec};

/// Bytes of text that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Requests drawn to compute the engines' capacity.
const CAPACITY_SAMPLES: usize = 20_000;

/// One request of the workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time at which the request is sent, from the start of the run.
    pub at_ms: f64,
    /// Index of the organisation in the spec.
    pub organisation: usize,
    /// Index of the request kind in the spec.
    pub kind: usize,
    /// Text of the prompt.
    pub prompt: String,
    /// Length of the answer in tokens, which only the engine receives.
    pub output_tokens: u32,
}

/// Draws all arrivals of a run.
///
/// Arrivals are a Poisson process whose rate rises during the rush. It is drawn by thinning a
/// process at the peak rate, so that runs of different arms and load shares stay paired on a
/// seed.
pub fn draw_arrivals(spec: &Spec, seed: u64) -> Vec<Arrival> {
    let rate = capacity_per_ms(spec) * spec.load_share;
    let peak = spec.rush.as_ref().map_or(1.0, |rush| rush.factor.max(1.0));
    let end_ms = (spec.warm_up_ms + spec.duration_ms) as f64;
    let mut rng = Rng::new(seed);
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    loop {
        at_ms += draw_exponential(&mut rng) / (rate * peak);
        if at_ms >= end_ms {
            return arrivals;
        }
        let arrival = draw_arrival(spec, &mut rng, at_ms, arrivals.len());
        if draw_uniform(&mut rng) * peak < rate_factor(spec, at_ms) {
            arrivals.push(arrival);
        }
    }
}

/// Returns the engines' capacity in requests per millisecond of engine time, at the largest
/// mean batch that their memory and the bound on the step time allow.
pub fn capacity_per_ms(spec: &Spec) -> f64 {
    let mut rng = Rng::new(1);
    let (mut output, mut token_steps, mut prompts) = (0.0, 0.0, 0.0);
    for index in 0..CAPACITY_SAMPLES {
        let arrival = draw_arrival(spec, &mut rng, 0.0, index);
        let tokens = f64::from(arrival.output_tokens);
        let prompt = (arrival.prompt.len() / TOKEN_BYTES) as f64;
        output += tokens;
        prompts += prompt;
        // While it runs, a request holds its whole prompt and on average half of its answer.
        token_steps += tokens * (prompt + tokens / 2.0);
    }
    let engines = &spec.engines;
    let footprint = token_steps / output;
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

fn draw_arrival(spec: &Spec, rng: &mut Rng, at_ms: f64, index: usize) -> Arrival {
    let organisation =
        draw_weighted_index(rng, spec.organisations.iter().map(|o| o.arrivals));
    let kind = draw_weighted_index(rng, spec.kinds.iter().map(|k| k.arrivals));
    let kind_spec = &spec.kinds[kind];
    let output_tokens = draw_output_tokens(kind_spec, rng);
    let name = &spec.organisations[organisation].name;
    Arrival {
        at_ms,
        organisation,
        kind,
        prompt: draw_prompt(kind_spec, name, index, rng),
        output_tokens,
    }
}

/// Draws a length from the kind's log-normal distribution, clamped to at least 1 and at most
/// the kind's maximum.
fn draw_output_tokens(kind: &Kind, rng: &mut Rng) -> u32 {
    let exponent = kind.output_sigma * draw_normal(rng);
    let tokens = kind.output_median_tokens * exponent.exp();
    (tokens as u32).clamp(1, kind.max_output_tokens)
}

fn draw_prompt(kind: &Kind, organisation: &str, index: usize, rng: &mut Rng) -> String {
    let range = (kind.prompt_max_tokens - kind.prompt_min_tokens) as usize;
    let tokens = kind.prompt_min_tokens as usize + rng.below(range + 1);
    let shared_text = format!("{} of {organisation}. ", kind.name);
    let mut text = String::with_capacity(tokens * TOKEN_BYTES);
    while text.len() < kind.shared_prefix_tokens as usize * TOKEN_BYTES {
        text.push_str(&shared_text);
    }
    text.truncate(kind.shared_prefix_tokens as usize * TOKEN_BYTES);
    let unique_text = format!("request {index:06} {:016x} ", rng.next_u64());
    while text.len() < tokens * TOKEN_BYTES {
        text.push_str(&unique_text);
    }
    text.truncate(tokens * TOKEN_BYTES);
    text
}

fn draw_weighted_index(
    rng: &mut Rng,
    weights: impl Iterator<Item = f64> + Clone,
) -> usize {
    let mut remainder = draw_uniform(rng) * weights.clone().sum::<f64>();
    let last = weights.clone().count() - 1;
    for (index, weight) in weights.enumerate() {
        if remainder < weight {
            return index;
        }
        remainder -= weight;
    }
    last
}

fn draw_uniform(rng: &mut Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

fn draw_exponential(rng: &mut Rng) -> f64 {
    -(1.0 - draw_uniform(rng)).ln()
}

fn draw_normal(rng: &mut Rng) -> f64 {
    let radius = (2.0 * draw_exponential(rng)).sqrt();
    radius * (std::f64::consts::TAU * draw_uniform(rng)).cos()
}
