//! The choice of a target for a request.
//!
//! Marks on requests that crash targets come first. Then an engine is found through the
//! accounts, and a plain service by the fewest requests outstanding from this host.

use std::sync::Arc;

use super::requests::apply;
use super::{accounts, crash_marks};
use crate::accounts::{Event as AccountEvent, Limits};
use crate::crash_marks::{Event as MarkEvent, Fingerprint, Treatment};
use crate::effect::Effect;
use crate::homes::{HomeKey, ZoneRole};
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};
use crate::requests::{self, Arrival, generation_of};
use crate::settings::{InForce, Target, TargetClass};
use crate::state::State;
use crate::targets::Admission;

/// Time to come back when no target can be reached.
pub(super) const RETRY_AFTER_NO_TARGET_MS: u64 = 2_000;

/// Finds a target, by way of the marks on requests that crash targets.
pub(super) fn reserve(
    state: &mut State,
    now_ms: u64,
    arrival: &Arc<Arrival>,
    attempt: u32,
    excluded: Vec<TargetName>,
    effects: &mut Vec<Effect>,
) {
    let fingerprint = fingerprint_of(arrival);
    match state.crash_marks.treatment(now_ms, &fingerprint) {
        Treatment::Normal => {}
        Treatment::Isolate => {
            isolate(
                state,
                now_ms,
                arrival.request,
                attempt,
                fingerprint,
                effects,
            );
            return;
        }
        Treatment::Refuse { retry_after_ms } => {
            let detail = "this content has crashed every target that ran it";
            let refusal = Refusal::not_run(Problem::CrashesTargets, detail)
                .with_retry_after_ms(retry_after_ms);
            not_granted(state, now_ms, arrival.request, refusal, effects);
            return;
        }
    }
    if arrival.class == TargetClass::Service {
        let chosen = choose(state, now_ms, arrival, &excluded, Reach::AllZones);
        grant_or_refuse(state, now_ms, arrival, chosen, effects);
        return;
    }
    if let Some(target) = due_trial(state, now_ms, arrival, &excluded) {
        grant_or_refuse(state, now_ms, arrival, Some(target), effects);
        return;
    }
    let event = AccountEvent::Arrived(account_request(arrival, attempt, excluded));
    accounts::apply(state, now_ms, event, effects);
}

fn account_request(
    arrival: &Arrival,
    attempt: u32,
    excluded: Vec<TargetName>,
) -> crate::accounts::Request {
    let values = &arrival.values;
    crate::accounts::Request {
        request: arrival.request,
        generation: generation_of(arrival.request, attempt),
        pool: values.pool.clone(),
        organisation: arrival.organisation.clone(),
        kind: arrival.kind.clone(),
        prompt_tokens: arrival.prompt_tokens,
        max_output_tokens: arrival.max_output_tokens,
        prefix_hashes: arrival.prefix_hashes.clone(),
        deadline_unix_ms: arrival.arrived_unix_ms + values.timeout_ms,
        priority: values.priority,
        weight: values.share_weight,
        limits: Limits {
            outgrow_chance_max: values.outgrow_chance_max,
            step_time_max_ms: values.step_time_max_ms,
            queue_timeout_ms: values.queue_timeout_ms,
            policy: values.routing_policy,
        },
        attempt: attempt - 1,
        retry_budget_ratio: values.retry_budget_ratio,
        excluded,
    }
}

/// Finds an engine that this host is home of and that is due for a trial.
///
/// The accounts know nothing of an engine that was taken out, so its way back leads
/// through one request that may be repeated.
fn due_trial(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    excluded: &[TargetName],
) -> Option<TargetName> {
    if !arrival.values.idempotent {
        return None;
    }
    let settings = state.settings.clone()?;
    let pool = settings.tree.pools.get(&arrival.values.pool)?;
    let due = pool.targets.iter().find(|(name, target)| {
        target.zone == state.identity.zone
            && !excluded.contains(name)
            && state.targets.peek(now_ms, name) == Admission::Trial
    });
    let (name, _) = due?;
    let key = HomeKey::Target(name.clone());
    let is_home = state.homes.is_home(&key, &state.identity.host);
    (is_home && state.targets.admit(now_ms, name) == Admission::Trial)
        .then(|| name.clone())
}

/// Which zones a target may be in.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reach {
    OwnZone,
    OtherZones,
    AllZones,
}

