//! Selects the target for a request or for a migrating run.

use toucancleat_core::prelude::*;

use crate::configuration::EngineCapabilities;
use crate::health::HealthTable;
use crate::peers::Load;
use crate::target::TargetEntry;

/// Cost of a target in another zone, as a share of a full target: zones may be
/// partitioned from each other, and traffic between them has a price.
const OTHER_ZONE_COST: f64 = 0.06;

/// The same for a stream. A stream across zones is interrupted by a partition, migrations
/// between zones take twice as long, and the loads of the own zone are known best.
const OTHER_ZONE_STREAM_COST: f64 = 0.25;

/// Cost of failed answers, for the failure rate in excess of that of the pool's best
/// target.
const FAILURE_COST: f64 = 3.0;

/// Cost of slow answers, for each multiple of the latency of the pool's fastest target
/// beyond that latency.
const SLOW_COST: f64 = 0.15;

/// Maximum cost of slow answers.
const SLOW_COST_MAX: f64 = 1.0;

/// Maximum random part of a cost, so that hosts with the same known state don't all
/// select the same target.
const JITTER_COST: f64 = 0.04;

/// Weight of the number of runs relative to their memory: each run slows down the steps
/// of the others.
const RUNS_WEIGHT: f64 = 0.2;

/// Cost of pending prompts, for as many tokens as the engine's memory holds. Prompts are
/// prefilled one after another between the decoding steps of other runs, so a prompt
/// behind two others waits for about a second, while memory that is half full delays
/// nobody.
const PREFILL_WEIGHT: f64 = 2.5;

/// Factor by which a target in slow start takes longer. A new engine is empty, so without
/// this factor all hosts would send their prompts there at once.
const SLOW_START_FACTOR: f64 = 2.0;

/// Cost of an engine without room for the request, which would wait until another run has
/// ended.
const FULL_COST: f64 = 1.5;

/// Share of an engine's memory above which it counts as full.
const FULL_SHARE: f64 = 0.95;

/// Cost of a target for a stream if all others of its software's version have left recently.
/// The stream can continue only at that version, and those that run there need its room.
const DEPARTED_VERSION_COST: f64 = 1.0;

/// A target that may be selected, with its known load.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the target.
    pub target: &'a TargetName,
    /// Its entry in the host list.
    pub entry: &'a TargetEntry,
    /// Load of all hosts there.
    pub load: Load,
    /// Whether the target has recently started and is still slow.
    pub is_in_slow_start: bool,
    /// Share of the targets of its software's version that have left recently.
    pub departed_share: f64,
}

/// The load that a request would add.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The preferred zone.
    pub zone: &'a ZoneName,
    /// Memory that the request needs, in tokens.
    pub tokens: u64,
    /// Prompt tokens that the target has yet to prefill.
    pub prefill_tokens: u64,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Capabilities of the pool's targets, if they are engines.
    pub engine: Option<&'a EngineCapabilities>,
}

/// The selected target, with its cost for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// The target.
    pub target: TargetName,
    /// Its cost. A value of 1 or more means that its memory or its slots are full.
    pub cost: f64,
}

/// Returns the candidate with the lowest cost.
///
/// Ejected targets are selected only if there is no other.
pub fn select_target<'a>(
    now_ms: u64,
    candidates: impl Iterator<Item = Candidate<'a>>,
    demand: Demand<'_>,
    health: &HealthTable,
    mut random: impl FnMut() -> f64,
) -> Option<Selection> {
    let candidates: Vec<Candidate<'a>> = candidates.collect();
    let lowest_failure_rate = candidates
        .iter()
        .map(|candidate| health.failure_rate(candidate.target))
        .fold(f64::INFINITY, f64::min);
    let lowest_latency_ms = candidates
        .iter()
        .filter_map(|candidate| health.latency_ms(candidate.target))
        .fold(f64::INFINITY, f64::min);
    let mut best: Option<(bool, f64, &TargetName)> = None;
    for candidate in &candidates {
        let target = candidate.target;
        let mut cost = occupancy_cost(candidate, demand) + JITTER_COST * random();
        if candidate.entry.zone != *demand.zone {
            cost += if demand.is_stream {
                OTHER_ZONE_STREAM_COST
            } else {
                OTHER_ZONE_COST
            };
        }
        if demand.is_stream {
            cost += DEPARTED_VERSION_COST * candidate.departed_share;
        }
        cost +=
            FAILURE_COST * (health.failure_rate(target) - lowest_failure_rate).max(0.0);
        if let Some(latency_ms) = health.latency_ms(target) {
            let ratio = latency_ms / lowest_latency_ms.max(1.0) - 1.0;
            cost += (SLOW_COST * ratio).clamp(0.0, SLOW_COST_MAX);
        }
        let is_ejected = health.is_ejected(now_ms, target);
        if best.is_none_or(|(best_is_ejected, lowest_cost, _)| {
            (is_ejected, cost) < (best_is_ejected, lowest_cost)
        }) {
            best = Some((is_ejected, cost, target));
        }
    }
    best.map(|(_, cost, target)| Selection {
        target: target.clone(),
        cost,
    })
}

fn occupancy_cost(candidate: &Candidate<'_>, demand: Demand<'_>) -> f64 {
    let slots = f64::from(candidate.entry.slots.max(1));
    let runs = f64::from(candidate.load.runs.saturating_add(1)) / slots;
    let slow_start_factor = if candidate.is_in_slow_start {
        SLOW_START_FACTOR
    } else {
        1.0
    };
    let Some(engine) = demand.engine else {
        return slow_start_factor * runs;
    };
    let memory_tokens = engine.memory_tokens.max(1) as f64;
    let fill = candidate.load.tokens.saturating_add(demand.tokens) as f64 / memory_tokens;
    let prefill_tokens = candidate
        .load
        .prefill_tokens
        .saturating_add(demand.prefill_tokens);
    let prefill = slow_start_factor * prefill_tokens as f64 / memory_tokens;
    let full = if fill > FULL_SHARE { FULL_COST } else { 0.0 };
    fill + RUNS_WEIGHT * runs + PREFILL_WEIGHT * prefill + full
}
