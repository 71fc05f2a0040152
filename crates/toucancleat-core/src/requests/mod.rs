//! The life cycle of a request: permit, claim, reservation, attempts, end.
//!
//! The invariant of this reducer: another attempt is made only if
//! [`Verdict::permits_retry`] allows it and no part of the answer has reached the caller.
//! See docs/DESIGN.md, "The life of a request".

mod arrival;
mod event;
mod outcome;

use std::collections::BTreeSet;
use std::sync::Arc;

use indexmap::IndexMap;

pub use self::arrival::Arrival;
pub use self::event::{Effect, Event};
pub use self::outcome::{InterruptionCause, Outcome};
use crate::claims::{Answer, RequestOutcome};
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};
use crate::rng::mix64;

/// Retry delay given to callers whose request ended without an answer.
const RETRY_AFTER_FAILURE_MS: u64 = 1_000;

/// The requests in progress at this entry host.
#[derive(Debug, Default)]
pub struct Requests {
    active: IndexMap<RequestId, Request>,
    /// Requests by the time at which they are refused if none of their attempts is running.
    dispatch_deadlines: BTreeSet<(u64, RequestId)>,
}

#[derive(Debug)]
struct Request {
    arrival: Arc<Arrival>,
    arrived_ms: u64,
    stage: Stage,
    /// Number of attempts dispatched so far.
    attempts: u32,
    excluded: Vec<TargetName>,
    /// The highest verdict of the attempts so far.
    verdict: Verdict,
    has_claim: bool,
    /// Whether the request holds a permit of its organisation's limit.
    has_permit: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    AwaitingPermit,
    Claiming,
    Reserving,
    Running { target: TargetName },
}

impl Requests {
    /// Returns the number of requests in progress.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Returns true if no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Returns the arrival of a request in progress.
    pub fn arrival(&self, request: RequestId) -> Option<&Arc<Arrival>> {
        self.active.get(&request).map(|found| &found.arrival)
    }

    /// Returns the targets that a request has tried.
    pub fn excluded(&self, request: RequestId) -> &[TargetName] {
        let found = self.active.get(&request);
        found.map_or(&[], |found| found.excluded.as_slice())
    }

    /// Removes a request and releases its permit.
    fn remove(
        &mut self,
        request: RequestId,
        effects: &mut Vec<Effect>,
    ) -> Option<Request> {
        let removed = self.active.swap_remove(&request)?;
        let key = (removed.dispatch_deadline_ms(), request);
        self.dispatch_deadlines.remove(&key);
        if removed.has_permit {
            let organisation = removed.arrival.organisation.clone();
            effects.push(Effect::ReleasePermit { organisation });
        }
        Some(removed)
    }
}

impl Request {
    fn dispatch_deadline_ms(&self) -> u64 {
        self.arrived_ms + self.arrival.values.first_token_timeout_ms
    }

    fn deadline_ms(&self) -> u64 {
        self.arrived_ms + self.arrival.values.timeout_ms
    }

    /// Settles the claim of a request that ended without an answer.
    fn settle_claim(&self, request: RequestId, effects: &mut Vec<Effect>) {
        if !self.has_claim {
            return;
        }
        let outcome = match self.verdict {
            Verdict::NotRun => RequestOutcome::NotRun,
            _ => RequestOutcome::MayHaveRun,
        };
        effects.push(Effect::SettleClaim {
            request,
            is_dispatched: self.attempts > 0,
            outcome,
        });
    }

    /// Returns true if another attempt is permitted: no part of the answer was delivered, the
    /// cause isn't final, attempts and time remain, and the request can't run twice unless it
    /// is idempotent.
    ///
    /// N.B. `retries_max` bounds the attempts of one request. The retry budget, which keeps
    /// retries from amplifying an overload, is counted where targets are chosen.
    fn can_retry(&self, now_ms: u64, outcome: &Outcome) -> bool {
        let has_delivered = matches!(
            outcome,
            Outcome::Interrupted { delivered_tokens, .. } if *delivered_tokens > 0
        );
        let is_final_cause = matches!(
            outcome,
            Outcome::Interrupted {
                cause: InterruptionCause::TimedOut | InterruptionCause::AnswerTooLarge,
                ..
            }
        );
        !has_delivered
            && !is_final_cause
            && self.attempts <= self.arrival.values.retries_max
            && now_ms < self.dispatch_deadline_ms()
            && outcome
                .verdict()
                .permits_retry(self.arrival.values.idempotent)
    }
}

