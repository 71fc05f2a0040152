//! Connects the accounts of targets to the other modules.

use super::{choice, peers, requests};
use crate::accounts::{self, RefusalReason};
use crate::effect::Effect;
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};
use crate::requests::Event as RequestEvent;
use crate::state::State;

/// Applies an event of the accounts and executes its effects.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: accounts::Event,
    effects: &mut Vec<Effect>,
) {
    let mut pending = Vec::new();
    accounts::reduce(&mut state.accounts, now_ms, event, &mut pending);
    for effect in pending {
        execute(state, now_ms, effect, effects);
    }
}

fn execute(
    state: &mut State,
    now_ms: u64,
    effect: accounts::Effect,
    effects: &mut Vec<Effect>,
) {
    match effect {
        accounts::Effect::Send { to, message } => {
            peers::send(state, now_ms, &to, message, effects);
        }
        accounts::Effect::Dispatch {
            request,
            generation,
            target,
            priority,
        } => {
            if state.requests.arrival(request).is_none() {
                // The caller disconnected meanwhile, so the reservation is released.
                let event = accounts::Event::GenerationFinished {
                    generation,
                    tokens: 0,
                    outcome: accounts::Outcome::NotRun,
                };
                apply(state, now_ms, event, effects);
                return;
            }
            let event = RequestEvent::ReservationGranted {
                request,
                target,
                priority,
            };
            requests::apply(state, now_ms, event, effects);
        }
        accounts::Effect::Refuse {
            request,
            reason,
            retry_after_ms,
        } => handle_refusal(state, now_ms, request, reason, retry_after_ms, effects),
    }
}

/// Tries another zone if no target of the own zone serves; refuses the request otherwise.
fn handle_refusal(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    reason: RefusalReason,
    retry_after_ms: u64,
    effects: &mut Vec<Effect>,
) {
    let is_no_target = reason == RefusalReason::NoTarget;
    if is_no_target && choice::spill_to_other_zone(state, now_ms, request, effects) {
        return;
    }
    let (problem, detail) = match reason {
        RefusalReason::DeadlineUnreachable => {
            (Problem::Crowded, "the answer can't be on time")
        }
        RefusalReason::QueueTimeout => (Problem::Crowded, "no target had room in time"),
        RefusalReason::TooLarge => (
            Problem::TooLarge,
            "the request is larger than any target's memory",
        ),
        RefusalReason::RetryBudget => {
            (Problem::Crowded, "too many attempts are retries already")
        }
        _ => (Problem::NoTarget, "no target of the pool is in service"),
    };
    let mut refusal = Refusal::not_run(problem, detail);
    if reason != RefusalReason::TooLarge {
        refusal = refusal.with_retry_after_ms(retry_after_ms);
    }
    let event = RequestEvent::ReservationRefused { request, refusal };
    requests::apply(state, now_ms, event, effects);
}
