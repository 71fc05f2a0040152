//! Effects of the requests in progress: claims, targets, dispatch.

use std::sync::Arc;

use super::{accounts, claims, crash_marks, limits, observations, targets};
use crate::accounts::{Event as AccountEvent, Limits, Outcome as AccountOutcome};
use crate::claims::{Begin, Event as ClaimEvent, Outcome as ClaimOutcome};
use crate::crash_marks::{Event as MarkEvent, Fingerprint, Treatment};
use crate::effect::{Dispatch, Effect};
use crate::homes::{HomeKey, ZoneRole};
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};
use crate::requests::{self, Arrival, LossCause, Outcome, generation_of};
use crate::settings::{InForce, Target, TargetClass};
use crate::state::State;
use crate::targets::{Admission, Event as TargetEvent, Outcome as TargetOutcome};
use crate::timeline::{Entry, RecordKind};

/// Time to come back when no target can be reached.
const RETRY_AFTER_NO_TARGET_MS: u64 = 2_000;

/// Applies an event of a request.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: requests::Event,
    effects: &mut Vec<Effect>,
) {
    if let requests::Event::Arrived(arrival) = &event {
        let entry = Entry::new(RecordKind::RequestAdmitted)
            .request(arrival.request)
            .organisation(&arrival.organisation)
            .field("kind", arrival.kind.as_str())
            .field("revision", arrival.revision.0);
        state.timeline.record(now_ms, entry);
    }
    let mut wanted = Vec::new();
    requests::reduce(&mut state.requests, now_ms, event, &mut wanted);
    for effect in wanted {
        carry_out(state, now_ms, effect, effects);
    }
}

fn carry_out(
    state: &mut State,
    now_ms: u64,
    effect: requests::Effect,
    effects: &mut Vec<Effect>,
) {
    match effect {
        requests::Effect::AskPermission { arrival } => {
            let organisation = arrival.organisation.clone();
            limits::ask(state, now_ms, arrival.request, organisation, effects);
        }
        requests::Effect::ReturnPermission { organisation } => {
            let event = crate::limits::Event::Finished { organisation };
            limits::apply(state, now_ms, event, effects);
        }
        requests::Effect::Claim { arrival } => claim(state, now_ms, &arrival, effects),
        requests::Effect::SettleClaim {
            request,
            dispatched,
            outcome,
        } => settle_claim(state, now_ms, request, dispatched, outcome, effects),
        requests::Effect::Reserve {
            arrival,
            attempt,
            excluded,
        } => reserve(state, now_ms, &arrival, attempt, excluded, effects),
        requests::Effect::Withdraw { request } => {
            withdraw(state, now_ms, request, effects);
        }
        requests::Effect::Dispatch {
            arrival,
            target,
            attempt,
            priority,
            deadline_ms,
        } => {
            let wanted = Dispatch {
                request: arrival.request,
                generation: generation_of(arrival.request, attempt),
                address: String::new(),
                target,
                attempt,
                priority,
                decided_ms: now_ms,
                deadline_ms,
            };
            dispatch(state, now_ms, &arrival, wanted, effects);
        }
        requests::Effect::Settle {
            arrival,
            target,
            attempt,
            outcome,
        } => settle(state, now_ms, &arrival, target, attempt, &outcome, effects),
        requests::Effect::Refuse { request, refusal } => {
            let entry = Entry::new(RecordKind::RequestRefused)
                .request(request)
                .field("problem", refusal.problem.slug())
                .field("verdict", refusal.verdict.as_str())
                .reason(&refusal.detail);
            state.timeline.record(now_ms, entry);
            effects.push(Effect::Refuse { request, refusal });
        }
    }
}