/// Returns the generation of an attempt.
///
/// Request ids are random, so the generation ids of two requests can't collide. The upper
/// halves of the ids of one request's attempts differ throughout, so that a truncated id in
/// a log still identifies the attempt.
pub fn generation_of(request: RequestId, attempt: u32) -> GenerationId {
    let high = (request.0 >> 64) as u64;
    let low = request.0 as u64;
    let attempt_high = mix64(high ^ u64::from(attempt));
    GenerationId((u128::from(attempt_high) << 64) | u128::from(low))
}

/// Applies one event.
pub fn reduce(
    state: &mut Requests,
    now_ms: u64,
    event: Event,
    effects: &mut Vec<Effect>,
) {
    match event {
        Event::Arrived(arrival) => handle_arrival(state, now_ms, arrival, effects),
        Event::Claimed { request } => handle_claim(state, request, effects),
        Event::PermitGranted { request } => handle_permit(state, request, effects),
        Event::PermitRefused { request, refusal }
        | Event::ClaimRefused { request, refusal } => {
            if state.remove(request, effects).is_some() {
                effects.push(Effect::Refuse { request, refusal });
            }
        }
        Event::ClaimReplayed { request } => {
            state.remove(request, effects);
        }
        Event::ReservationGranted {
            request,
            target,
            priority,
        } => {
            handle_reservation(state, request, target, priority, effects);
        }
        Event::ReservationRefused { request, refusal } => {
            handle_reservation_refusal(state, request, refusal, effects);
        }
        Event::AttemptEnded {
            request,
            attempt,
            outcome,
        } => {
            handle_attempt_end(state, now_ms, request, attempt, outcome, effects);
        }
        Event::CallerDisconnected { request } => {
            handle_caller_disconnected(state, request, effects)
        }
        Event::Tick => refuse_overdue(state, now_ms, effects),
    }
}

fn handle_arrival(
    state: &mut Requests,
    now_ms: u64,
    arrival: Arc<Arrival>,
    effects: &mut Vec<Effect>,
) {
    let request = Request {
        arrival: arrival.clone(),
        arrived_ms: now_ms,
        stage: Stage::AwaitingPermit,
        attempts: 0,
        excluded: Vec::new(),
        verdict: Verdict::NotRun,
        has_claim: false,
        has_permit: false,
    };
    let id = arrival.request;
    state
        .dispatch_deadlines
        .insert((request.dispatch_deadline_ms(), id));
    state.active.insert(id, request);
    effects.push(Effect::AcquirePermit { arrival });
}

fn handle_permit(state: &mut Requests, request: RequestId, effects: &mut Vec<Effect>) {
    let Some(found) = state.active.get_mut(&request) else {
        return;
    };
    if found.stage != Stage::AwaitingPermit {
        return;
    }
    found.has_permit = true;
    let arrival = found.arrival.clone();
    if arrival.needs_claim() {
        found.stage = Stage::Claiming;
        effects.push(Effect::Claim { arrival });
        return;
    }
    found.stage = Stage::Reserving;
    effects.push(Effect::Reserve {
        arrival,
        attempt: 1,
        excluded: Vec::new(),
    });
}

fn handle_claim(state: &mut Requests, request: RequestId, effects: &mut Vec<Effect>) {
    let Some(found) = state.active.get_mut(&request) else {
        // The caller disconnected or the deadline passed while the claim was being made.
        effects.push(release_claim(request));
        return;
    };
    if found.stage != Stage::Claiming {
        return;
    }
    found.has_claim = true;
    found.stage = Stage::Reserving;
    effects.push(Effect::Reserve {
        arrival: found.arrival.clone(),
        attempt: 1,
        excluded: Vec::new(),
    });
}

fn handle_reservation(
    state: &mut Requests,
    request: RequestId,
    target: TargetName,
    priority: u8,
    effects: &mut Vec<Effect>,
) {
    let Some(found) = state.active.get_mut(&request) else {
        return;
    };
    if found.stage != Stage::Reserving {
        return;
    }
    found.attempts += 1;
    found.stage = Stage::Running {
        target: target.clone(),
    };
    effects.push(Effect::Dispatch {
        arrival: found.arrival.clone(),
        target,
        attempt: found.attempts,
        priority,
        deadline_ms: found.deadline_ms(),
    });
}

fn handle_reservation_refusal(
    state: &mut Requests,
    request: RequestId,
    refusal: Refusal,
    effects: &mut Vec<Effect>,
) {
    let is_reserving = state
        .active
        .get(&request)
        .is_some_and(|found| found.stage == Stage::Reserving);
    if is_reserving {
        refuse_request(state, request, refusal, effects);
    }
}

