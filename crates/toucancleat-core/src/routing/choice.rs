//! The order in which targets are tried.

use crate::prelude::*;
use crate::rng::Rng;
use crate::routing::prefix::rendezvous_score;
use crate::settings::RoutingPolicy;

/// A target as the choosing host sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The target.
    pub name: &'a TargetName,
    /// Hash of its name, see [`super::name_hash`].
    pub name_hash: u64,
    /// Requests of this host that run there.
    pub outstanding: u32,
    /// Load by the last report: sequences in the engine, running or waiting.
    pub reported_load: u32,
    /// Share of memory in use by the last word of its home.
    pub used_share: f64,
    /// Wait by the last word of its home.
    pub wait_ms: u64,
}

/// What a choice depends on besides the targets.
#[derive(Debug)]
pub struct Choice<'a> {
    /// The rule.
    pub policy: RoutingPolicy,
    /// The prompt's affinity, see [`super::affinity_key`].
    pub affinity_key: Option<u64>,
    /// Turn of the pool, which each request advances by one.
    pub turn: &'a mut u64,
    /// Rng choices.
    pub random: &'a mut Rng,
    /// Most targets to return.
    pub candidates_max: usize,
}

/// Wait at which affinity gives way to the less loaded of two.
const AFFINITY_WAIT_MAX_MS: u64 = 50;

/// Use of memory at which affinity gives way to the less loaded of two.
const AFFINITY_USED_SHARE_MAX: f64 = 0.75;

/// Returns targets in the order in which they should be tried.
///
/// The baselines return one target. With homes' accounts the first is the one that the
/// prompt's prefix hashes to, where its cache may hold the prefix; the others are the
/// lesser loaded of random pairs, and the homes' answers decide between them.
pub fn candidates(targets: &[Candidate<'_>], choice: Choice<'_>) -> Vec<TargetName> {
    if targets.is_empty() {
        return Vec::new();
    }
    let one = match choice.policy {
        RoutingPolicy::RoundRobin => round_robin(targets, choice.turn),
        RoutingPolicy::LeastOutstanding => least_outstanding(targets, choice.random),
        RoutingPolicy::TwoChoices => {
            lesser_of_two(targets, choice.random, |c| f64::from(c.reported_load))
        }
        RoutingPolicy::HomeAccounts | RoutingPolicy::ReserveMaximum => {
            return by_accounts(targets, choice);
        }
    };
    vec![targets[one].name.clone()]
}

fn round_robin(targets: &[Candidate<'_>], turn: &mut u64) -> usize {
    let index = (*turn % targets.len() as u64) as usize;
    *turn += 1;
    index
}

fn least_outstanding(targets: &[Candidate<'_>], random: &mut Rng) -> usize {
    // Ties are broken at random, or every idle host would pick the same target.
    let start = random.below(targets.len());
    let indices = (0..targets.len()).map(|i| (i + start) % targets.len());
    indices
        .min_by_key(|&i| targets[i].outstanding)
        .unwrap_or(start)
}

fn lesser_of_two(
    targets: &[Candidate<'_>],
    random: &mut Rng,
    load: impl Fn(&Candidate<'_>) -> f64,
) -> usize {
    let first = random.below(targets.len());
    if targets.len() == 1 {
        return first;
    }
    let second = (first + 1 + random.below(targets.len() - 1)) % targets.len();
    if load(&targets[second]) < load(&targets[first]) {
        second
    } else {
        first
    }
}

fn by_accounts(targets: &[Candidate<'_>], choice: Choice<'_>) -> Vec<TargetName> {
    let mut order: Vec<usize> = Vec::with_capacity(choice.candidates_max);
    if let Some(index) = choice.affinity_key.map(|key| nearest(targets, key)) {
        let target = &targets[index];
        let crowded = target.wait_ms > AFFINITY_WAIT_MAX_MS
            || target.used_share > AFFINITY_USED_SHARE_MAX;
        if !crowded {
            order.push(index);
        }
    }
    let wanted = choice.candidates_max.min(targets.len());
    // Each draw may repeat a target, so the number of draws is bounded.
    for _ in 0..4 * wanted {
        if order.len() >= wanted {
            break;
        }
        let index = lesser_of_two(targets, choice.random, pressure);
        if !order.contains(&index) {
            order.push(index);
        }
    }
    order
        .iter()
        .map(|&index| targets[index].name.clone())
        .collect()
}

fn nearest(targets: &[Candidate<'_>], key: u64) -> usize {
    let scores = targets.iter().map(|c| rendezvous_score(key, c.name_hash));
    let best = scores.enumerate().max_by_key(|&(_, score)| score);
    best.map_or(0, |(index, _)| index)
}

fn pressure(candidate: &Candidate<'_>) -> f64 {
    candidate.wait_ms as f64 + candidate.used_share
}