/// Chooses the target with the fewest requests from this host, the own zone first.
fn choose(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    excluded: &[TargetName],
    reach: Reach,
) -> Option<TargetName> {
    let settings: Arc<InForce> = state.settings.clone()?;
    let pool = settings.tree.pools.get(&arrival.values.pool)?;
    let own_zone = state.identity.zone.clone();
    let reached = |target: &Target| match reach {
        Reach::OwnZone => target.zone == own_zone,
        Reach::OtherZones => target.zone != own_zone,
        Reach::AllZones => true,
    };
    let mut candidates: Vec<(bool, u32, &TargetName)> = pool
        .targets
        .iter()
        .filter(|(name, target)| reached(target) && !excluded.contains(name))
        .map(|(name, target)| {
            let outstanding = state.outstanding.get(name).copied().unwrap_or(0);
            (target.zone != own_zone, outstanding, name)
        })
        .collect();
    candidates.sort_unstable();
    let admitted = candidates.into_iter().find(|(_, _, name)| {
        let admission = state.targets.admit(now_ms, name);
        matches!(admission, Admission::Yes | Admission::Trial)
    });
    admitted.map(|(_, _, name)| name.clone())
}

fn grant_or_refuse(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    chosen: Option<TargetName>,
    effects: &mut Vec<Effect>,
) {
    match chosen {
        Some(target) => {
            let event = requests::Event::Granted {
                request: arrival.request,
                target,
                priority: arrival.values.priority,
            };
            apply(state, now_ms, event, effects);
        }
        None => {
            let detail = format!("no target of pool {} is left", arrival.values.pool);
            let refusal = Refusal::not_run(Problem::NoTarget, detail)
                .with_retry_after_ms(RETRY_AFTER_NO_TARGET_MS);
            not_granted(state, now_ms, arrival.request, refusal, effects);
        }
    }
}

fn not_granted(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    refusal: Refusal,
    effects: &mut Vec<Effect>,
) {
    let event = requests::Event::NotGranted { request, refusal };
    apply(state, now_ms, event, effects);
}

/// Sends a request to another zone when no target of the own one serves; says whether one
/// was found.
pub(super) fn spill(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    effects: &mut Vec<Effect>,
) -> bool {
    let Some(arrival) = state.requests.arrival(request).cloned() else {
        return false;
    };
    let excluded = state.requests.excluded(request).to_vec();
    let chosen = choose(state, now_ms, &arrival, &excluded, Reach::OtherZones);
    let found = chosen.is_some();
    if found {
        grant_or_refuse(state, now_ms, &arrival, chosen, effects);
    }
    found
}

fn isolate(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    attempt: u32,
    fingerprint: Fingerprint,
    effects: &mut Vec<Effect>,
) {
    let generation = generation_of(request, attempt);
    state.isolated.insert(generation, request);
    let event = MarkEvent::Isolate {
        home: isolation_home(state),
        fingerprint,
        attempt: generation,
    };
    crash_marks::apply(state, now_ms, event, effects);
}

/// Gives a request that may crash its target to the least busy one, now that its turn has
/// come.
pub(super) fn run_isolated(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    generation: GenerationId,
    effects: &mut Vec<Effect>,
) {
    let Some(arrival) = state.requests.arrival(request).cloned() else {
        end_isolation(state, now_ms, generation, effects);
        return;
    };
    let excluded = state.requests.excluded(request).to_vec();
    let chosen = choose(state, now_ms, &arrival, &excluded, Reach::OwnZone);
    if chosen.is_none() {
        end_isolation(state, now_ms, generation, effects);
    }
    grant_or_refuse(state, now_ms, &arrival, chosen, effects);
}

pub(super) fn end_isolation(
    state: &mut State,
    now_ms: u64,
    generation: GenerationId,
    effects: &mut Vec<Effect>,
) {
    if state.isolated.swap_remove(&generation).is_some() {
        let event = MarkEvent::IsolationEnded {
            home: isolation_home(state),
            attempt: generation,
        };
        crash_marks::apply(state, now_ms, event, effects);
    }
}

fn isolation_home(state: &mut State) -> HostName {
    let home = state.homes.home(&HomeKey::Role(ZoneRole::Isolation));
    home.unwrap_or_else(|| state.identity.host.clone())
}

pub(super) fn withdraw(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    effects: &mut Vec<Effect>,
) {
    let event = AccountEvent::Abandoned { request };
    accounts::apply(state, now_ms, event, effects);
    let waiting = state.isolated.iter().find(|(_, waits)| **waits == request);
    if let Some(generation) = waiting.map(|(generation, _)| *generation) {
        end_isolation(state, now_ms, generation, effects);
    }
}

/// Returns what a request is recognised by when its caller sends it again.
pub(super) fn fingerprint_of(arrival: &Arrival) -> Fingerprint {
    Fingerprint::new(&arrival.organisation, &arrival.body_sha256.0)
}