fn handle_attempt_end(
    state: &mut Requests,
    now_ms: u64,
    request: RequestId,
    attempt: u32,
    outcome: Outcome,
    effects: &mut Vec<Effect>,
) {
    let Some(found) = state.active.get_mut(&request) else {
        return;
    };
    let Stage::Running { target } = found.stage.clone() else {
        return;
    };
    if attempt != found.attempts {
        return;
    }
    effects.push(Effect::SettleAttempt {
        arrival: found.arrival.clone(),
        target: target.clone(),
        attempt,
        outcome: outcome.clone(),
    });
    found.verdict = found.verdict.max(outcome.verdict());
    match outcome {
        Outcome::Finished { answer, .. } => {
            let has_claim = state
                .remove(request, effects)
                .is_some_and(|found| found.has_claim);
            if has_claim {
                effects.push(finish_claim(request, answer));
            }
            return;
        }
        Outcome::CallerDisconnected => {
            if let Some(found) = state.remove(request, effects) {
                found.settle_claim(request, effects);
            }
            return;
        }
        _ => {}
    }
    if found.can_retry(now_ms, &outcome) {
        found.excluded.push(target);
        found.stage = Stage::Reserving;
        effects.push(Effect::Reserve {
            arrival: found.arrival.clone(),
            attempt: found.attempts + 1,
            excluded: found.excluded.clone(),
        });
        return;
    }
    let refusal = refusal_for(&outcome);
    refuse_request(state, request, refusal, effects);
}

fn finish_claim(request: RequestId, answer: Option<Arc<Answer>>) -> Effect {
    let outcome = match answer {
        Some(answer) => RequestOutcome::Ran(answer.as_ref().clone()),
        None => RequestOutcome::MayHaveRun,
    };
    Effect::SettleClaim {
        request,
        is_dispatched: true,
        outcome,
    }
}

/// Refuses a request with the highest verdict of its attempts and settles its claim, which
/// is released if no target can have run the request.
fn refuse_request(
    state: &mut Requests,
    request: RequestId,
    refusal: Refusal,
    effects: &mut Vec<Effect>,
) {
    let Some(found) = state.remove(request, effects) else {
        return;
    };
    found.settle_claim(request, effects);
    let verdict = refusal.verdict.max(found.verdict);
    effects.push(Effect::Refuse {
        request,
        refusal: refusal.with_verdict(verdict),
    });
}

fn refusal_for(outcome: &Outcome) -> Refusal {
    match outcome {
        Outcome::NotBegun { retry_after_ms } => {
            Refusal::not_run(Problem::Crowded, "every target that was tried refused")
                .with_retry_after_ms(retry_after_ms.unwrap_or(RETRY_AFTER_FAILURE_MS))
        }
        Outcome::Interrupted {
            cause: InterruptionCause::TimedOut,
            ..
        } => Refusal::not_run(Problem::TimedOut, "the request's time ran out")
            .with_retry_after_ms(RETRY_AFTER_FAILURE_MS),
        Outcome::Interrupted { cause, .. } => Refusal::not_run(
            Problem::TargetFault,
            format!("the answer was lost: {}", cause.as_str()),
        )
        .with_retry_after_ms(RETRY_AFTER_FAILURE_MS),
        _ => Refusal::not_run(Problem::TargetFault, "the attempt ended"),
    }
}

fn handle_caller_disconnected(
    state: &mut Requests,
    request: RequestId,
    effects: &mut Vec<Effect>,
) {
    let Some(found) = state.active.get(&request) else {
        return;
    };
    if matches!(found.stage, Stage::Running { .. }) {
        // The relay detects the disconnection itself and ends the attempt.
        return;
    }
    effects.push(Effect::Withdraw { request });
    if let Some(found) = state.remove(request, effects) {
        found.settle_claim(request, effects);
    }
}

/// Releases a claim whose request was never dispatched.
fn release_claim(request: RequestId) -> Effect {
    Effect::SettleClaim {
        request,
        is_dispatched: false,
        outcome: RequestOutcome::NotRun,
    }
}

fn refuse_overdue(state: &mut Requests, now_ms: u64, effects: &mut Vec<Effect>) {
    while let Some(&(deadline_ms, request)) = state.dispatch_deadlines.first() {
        if deadline_ms > now_ms {
            return;
        }
        state.dispatch_deadlines.pop_first();
        let is_waiting = state
            .active
            .get(&request)
            .is_some_and(|found| !matches!(found.stage, Stage::Running { .. }));
        if is_waiting {
            effects.push(Effect::Withdraw { request });
            let refusal =
                Refusal::not_run(Problem::TimedOut, "no target was free in time")
                    .with_retry_after_ms(RETRY_AFTER_FAILURE_MS);
            refuse_request(state, request, refusal, effects);
        }
    }
}
