//! The life of a request: claim, reservation, attempts, end.
//!
//! This reducer keeps the rule that decides everything else: another attempt is made only
//! where [`Verdict::permits_retry`] allows it and nothing of the answer has reached the
//! caller. See docs/DESIGN.md, "The life of a request".

mod arrival;
mod outcome;

use std::collections::BTreeSet;
use std::sync::Arc;

use indexmap::IndexMap;

pub use self::arrival::Arrival;
pub use self::outcome::{LossCause, Outcome};
use crate::claims::{Answer, Outcome as ClaimOutcome};
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};
use crate::rng::mix64;

/// Time to come back for a request that ran out of attempts.
const RETRY_AFTER_LOST_MS: u64 = 1_000;

/// The requests in progress at this entry host.
#[derive(Debug, Default)]
pub struct Requests {
    active: IndexMap<RequestId, Request>,
    /// Requests that no target has been given yet, by the time at which they are refused.
    deadlines: BTreeSet<(u64, RequestId)>,
}

#[derive(Debug)]
struct Request {
    arrival: Arc<Arrival>,
    arrived_ms: u64,
    stage: Stage,
    /// Attempts dispatched so far.
    attempts: u32,
    excluded: Vec<TargetName>,
    /// The worst that any attempt so far proves.
    verdict: Verdict,
    claimed: bool,
    /// Whether the request counts towards its organisation's limit.
    permitted: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    Asking,
    Claiming,
    Reserving,
    Running { target: TargetName },
}

/// What happened to a request.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// A request was read and authorised.
    Arrived(Arc<Arrival>),
    /// The organisation's limit has room for the request.
    Permitted {
        /// The request.
        request: RequestId,
    },
    /// The organisation has reached its limit.
    NotPermitted {
        /// The request.
        request: RequestId,
        /// What the caller is told.
        refusal: Refusal,
    },
    /// The claim stands: the request may be given to a target.
    Claimed {
        /// The request.
        request: RequestId,
    },
    /// The claim was refused.
    ClaimRefused {
        /// The request.
        request: RequestId,
        /// What the caller is told.
        refusal: Refusal,
    },
    /// The claim belongs to a request that ran before, whose answer the caller is given.
    ClaimReplayed {
        /// The request.
        request: RequestId,
    },
    /// A target has room for the request.
    Granted {
        /// The request.
        request: RequestId,
        /// The target.
        target: TargetName,
        /// Priority towards the engine.
        priority: u8,
    },
    /// No target takes the request.
    NotGranted {
        /// The request.
        request: RequestId,
        /// What the caller is told, with the verdict still to be lowered by the attempts.
        refusal: Refusal,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// The caller went away before an attempt began.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// Time passed.
    Tick,
}

/// What is to be done for a request.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Effect {
    /// Ask whether the organisation's limit has room.
    AskPermission {
        /// The request.
        arrival: Arc<Arrival>,
    },
    /// Give back the place that a request had within its organisation's limit.
    ReturnPermission {
        /// The organisation.
        organisation: OrganisationName,
    },
    /// Claim the request's key in the platform's table.
    Claim {
        /// The request.
        arrival: Arc<Arrival>,
    },
    /// Tell the claim how its request ended.
    SettleClaim {
        /// The request.
        request: RequestId,
        /// Whether a target was ever given the request.
        dispatched: bool,
        /// How it ended.
        outcome: ClaimOutcome,
    },
    /// Find a target.
    Reserve {
        /// The request.
        arrival: Arc<Arrival>,
        /// Number of the attempt, from 1; the retry budget counts those after the first.
        attempt: u32,
        /// Targets that an earlier attempt has tried.
        excluded: Vec<TargetName>,
    },
    /// Stop looking for a target.
    Withdraw {
        /// The request.
        request: RequestId,
    },
    /// Give the request to a target.
    Dispatch {
        /// The request.
        arrival: Arc<Arrival>,
        /// The target.
        target: TargetName,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Priority towards the engine.
        priority: u8,
        /// When the answer must be whole.
        deadline_ms: u64,
    },
    /// Tell the accounts how the attempt at a target ended.
    Settle {
        /// The request.
        arrival: Arc<Arrival>,
        /// The target.
        target: TargetName,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// Refuse the request, or end its stream where the answer has begun.
    Refuse {
        /// The request.
        request: RequestId,
        /// What the caller is told.
        refusal: Refusal,
    },
}

