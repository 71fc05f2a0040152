//! Connects the requests in progress to the other modules.

use std::sync::Arc;

use super::{choice, claims, dispatch, limits, settlement};
use crate::claims::{ClaimRequest, Event as ClaimEvent, RequestOutcome};
use crate::effect::{Dispatch, Effect};
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};
use crate::requests::{self, Arrival, generation_of};
use crate::state::State;
use crate::timeline::{Entry, RecordKind};

/// Applies an event of a request and executes its effects.
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
    let mut pending = Vec::new();
    requests::reduce(&mut state.requests, now_ms, event, &mut pending);
    for effect in pending {
        execute(state, now_ms, effect, effects);
    }
}

fn execute(
    state: &mut State,
    now_ms: u64,
    effect: requests::Effect,
    effects: &mut Vec<Effect>,
) {
    match effect {
        requests::Effect::AcquirePermit { arrival } => {
            let organisation = arrival.organisation.clone();
            limits::request_permit(state, now_ms, arrival.request, organisation, effects);
        }
        requests::Effect::ReleasePermit { organisation } => {
            let event = crate::limits::Event::ReleasePermit { organisation };
            limits::apply(state, now_ms, event, effects);
        }
        requests::Effect::Claim { arrival } => {
            begin_claim(state, now_ms, &arrival, effects)
        }
        requests::Effect::SettleClaim {
            request,
            is_dispatched,
            outcome,
        } => settle_claim(state, now_ms, request, is_dispatched, outcome, effects),
        requests::Effect::Reserve {
            arrival,
            attempt,
            excluded,
        } => choice::reserve(state, now_ms, &arrival, attempt, excluded, effects),
        requests::Effect::Withdraw { request } => {
            choice::withdraw(state, now_ms, request, effects);
        }
        requests::Effect::Dispatch {
            arrival,
            target,
            attempt,
            priority,
            deadline_ms,
        } => {
            let dispatch = Dispatch {
                request: arrival.request,
                generation: generation_of(arrival.request, attempt),
                address: String::new(),
                target,
                attempt,
                priority,
                chosen_ms: now_ms,
                deadline_ms,
            };
            dispatch::dispatch(state, now_ms, &arrival, dispatch, effects);
        }
        requests::Effect::SettleAttempt {
            arrival,
            target,
            attempt,
            outcome,
        } => settlement::settle_attempt(
            state, now_ms, &arrival, target, attempt, &outcome, effects,
        ),
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

fn begin_claim(
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
    let begin = ClaimRequest {
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
    is_dispatched: bool,
    outcome: RequestOutcome,
    effects: &mut Vec<Effect>,
) {
    let event = if is_dispatched {
        ClaimEvent::Finished { request, outcome }
    } else {
        ClaimEvent::Abandon { request }
    };
    claims::apply(state, now_ms, event, effects);
}
