//! What a requesting host knows of the targets from afar.

use indexmap::IndexMap;

use crate::accounts::event::{LoadReport, Request};
use crate::accounts::message::Load;
use crate::accounts::state::Zone;
use crate::prelude::*;
use crate::routing::Candidate;

/// One target from afar.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub(super) closed: bool,
    pub(super) outstanding: u32,
    pub(super) load: Option<Load>,
    pub(super) report: Option<LoadReport>,
}

/// Views of all targets by name.
pub(super) type Views = IndexMap<TargetName, View>;

/// Returns the targets that may serve a request.
pub(super) fn open_targets<'a>(
    zone: &'a Zone,
    views: &Views,
    request: &Request,
) -> Vec<Candidate<'a>> {
    let unseen = View::default();
    let mut targets = Vec::with_capacity(zone.targets.len());
    for (name, spec) in &zone.targets {
        let view = views.get(name).unwrap_or(&unseen);
        if spec.pool == request.pool && !view.closed && !request.excluded.contains(name) {
            targets.push(candidate(name, view));
        }
    }
    targets
}

fn candidate<'a>(name: &'a TargetName, view: &View) -> Candidate<'a> {
    let report = view.report.as_ref();
    let load = view.load.as_ref();
    Candidate {
        name,
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
