//! What a requesting host knows of the targets from afar.

use indexmap::IndexMap;

use crate::accounts::event::{LoadReport, Request, TargetSpec};
use crate::accounts::message::Load;
use crate::accounts::state::Zone;
use crate::prelude::*;
use crate::routing::{Candidate, name_hash};

/// One target from afar.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub(super) closed: bool,
    pub(super) outstanding: u32,
    pub(super) load: Option<Load>,
    pub(super) report: Option<LoadReport>,
    name_hash: u64,
}

/// Views of all targets, by name and by pool.
///
/// A choice looks at every target of a pool, so pools hold positions and names are
/// hashed once: with 600 targets, looking each up by name took most of a decision.
#[derive(Clone, Debug, Default)]
pub(super) struct Views {
    views: IndexMap<TargetName, View>,
    pools: IndexMap<PoolName, Vec<usize>>,
}

impl Views {
    /// Takes the targets of the zone in, and drops the views of others.
    pub(super) fn set_targets<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a TargetSpec>,
    ) {
        let mut before = std::mem::take(&mut self.views);
        self.pools.clear();
        for spec in targets {
            let mut view = before.swap_remove(&spec.name).unwrap_or_default();
            view.name_hash = name_hash(spec.name.as_str());
            let (position, _) = self.views.insert_full(spec.name.clone(), view);
            self.pools
                .entry(spec.pool.clone())
                .or_default()
                .push(position);
        }
    }

    /// Returns the view of a target.
    pub(super) fn get(&self, target: &TargetName) -> Option<&View> {
        self.views.get(target)
    }

    /// Returns the view of a target, to be changed.
    pub(super) fn get_mut(&mut self, target: &TargetName) -> Option<&mut View> {
        self.views.get_mut(target)
    }

    /// Returns the targets that may serve a request.
    pub(super) fn open_targets(&self, request: &Request) -> Vec<Candidate<'_>> {
        let Some(pool) = self.pools.get(&request.pool) else {
            return Vec::new();
        };
        let views = pool.iter().filter_map(|&at| self.views.get_index(at));
        views
            .filter(|(name, view)| !view.closed && !request.excluded.contains(name))
            .map(|(name, view)| candidate(name, view))
            .collect()
    }
}

fn candidate<'a>(name: &'a TargetName, view: &View) -> Candidate<'a> {
    let report = view.report.as_ref();
    let load = view.load.as_ref();
    Candidate {
        name,
        name_hash: view.name_hash,
        outstanding: view.outstanding,
        reported_load: report.map_or(0, |r| r.running + r.waiting),
        used_share: load.map_or(0.0, |l| l.used_share),
        wait_ms: load.map_or(0, |l| l.wait_ms),
    }
}

/// Says whether a target may be used without its home's word.
///
/// The hosts of a zone can't know of each other's work then, so each plans with its own
/// part of a cautious share of the memory that the last report left.
pub(super) fn is_safe_alone(
    zone: &Zone,
    view: &View,
    target: &TargetName,
    request: &Request,
    expected_tokens: f64,
    caution_share: f64,
) -> bool {
    let Some(spec) = zone.targets.get(target) else {
        return false;
    };
    let hosts = zone.hosts.len().max(1) as f64;
    let report = view.report.as_ref();
    let used_tokens = report.map_or(0.0, |r| r.used_tokens as f64);
    let room = (spec.memory_tokens as f64 * caution_share - used_tokens) / hosts;
    let own_batch = f64::from(spec.max_batch) * caution_share / hosts;
    let needed = f64::from(request.prompt_tokens) + expected_tokens;
    // One request at an idle target is always safe.
    let idle = report.is_none_or(|r| r.running == 0) && view.outstanding == 0;
    idle || (needed <= room && f64::from(view.outstanding + 1) <= own_batch)
}
