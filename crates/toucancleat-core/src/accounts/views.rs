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
    name_hash: u64,
    used_share: f64,
    wait_ms: u64,
    reported_load: u32,
    reported_running: u32,
    reported_used_tokens: u64,
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

impl View {
    /// Notes what the home told of its account.
    pub(super) fn note_load(&mut self, load: &Load) {
        self.used_share = load.used_share;
        self.wait_ms = load.wait_ms;
    }

    /// Notes an engine's load report.
    pub(super) fn note_report(&mut self, report: &LoadReport) {
        self.reported_load = report.running + report.waiting;
        self.reported_running = report.running;
        self.reported_used_tokens = report.used_tokens;
    }
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
    Candidate {
        name,
        name_hash: view.name_hash,
        outstanding: view.outstanding,
        reported_load: view.reported_load,
        used_share: view.used_share,
        wait_ms: view.wait_ms,
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
    let used_tokens = view.reported_used_tokens as f64;
    let room = (spec.memory_tokens as f64 * caution_share - used_tokens) / hosts;
    let own_batch = f64::from(spec.max_batch) * caution_share / hosts;
    let needed = f64::from(request.prompt_tokens) + expected_tokens;
    // One request at an idle target is always safe.
    let idle = view.reported_running == 0 && view.outstanding == 0;
    idle || (needed <= room && f64::from(view.outstanding + 1) <= own_batch)
}
