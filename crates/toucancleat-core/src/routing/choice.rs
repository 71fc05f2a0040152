//! The routing policies: which targets are tried for a request, in which order.

use crate::prelude::*;
use crate::rng::Rng;
use crate::routing::prefix::rendezvous_score;
use crate::settings::RoutingPolicy;

/// A target with its load as known to the choosing host.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The target.
    pub name: &'a TargetName,
    /// Hash of the target's name, see [`super::name_hash`].
    pub name_hash: u64,
    /// Number of requests of this host in progress at the target.
    pub outstanding: u32,
    /// Number of running and waiting sequences in the engine, by its last load report.
    pub reported_load: u32,
    /// Share of the target's memory in use, by the last message of its home; from 0 to 1.
    pub used_share: f64,
    /// Expected wait for capacity, by the last message of the target's home.
    pub wait_ms: u64,
}

/// The inputs of routing a request besides the targets.
#[derive(Debug)]
pub struct RoutingInputs<'a> {
    /// The routing policy.
    pub policy: RoutingPolicy,
    /// Key of the prompt's affinity, see [`super::affinity_key`].
    pub affinity_key: Option<u64>,
    /// Round-robin counter of the pool, which each request increments.
    pub round_robin_counter: &'a mut u64,
    /// Random number generator for ties and samples.
    pub rng: &'a mut Rng,
    /// Maximum number of targets to return.
    pub candidates_max: usize,
}

/// Expected wait above which the affinity target is replaced by a choice by load.
const AFFINITY_WAIT_MAX_MS: u64 = 50;

/// Share of memory in use above which the affinity target is replaced by a choice by load.
const AFFINITY_USED_SHARE_MAX: f64 = 0.75;

/// Returns targets in the order in which they should be tried.
///
/// The baseline policies return one target. The policies that use the accounts of homes
/// return the affinity target first, whose cache may hold the prompt's prefix, unless it is
/// crowded. The others are the less loaded ones of random pairs, and the replies of the
/// homes decide between them.
pub fn rank_candidates(
    targets: &[Candidate<'_>],
    inputs: RoutingInputs<'_>,
) -> Vec<TargetName> {
    if targets.is_empty() {
        return Vec::new();
    }
    let index = match inputs.policy {
        RoutingPolicy::RoundRobin => round_robin(targets, inputs.round_robin_counter),
        RoutingPolicy::LeastOutstanding => least_outstanding(targets, inputs.rng),
        RoutingPolicy::TwoChoices => {
            less_loaded_of_two(targets, inputs.rng, |c| f64::from(c.reported_load))
        }
        RoutingPolicy::HomeAccounts | RoutingPolicy::ReserveMaximum => {
            return choose_by_accounts(targets, inputs);
        }
    };
    vec![targets[index].name.clone()]
}

fn round_robin(targets: &[Candidate<'_>], round_robin_counter: &mut u64) -> usize {
    let index = (*round_robin_counter % targets.len() as u64) as usize;
    *round_robin_counter += 1;
    index
}

fn least_outstanding(targets: &[Candidate<'_>], rng: &mut Rng) -> usize {
    // Ties are broken at random, since otherwise every idle host would choose the same
    // target.
    let start = rng.below(targets.len());
    let indices = (0..targets.len()).map(|i| (i + start) % targets.len());
    indices
        .min_by_key(|&i| targets[i].outstanding)
        .unwrap_or(start)
}

fn less_loaded_of_two(
    targets: &[Candidate<'_>],
    rng: &mut Rng,
    load: impl Fn(&Candidate<'_>) -> f64,
) -> usize {
    let first = rng.below(targets.len());
    if targets.len() == 1 {
        return first;
    }
    let second = (first + 1 + rng.below(targets.len() - 1)) % targets.len();
    if load(&targets[second]) < load(&targets[first]) {
        second
    } else {
        first
    }
}

fn choose_by_accounts(
    targets: &[Candidate<'_>],
    inputs: RoutingInputs<'_>,
) -> Vec<TargetName> {
    let mut order: Vec<usize> = Vec::with_capacity(inputs.candidates_max);
    if let Some(index) = inputs.affinity_key.map(|key| affinity_target(targets, key)) {
        let target = &targets[index];
        let is_crowded = target.wait_ms > AFFINITY_WAIT_MAX_MS
            || target.used_share > AFFINITY_USED_SHARE_MAX;
        if !is_crowded {
            order.push(index);
        }
    }
    let count = inputs.candidates_max.min(targets.len());
    // A draw may return a target that is listed already, so the number of draws is bounded.
    for _ in 0..4 * count {
        if order.len() >= count {
            break;
        }
        let index = less_loaded_of_two(targets, inputs.rng, load_score);
        if !order.contains(&index) {
            order.push(index);
        }
    }
    order
        .iter()
        .map(|&index| targets[index].name.clone())
        .collect()
}

fn affinity_target(targets: &[Candidate<'_>], key: u64) -> usize {
    let scores = targets.iter().map(|c| rendezvous_score(key, c.name_hash));
    let best = scores.enumerate().max_by_key(|&(_, score)| score);
    best.map_or(0, |(index, _)| index)
}

fn load_score(candidate: &Candidate<'_>) -> f64 {
    candidate.wait_ms as f64 + candidate.used_share
}
