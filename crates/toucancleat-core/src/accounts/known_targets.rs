//! The known state of the targets at a requesting host.

use indexmap::IndexMap;

use crate::accounts::event::{LoadReport, Request, TargetSpec};
use crate::accounts::message::AccountSummary;
use crate::accounts::state::Zone;
use crate::prelude::*;
use crate::routing::{Candidate, name_hash};

/// The known state of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownTarget {
    pub(super) is_unavailable: bool,
    pub(super) outstanding: u32,
    name_hash: u64,
    used_share: f64,
    wait_ms: u64,
    reported_load: u32,
    reported_running: u32,
    reported_used_tokens: u64,
}

/// The known state of all targets, by name and by pool.
///
/// A choice visits every target of a pool, so pools hold positions and names are hashed
/// once: with 600 targets, looking each up by name took most of the time of a decision.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownTargets {
    targets: IndexMap<TargetName, KnownTarget>,
    pools: IndexMap<PoolName, Vec<usize>>,
}

impl KnownTarget {
    /// Records the summary of an account that the home has sent.
    pub(super) fn record_summary(&mut self, summary: &AccountSummary) {
        self.used_share = summary.used_share;
        self.wait_ms = summary.wait_ms;
    }

    /// Records a load report of the engine.
    pub(super) fn record_report(&mut self, report: &LoadReport) {
        self.reported_load = report.running + report.waiting;
        self.reported_running = report.running;
        self.reported_used_tokens = report.used_tokens;
    }
}

impl KnownTargets {
    /// Replaces the targets by those of the zone; the state of those that stay is kept.
    pub(super) fn set_targets<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a TargetSpec>,
    ) {
        let mut old = std::mem::take(&mut self.targets);
        self.pools.clear();
        for spec in targets {
            let mut known = old.swap_remove(&spec.name).unwrap_or_default();
            known.name_hash = name_hash(spec.name.as_str());
            let (position, _) = self.targets.insert_full(spec.name.clone(), known);
            self.pools
                .entry(spec.pool.clone())
                .or_default()
                .push(position);
        }
    }

    /// Returns the known state of a target.
    pub(super) fn get(&self, target: &TargetName) -> Option<&KnownTarget> {
        self.targets.get(target)
    }

    /// Returns the known state of a target for changes.
    pub(super) fn get_mut(&mut self, target: &TargetName) -> Option<&mut KnownTarget> {
        self.targets.get_mut(target)
    }

    /// Returns the available targets of the pool that a request may use.
    pub(super) fn available_targets(&self, request: &Request) -> Vec<Candidate<'_>> {
        let Some(pool) = self.pools.get(&request.pool) else {
            return Vec::new();
        };
        let targets = pool
            .iter()
            .filter_map(|&position| self.targets.get_index(position));
        targets
            .filter(|(name, known)| {
                !known.is_unavailable && !request.excluded.contains(name)
            })
            .map(|(name, known)| candidate(name, known))
            .collect()
    }
}

fn candidate<'a>(name: &'a TargetName, known: &KnownTarget) -> Candidate<'a> {
    Candidate {
        name,
        name_hash: known.name_hash,
        outstanding: known.outstanding,
        reported_load: known.reported_load,
        used_share: known.used_share,
        wait_ms: known.wait_ms,
    }
}

/// Returns true if a target may be used without a reply of its home.
///
/// In this case a host lacks the reservations of the others, so each plans with an equal
/// part of the memory that the last report left of a cautious share.
pub(super) fn is_safe_without_home(
    zone: &Zone,
    known: &KnownTarget,
    target: &TargetName,
    request: &Request,
    expected_tokens: f64,
    cautious_share: f64,
) -> bool {
    let Some(spec) = zone.targets.get(target) else {
        return false;
    };
    let hosts = zone.hosts.len().max(1) as f64;
    let used_tokens = known.reported_used_tokens as f64;
    let free_tokens = (spec.memory_tokens as f64 * cautious_share - used_tokens) / hosts;
    let batch_max = f64::from(spec.max_batch) * cautious_share / hosts;
    let needed_tokens = f64::from(request.prompt_tokens) + expected_tokens;
    // A single request at an idle target is always safe.
    let is_idle = known.reported_running == 0 && known.outstanding == 0;
    is_idle
        || (needed_tokens <= free_tokens && f64::from(known.outstanding + 1) <= batch_max)
}
