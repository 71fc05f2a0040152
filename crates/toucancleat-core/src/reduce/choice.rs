//! The choice of a target for a request.
//!
//! The crash marks of the request are checked first. Then an engine is chosen through the
//! accounts, and a plain service by the fewest outstanding requests of this host.

use std::sync::Arc;

use super::requests::apply;
use super::{accounts, crash_marks};
use crate::accounts::{Event as AccountEvent, Limits};
use crate::crash_marks::{Event as MarkEvent, Fingerprint, Treatment};
use crate::effect::Effect;
use crate::homes::{HomeKey, ZoneRole};
use crate::prelude::*;
use crate::refusal::{Problem, RETRY_AFTER_NO_TARGET_MS, Refusal};
use crate::requests::{self, Arrival, generation_of};
use crate::settings::{SettingsInForce, Target, TargetClass};
use crate::state::State;
use crate::targets::Admission;

/// Reserves a target for an attempt, or isolates or refuses the request by its crash marks.
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
            request_isolation(
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
            refuse_reservation(state, now_ms, arrival.request, refusal, effects);
            return;
        }
    }
    if arrival.class == TargetClass::Service {
        let chosen =
            choose_target(state, now_ms, arrival, &excluded, ZoneScope::AllZones);
        grant_or_refuse(state, now_ms, arrival, chosen, effects);
        return;
    }
    if let Some(target) = due_trial_target(state, now_ms, arrival, &excluded) {
        grant_or_refuse(state, now_ms, arrival, Some(target), effects);
        return;
    }
    let event =
        AccountEvent::RequestReceived(account_request(arrival, attempt, excluded));
    accounts::apply(state, now_ms, event, effects);
}

fn account_request(
    arrival: &Arrival,
    attempt: u32,
    excluded: Vec<TargetName>,
) -> crate::accounts::Request {
    let values = &arrival.values;
    crate::accounts::Request {
        id: arrival.request,
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

/// Returns an engine whose home is this host and that is due for a trial.
///
/// The accounts don't hold an engine that was made unavailable, so it becomes available again
/// by a trial with an idempotent request, outside the accounts.
fn due_trial_target(
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

/// The zones that a target may be chosen from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ZoneScope {
    OwnZone,
    OtherZones,
    AllZones,
}

/// Chooses the target with the fewest outstanding requests of this host, and prefers targets
/// of the own zone.
fn choose_target(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    excluded: &[TargetName],
    scope: ZoneScope,
) -> Option<TargetName> {
    let settings: Arc<SettingsInForce> = state.settings.clone()?;
    let pool = settings.tree.pools.get(&arrival.values.pool)?;
    let own_zone = state.identity.zone.clone();
    let is_in_scope = |target: &Target| match scope {
        ZoneScope::OwnZone => target.zone == own_zone,
        ZoneScope::OtherZones => target.zone != own_zone,
        ZoneScope::AllZones => true,
    };
    let mut candidates: Vec<(bool, u32, &TargetName)> = pool
        .targets
        .iter()
        .filter(|(name, target)| is_in_scope(target) && !excluded.contains(name))
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
            let event = requests::Event::ReservationGranted {
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
            refuse_reservation(state, now_ms, arrival.request, refusal, effects);
        }
    }
}

fn refuse_reservation(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    refusal: Refusal,
    effects: &mut Vec<Effect>,
) {
    let event = requests::Event::ReservationRefused { request, refusal };
    apply(state, now_ms, event, effects);
}

/// Chooses a target of another zone for a request when no target of the own zone serves;
/// returns true if one was found.
pub(super) fn spill_to_other_zone(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    effects: &mut Vec<Effect>,
) -> bool {
    let Some(arrival) = state.requests.arrival(request).cloned() else {
        return false;
    };
    let excluded = state.requests.excluded(request).to_vec();
    let chosen = choose_target(state, now_ms, &arrival, &excluded, ZoneScope::OtherZones);
    let is_found = chosen.is_some();
    if is_found {
        grant_or_refuse(state, now_ms, &arrival, chosen, effects);
    }
    is_found
}

fn request_isolation(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    attempt: u32,
    fingerprint: Fingerprint,
    effects: &mut Vec<Effect>,
) {
    let generation = generation_of(request, attempt);
    state.isolated.insert(generation, request);
    let event = MarkEvent::IsolationRequested {
        home: isolation_home(state),
        fingerprint,
        attempt: generation,
    };
    crash_marks::apply(state, now_ms, event, effects);
}

/// Dispatches a suspected poison request, whose turn to run in isolation has come, to the
/// least busy target of the zone.
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
    let chosen = choose_target(state, now_ms, &arrival, &excluded, ZoneScope::OwnZone);
    if chosen.is_none() {
        end_isolation(state, now_ms, generation, effects);
    }
    grant_or_refuse(state, now_ms, &arrival, chosen, effects);
}

/// Ends the isolation of an attempt, so that the next isolated one can run.
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

/// Withdraws the reservation or the isolation of a request.
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

/// Returns the fingerprint by which a repetition of the request is recognised.
pub(super) fn fingerprint_of(arrival: &Arrival) -> Fingerprint {
    Fingerprint::new(&arrival.organisation, &arrival.body_sha256.0)
}
