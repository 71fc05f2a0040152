//! Plans which run migrates to which target when targets leave.
//!
//! When a target announces that it is leaving, every host has to migrate its runs at
//! once, and each copy queues behind all others on the link of its source and on that of
//! its destination. Hosts that each selected the emptiest destination would all select
//! the same one. So each host computes the same plan for all runs from the loads that
//! hosts send anyway, and takes the part for its own runs. No further messages are
//! needed.
//!
//! Known states that differ slightly only make the plan slightly worse. See
//! docs/design/platform.md, "Runs that outlive their target".

use indexmap::IndexMap;
use toucancleat_core::prelude::*;

use crate::continuation::Continuation;
use crate::target::TargetEntry;

/// Duration of a copy between two zones, relative to one within a zone.
const OTHER_ZONE_FACTOR: f64 = 2.0;

/// Share of a destination's memory above which it counts as full, since the runs there
/// grow.
const FULL_SHARE: f64 = 0.92;

/// Cost of a full destination, in copies. Higher than any queue of copies.
const FULL_COST: f64 = 1_000.0;

/// Cost of a destination's memory in use, in copies for all of its memory. It decides
/// between links that are equally busy.
const FILL_COST: f64 = 1.0;

/// A leaving target with the runs that have to migrate.
#[derive(Clone, Debug)]
pub struct Source {
    /// The target.
    pub target: TargetName,
    /// Its zone.
    pub zone: ZoneName,
    /// The version at which its runs may continue.
    pub continuation: Continuation,
    /// The runs of each host there.
    pub runs: Vec<HostRuns>,
}

/// The runs of one host at one target.
#[derive(Clone, Debug)]
pub struct HostRuns {
    /// The host.
    pub host: HostName,
    /// Number of runs.
    pub runs: u32,
    /// Total memory of the runs, in tokens.
    pub tokens: u64,
}

/// A target that can take over runs.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The target.
    pub target: TargetName,
    /// Its entry in the host list.
    pub entry: TargetEntry,
    /// Memory in use there, in tokens.
    pub used_tokens: u64,
    /// Total memory there, in tokens.
    pub memory_tokens: u64,
}

/// Returns a destination for each run of a host, by the target that the run leaves. Runs of a
/// target have none if no destination has the version of its software.
pub fn plan(
    mut sources: Vec<Source>,
    mut destinations: Vec<Destination>,
    host: &HostName,
) -> IndexMap<TargetName, Vec<TargetName>> {
    sources.sort_by(|a, b| a.target.cmp(&b.target));
    destinations.sort_by(|a, b| a.target.cmp(&b.target));
    let mut plan: IndexMap<TargetName, Vec<TargetName>> = IndexMap::new();
    let mut source_link_free_at = vec![0.0; sources.len()];
    let mut destination_link_free_at = vec![0.0; destinations.len()];
    for (source, run) in interleave(&mut sources) {
        let zone = &sources[source].zone;
        let cost = |index: usize| {
            let destination: &Destination = &destinations[index];
            let duration = if destination.entry.zone == *zone {
                1.0
            } else {
                OTHER_ZONE_FACTOR
            };
            let start =
                f64::max(source_link_free_at[source], destination_link_free_at[index]);
            let used = destination.used_tokens.saturating_add(run.tokens);
            let fill = used as f64 / destination.memory_tokens.max(1) as f64;
            let full = if fill > FULL_SHARE { FULL_COST } else { 0.0 };
            (start + duration, start + duration + FILL_COST * fill + full)
        };
        let continuation = &sources[source].continuation;
        let permitted = (0..destinations.len())
            .filter(|index| continuation.permits(&destinations[*index].entry));
        let costs = permitted.map(|index| (index, cost(index)));
        let Some((index, (end, _))) = costs.min_by(|a, b| a.1.1.total_cmp(&b.1.1)) else {
            continue;
        };
        source_link_free_at[source] = end;
        destination_link_free_at[index] = end;
        let destination = &mut destinations[index];
        destination.used_tokens = destination.used_tokens.saturating_add(run.tokens);
        if run.host == *host {
            let target = sources[source].target.clone();
            let chosen = destinations[index].target.clone();
            plan.entry(target).or_default().push(chosen);
        }
    }
    plan
}

struct Run {
    host: HostName,
    tokens: u64,
}

/// Returns the runs of all sources in round-robin order, so that no source's copies come
/// last.
fn interleave(sources: &mut [Source]) -> Vec<(usize, Run)> {
    let mut queues: Vec<Vec<Run>> = Vec::new();
    for source in sources {
        source.runs.sort_by(|a, b| a.host.cmp(&b.host));
        let queue = source.runs.iter().flat_map(|host_runs| {
            let tokens = host_runs.tokens / u64::from(host_runs.runs.max(1));
            (0..host_runs.runs).map(move |_| Run {
                host: host_runs.host.clone(),
                tokens,
            })
        });
        queues.push(queue.rev().collect());
    }
    let mut runs = Vec::new();
    while queues.iter().any(|queue| !queue.is_empty()) {
        for (source, queue) in queues.iter_mut().enumerate() {
            if let Some(run) = queue.pop() {
                runs.push((source, run));
            }
        }
    }
    runs
}