fn claim(
    state: &mut State,
    now_ms: u64,
    arrival: &Arc<Arrival>,
    effects: &mut Vec<Effect>,
) {
    let request = arrival.request;
    let Some(key) = arrival.idempotency_key.clone() else {
        let detail = format!("requests of kind {} need an Idempotency-Key", arrival.kind);
        let refusal = Refusal::not_run(Problem::KeyNeeded, detail);
        let event = requests::Event::ClaimRefused { request, refusal };
        apply(state, now_ms, event, effects);
        return;
    };
    let begin = Begin {
        request,
        organisation: arrival.organisation.clone(),
        key,
        body_sha256: arrival.body_sha256,
        now_unix_ms: arrival.arrived_unix_ms,
        expires_unix_ms: arrival.key_expires_unix_ms(),
    };
    claims::apply(state, now_ms, ClaimEvent::Begin(begin), effects);
}

fn settle_claim(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    dispatched: bool,
    outcome: ClaimOutcome,
    effects: &mut Vec<Effect>,
) {
    let event = if dispatched {
        ClaimEvent::Finished { request, outcome }
    } else {
        ClaimEvent::Abandon { request }
    };
    claims::apply(state, now_ms, event, effects);
}

/// Finds a target, by way of the marks on requests that crash targets.
fn reserve(
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

fn end_isolation(
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

fn withdraw(
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

fn dispatch(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    mut wanted: Dispatch,
    effects: &mut Vec<Effect>,
) {
    let request = arrival.request;
    let leaves = state.targets.peek(now_ms, &wanted.target) == Admission::Leaving;
    let address = address_of(state, &wanted.target).filter(|_| !leaves);
    let Some(address) = address else {
        // The target left the settings between the choice and now, or its home chose it
        // without having heard that it leaves.
        let event = requests::Event::AttemptEnded {
            request,
            attempt: wanted.attempt,
            outcome: Outcome::NotBegun {
                retry_after_ms: leaves.then_some(RETRY_AFTER_NO_TARGET_MS),
            },
        };
        apply(state, now_ms, event, effects);
        return;
    };
    wanted.address = address;
    if state.freshness.must_look(&wanted.target) {
        let target = wanted.target.clone();
        if state.freshness.hold(wanted) {
            observations::observe_now(state, now_ms, &target, effects);
        }
        return;
    }
    send(state, now_ms, arrival, wanted, effects);
}

/// Gives a request to a target that was looked at, if it answered and takes work.
pub(super) fn dispatch_held(
    state: &mut State,
    now_ms: u64,
    wanted: Dispatch,
    answered: bool,
    effects: &mut Vec<Effect>,
) {
    let request = wanted.request;
    let Some(arrival) = state.requests.arrival(request).cloned() else {
        return;
    };
    let admission = state.targets.peek(now_ms, &wanted.target);
    if answered && matches!(admission, Admission::Yes | Admission::Trial) {
        send(state, now_ms, &arrival, wanted, effects);
        return;
    }
    let event = requests::Event::AttemptEnded {
        request,
        attempt: wanted.attempt,
        outcome: Outcome::NotBegun {
            retry_after_ms: Some(RETRY_AFTER_NO_TARGET_MS),
        },
    };
    apply(state, now_ms, event, effects);
}

fn send(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    mut wanted: Dispatch,
    effects: &mut Vec<Effect>,
) {
    let request = wanted.request;
    // N.B. the claim must know before the first byte leaves.
    claims::apply(state, now_ms, ClaimEvent::Dispatched { request }, effects);
    let started = MarkEvent::Started {
        target: wanted.target.clone(),
        fingerprint: fingerprint_of(arrival),
    };
    crash_marks::apply(state, now_ms, started, effects);
    let entry = Entry::new(RecordKind::RequestDispatched)
        .request(request)
        .generation(wanted.generation)
        .organisation(&arrival.organisation)
        .target(&wanted.target)
        .field("attempt", u64::from(wanted.attempt));
    state.timeline.record(now_ms, entry);
    *state.outstanding.entry(wanted.target.clone()).or_insert(0) += 1;
    wanted.decided_ms = now_ms;
    effects.push(Effect::Dispatch(wanted));
}

fn address_of(state: &State, target: &TargetName) -> Option<String> {
    let settings = state.settings.as_ref()?;
    let (_, _, found) = settings.target(target)?;
    Some(found.address.clone())
}

/// Tells every concern how an attempt at a target ended.
fn settle(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    target: TargetName,
    attempt: u32,
    outcome: &Outcome,
    effects: &mut Vec<Effect>,
) {
    if let Some(count) = state.outstanding.get_mut(&target) {
        *count = count.saturating_sub(1);
    }
    let generation = generation_of(arrival.request, attempt);
    record_end(state, now_ms, arrival, &target, generation, outcome);
    let stopped = MarkEvent::Stopped {
        target: target.clone(),
        fingerprint: fingerprint_of(arrival),
        finished: matches!(outcome, Outcome::Finished { .. }),
    };
    crash_marks::apply(state, now_ms, stopped, effects);
    end_isolation(state, now_ms, generation, effects);
    if arrival.class == TargetClass::ModelEngine {
        let event = AccountEvent::Finished {
            generation,
            tokens: tokens_of(outcome),
            outcome: account_outcome(arrival, outcome),
        };
        accounts::apply(state, now_ms, event, effects);
    }
    if matches!(
        outcome,
        Outcome::Lost {
            cause: LossCause::Disconnected,
            ..
        }
    ) {
        observations::observe_now(state, now_ms, &target, effects);
    }
    let epoch = state.targets.epoch_of(&target);
    if let (Some(outcome), Some(epoch)) = (target_outcome(outcome), epoch) {
        let event = TargetEvent::Ended {
            target,
            epoch,
            outcome,
        };
        targets::apply(state, now_ms, event, effects);
    }
}

/// Notes how an attempt, or the rest of one, has ended.
pub(super) fn record_end(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    target: &TargetName,
    generation: GenerationId,
    outcome: &Outcome,
) {
    let (kind, reason) = match outcome {
        Outcome::Finished { .. } => (RecordKind::RequestFinished, "the answer is whole"),
        Outcome::NotBegun { .. } => (
            RecordKind::AttemptFailed,
            "the target did not begin the request",
        ),
        Outcome::Lost { cause, .. } => (RecordKind::AttemptFailed, cause.as_str()),
        Outcome::CallerGone => (RecordKind::CallerGone, "the caller has gone"),
    };
    let entry = Entry::new(kind)
        .request(arrival.request)
        .generation(generation)
        .organisation(&arrival.organisation)
        .target(target)
        .field("tokens", u64::from(tokens_of(outcome)))
        .reason(reason);
    state.timeline.record(now_ms, entry);
}

fn tokens_of(outcome: &Outcome) -> u32 {
    match outcome {
        Outcome::Finished { tokens, .. } => *tokens,
        Outcome::Lost {
            delivered_tokens, ..
        } => *delivered_tokens,
        _ => 0,
    }
}

fn account_outcome(arrival: &Arrival, outcome: &Outcome) -> AccountOutcome {
    match outcome {
        Outcome::Finished { tokens, .. } if *tokens >= arrival.max_output_tokens => {
            AccountOutcome::Truncated
        }
        Outcome::Finished { .. } => AccountOutcome::Completed,
        Outcome::NotBegun { .. } => AccountOutcome::NotRun,
        Outcome::Lost { .. } => AccountOutcome::Failed,
        Outcome::CallerGone => AccountOutcome::Cancelled,
    }
}

/// Returns what an outcome says about the target; a target's own refusal says nothing.
fn target_outcome(outcome: &Outcome) -> Option<TargetOutcome> {
    match outcome {
        Outcome::Finished { first_token_ms, .. } => Some(TargetOutcome::Answered {
            first_token_ms: *first_token_ms as f64,
        }),
        Outcome::NotBegun {
            retry_after_ms: None,
        } => Some(TargetOutcome::Failed),
        Outcome::Lost { cause, .. } => match cause {
            LossCause::Disconnected | LossCause::ProtocolViolation => {
                Some(TargetOutcome::Failed)
            }
            LossCause::Stalled => Some(TargetOutcome::Stalled),
            LossCause::TimedOut | LossCause::AnswerTooLarge => None,
        },
        Outcome::NotBegun { .. } | Outcome::CallerGone => None,
    }
}

fn fingerprint_of(arrival: &Arrival) -> Fingerprint {
    Fingerprint::new(&arrival.organisation, &arrival.body_sha256.0)
}
