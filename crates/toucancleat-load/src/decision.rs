//! Benchmark of the processor time that the decision for one request takes.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use toucancleat_core::accounts::{
    Config, Effect, Event, Limits, Outcome, Request, State, TargetSpec, reduce,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_core::settings::RoutingPolicy;

/// Number of organisations and of request kinds that requests are drawn from.
const ORGANISATIONS: usize = 200;
const KINDS: usize = 39;

/// Memory and batch size of each engine.
const MEMORY_TOKENS: u64 = 65_536;
const MAX_BATCH: u32 = 48;

/// Generations running at each target when the measurement begins.
const INITIAL_BATCH: usize = 20;

/// Largest value of the histogram: one second.
const HISTOGRAM_MAX_NS: u64 = 1_000_000_000;

/// Distribution of the time that a decision takes.
#[derive(Clone, Debug)]
pub struct Cost {
    /// Number of targets in the zone.
    pub targets: usize,
    /// Number of decisions measured.
    pub decisions: u64,
    /// Median.
    pub p50: Duration,
    /// 99th percentile.
    pub p99: Duration,
    /// 99.9th percentile.
    pub p999: Duration,
}

/// Measures the complete decision for one request: the choice of candidate targets and the
/// admission at the target's home, on a host that is home of every target.
pub fn measure(targets: usize, decisions: usize) -> Cost {
    let host = HostName::new("entry-0");
    let mut state = State::new(host.clone(), Config::default());
    let mut effects = Vec::new();
    let mut rng = Rng::new(7);
    let mut now_ms = 1_000_000_000;
    add_targets(&mut state, now_ms, &host, targets);
    let mut running = Vec::new();
    let mut histogram: Histogram<u64> =
        Histogram::new_with_bounds(1, HISTOGRAM_MAX_NS, 3).expect("fixed bounds");
    for index in 0..targets * INITIAL_BATCH + decisions {
        now_ms += 1;
        let request = build_request(&mut rng, now_ms, index);
        let start = Instant::now();
        reduce(
            &mut state,
            now_ms,
            Event::RequestReceived(request),
            &mut effects,
        );
        if index >= targets * INITIAL_BATCH {
            histogram.saturating_record(start.elapsed().as_nanos() as u64);
        }
        for effect in effects.drain(..) {
            if let Effect::Dispatch { generation, .. } = effect {
                running.push(generation);
            }
        }
        if running.len() > targets * INITIAL_BATCH {
            finish_generation(&mut state, now_ms, &mut rng, &mut running, &mut effects);
        }
        if index % 1_000 == 0 {
            reduce(&mut state, now_ms, Event::Tick, &mut effects);
        }
        report_progress(&mut state, now_ms, &mut rng, &running, &mut effects);
    }
    let duration_at =
        |quantile| Duration::from_nanos(histogram.value_at_quantile(quantile));
    Cost {
        targets,
        decisions: histogram.len(),
        p50: duration_at(0.5),
        p99: duration_at(0.99),
        p999: duration_at(0.999),
    }
}

fn add_targets(state: &mut State, now_ms: u64, host: &HostName, targets: usize) {
    let specs: Vec<TargetSpec> = (0..targets)
        .map(|index| TargetSpec {
            name: TargetName::new(&format!("engine-{index}")),
            pool: PoolName::new("engines"),
            memory_tokens: MEMORY_TOKENS,
            max_batch: MAX_BATCH,
        })
        .collect();
    let homes = specs
        .iter()
        .map(|s| (s.name.clone(), host.clone()))
        .collect();
    let events = [
        Event::TargetsChanged(specs),
        Event::HomesChanged {
            hosts: vec![host.clone()],
            homes,
        },
    ];
    for event in events {
        reduce(state, now_ms, event, &mut Vec::new());
    }
}

fn build_request(rng: &mut Rng, now_ms: u64, index: usize) -> Request {
    Request {
        id: RequestId(index as u128),
        generation: GenerationId(index as u128),
        pool: PoolName::new("engines"),
        organisation: OrganisationName::new(&format!("org-{}", rng.below(ORGANISATIONS))),
        kind: KindName::new(&format!("kind-{}", rng.below(KINDS))),
        prompt_tokens: 100 + rng.below(1_000) as u32,
        max_output_tokens: 8_192,
        prefix_hashes: (0..8).map(|_| rng.next_u64()).collect(),
        deadline_unix_ms: now_ms + 600_000,
        priority: 5,
        weight: 1.0,
        limits: Limits {
            outgrow_chance_max: 0.05,
            step_time_max_ms: 31.0,
            queue_timeout_ms: 60_000,
            policy: RoutingPolicy::HomeAccounts,
        },
        attempt: 0,
        retry_budget_ratio: 0.1,
        excluded: Vec::new(),
    }
}

fn finish_generation(
    state: &mut State,
    now_ms: u64,
    rng: &mut Rng,
    running: &mut Vec<GenerationId>,
    effects: &mut Vec<Effect>,
) {
    let generation = running.swap_remove(rng.below(running.len()));
    let event = Event::GenerationFinished {
        generation,
        tokens: 10 + rng.below(2_000) as u32,
        outcome: Outcome::Completed,
    };
    reduce(state, now_ms, event, effects);
}

/// Reports progress of one generation, so that the accounts hold answers of all lengths.
fn report_progress(
    state: &mut State,
    now_ms: u64,
    rng: &mut Rng,
    running: &[GenerationId],
    effects: &mut Vec<Effect>,
) {
    if running.is_empty() {
        return;
    }
    let event = Event::GenerationProgressed {
        generation: running[rng.below(running.len())],
        tokens: rng.below(1_000) as u32,
    };
    reduce(state, now_ms, event, effects);
}