impl Requests {
    /// Returns how many requests are in progress.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Says whether no request is in progress.
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

    /// Forgets a request and gives its place within the limit back.
    fn remove(
        &mut self,
        request: RequestId,
        effects: &mut Vec<Effect>,
    ) -> Option<Request> {
        let removed = self.active.swap_remove(&request)?;
        let key = (removed.dispatch_deadline_ms(), request);
        self.deadlines.remove(&key);
        if removed.permitted {
            let organisation = removed.arrival.organisation.clone();
            effects.push(Effect::ReturnPermission { organisation });
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

    /// Tells the claim that the request ended without an answer.
    fn settle_claim(&self, request: RequestId, effects: &mut Vec<Effect>) {
        if !self.claimed {
            return;
        }
        let outcome = match self.verdict {
            Verdict::NotRun => ClaimOutcome::NotRun,
            _ => ClaimOutcome::MayHaveRun,
        };
        effects.push(Effect::SettleClaim {
            request,
            dispatched: self.attempts > 0,
            outcome,
        });
    }

    /// Says whether another attempt keeps every promise.
    ///
    /// N.B. `retries_max` bounds one request; the budget that keeps retries from
    /// amplifying a brown-out is counted where targets are chosen.
    fn may_retry(&self, now_ms: u64, outcome: &Outcome) -> bool {
        let delivered = matches!(
            outcome,
            Outcome::Lost { delivered_tokens, .. } if *delivered_tokens > 0
        );
        let final_cause = matches!(
            outcome,
            Outcome::Lost {
                cause: LossCause::TimedOut | LossCause::AnswerTooLarge,
                ..
            }
        );
        !delivered
            && !final_cause
            && self.attempts <= self.arrival.values.retries_max
            && now_ms < self.dispatch_deadline_ms()
            && outcome
                .verdict()
                .permits_retry(self.arrival.values.idempotent)
    }
}

/// Returns the generation of an attempt.
///
/// Request ids are random, so that the generations of two requests can't meet; those of
/// one request differ in every part, so that a cut-off id in a log still tells them apart.
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
        Event::Arrived(arrival) => arrive(state, now_ms, arrival, effects),
        Event::Claimed { request } => claimed(state, request, effects),
        Event::Permitted { request } => permitted(state, request, effects),
        Event::NotPermitted { request, refusal }
        | Event::ClaimRefused { request, refusal } => {
            if state.remove(request, effects).is_some() {
                effects.push(Effect::Refuse { request, refusal });
            }
        }
        Event::ClaimReplayed { request } => {
            state.remove(request, effects);
        }
        Event::Granted {
            request,
            target,
            priority,
        } => {
            granted(state, request, target, priority, effects);
        }
        Event::NotGranted { request, refusal } => {
            not_granted(state, request, refusal, effects);
        }
        Event::AttemptEnded {
            request,
            attempt,
            outcome,
        } => {
            attempt_ended(state, now_ms, request, attempt, outcome, effects);
        }
        Event::CallerGone { request } => caller_gone(state, request, effects),
        Event::Tick => refuse_overdue(state, now_ms, effects),
    }
}

fn arrive(
    state: &mut Requests,
    now_ms: u64,
    arrival: Arc<Arrival>,
    effects: &mut Vec<Effect>,
) {
    let request = Request {
        arrival: arrival.clone(),
        arrived_ms: now_ms,
        stage: Stage::Asking,
        attempts: 0,
        excluded: Vec::new(),
        verdict: Verdict::NotRun,
        claimed: false,
        permitted: false,
    };
    let id = arrival.request;
    state.deadlines.insert((request.dispatch_deadline_ms(), id));
    state.active.insert(id, request);
    effects.push(Effect::AskPermission { arrival });
}

fn permitted(state: &mut Requests, request: RequestId, effects: &mut Vec<Effect>) {
    let Some(found) = state.active.get_mut(&request) else {
        return;
    };
    if found.stage != Stage::Asking {
        return;
    }
    found.permitted = true;
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

fn claimed(state: &mut Requests, request: RequestId, effects: &mut Vec<Effect>) {
    let Some(found) = state.active.get_mut(&request) else {
        // The caller left or the deadline passed while the claim was on its way.
        effects.push(abandon(request));
        return;
    };
    if found.stage != Stage::Claiming {
        return;
    }
    found.claimed = true;
    found.stage = Stage::Reserving;
    effects.push(Effect::Reserve {
        arrival: found.arrival.clone(),
        attempt: 1,
        excluded: Vec::new(),
    });
}

fn granted(
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

fn not_granted(
    state: &mut Requests,
    request: RequestId,
    refusal: Refusal,
    effects: &mut Vec<Effect>,
) {
    let reserving = state
        .active
        .get(&request)
        .is_some_and(|found| found.stage == Stage::Reserving);
    if reserving {
        give_up(state, request, refusal, effects);
    }
}

fn attempt_ended(
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
    effects.push(Effect::Settle {
        arrival: found.arrival.clone(),
        target: target.clone(),
        attempt,
        outcome: outcome.clone(),
    });
    found.verdict = found.verdict.max(outcome.verdict());
    match outcome {
        Outcome::Finished { answer, .. } => {
            let claimed = state
                .remove(request, effects)
                .is_some_and(|found| found.claimed);
            if claimed {
                effects.push(finish_claim(request, answer));
            }
            return;
        }
        Outcome::CallerGone => {
            if let Some(found) = state.remove(request, effects) {
                found.settle_claim(request, effects);
            }
            return;
        }
        _ => {}
    }
    if found.may_retry(now_ms, &outcome) {
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
    give_up(state, request, refusal, effects);
}

fn finish_claim(request: RequestId, answer: Option<Arc<Answer>>) -> Effect {
    let outcome = match answer {
        Some(answer) => ClaimOutcome::Ran(answer.as_ref().clone()),
        None => ClaimOutcome::MayHaveRun,
    };
    Effect::SettleClaim {
        request,
        dispatched: true,
        outcome,
    }
}

/// Ends a request with the verdict that its attempts prove, and gives up its claim where
/// no target can have run it.
fn give_up(
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
                .with_retry_after_ms(retry_after_ms.unwrap_or(RETRY_AFTER_LOST_MS))
        }
        Outcome::Lost {
            cause: LossCause::TimedOut,
            ..
        } => Refusal::not_run(Problem::TimedOut, "the request's time ran out")
            .with_retry_after_ms(RETRY_AFTER_LOST_MS),
        Outcome::Lost { cause, .. } => Refusal::not_run(
            Problem::TargetFault,
            format!("the answer was lost: {}", cause.as_str()),
        )
        .with_retry_after_ms(RETRY_AFTER_LOST_MS),
        _ => Refusal::not_run(Problem::TargetFault, "the attempt ended"),
    }
}

fn caller_gone(state: &mut Requests, request: RequestId, effects: &mut Vec<Effect>) {
    let Some(found) = state.active.get(&request) else {
        return;
    };
    if matches!(found.stage, Stage::Running { .. }) {
        // The relay notices by itself and ends the attempt.
        return;
    }
    effects.push(Effect::Withdraw { request });
    if let Some(found) = state.remove(request, effects) {
        found.settle_claim(request, effects);
    }
}

/// Gives up a claim whose request was never given to a target.
fn abandon(request: RequestId) -> Effect {
    Effect::SettleClaim {
        request,
        dispatched: false,
        outcome: ClaimOutcome::NotRun,
    }
}

fn refuse_overdue(state: &mut Requests, now_ms: u64, effects: &mut Vec<Effect>) {
    while let Some(&(deadline_ms, request)) = state.deadlines.first() {
        if deadline_ms > now_ms {
            return;
        }
        state.deadlines.pop_first();
        let waiting = state
            .active
            .get(&request)
            .is_some_and(|found| !matches!(found.stage, Stage::Running { .. }));
        if waiting {
            effects.push(Effect::Withdraw { request });
            let refusal =
                Refusal::not_run(Problem::TimedOut, "no target was free in time")
                    .with_retry_after_ms(RETRY_AFTER_LOST_MS);
            give_up(state, request, refusal, effects);
        }
    }
}
