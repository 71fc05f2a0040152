//! Effects of the accounts of targets.

use super::{choice, peers, requests};
use crate::accounts::{self, RefuseReason};
use crate::effect::Effect;
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};
use crate::requests::Event as RequestEvent;
use crate::state::State;

/// Applies an event of the accounts.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: accounts::Event,
    effects: &mut Vec<Effect>,
) {
    let mut wanted = Vec::new();
    accounts::reduce(&mut state.accounts, now_ms, event, &mut wanted);
    for effect in wanted {
        carry_out(state, now_ms, effect, effects);
    }
}

fn carry_out(
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
                // The caller left meanwhile, so the reservation is given back.
                let event = accounts::Event::Finished {
                    generation,
                    tokens: 0,
                    outcome: accounts::Outcome::NotRun,
                };
                apply(state, now_ms, event, effects);
                return;
            }
            let event = RequestEvent::Granted {
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
        } => refused(state, now_ms, request, reason, retry_after_ms, effects),
    }
}

/// Tries another zone where no target of the own one serves, and refuses otherwise.
fn refused(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    reason: RefuseReason,
    retry_after_ms: u64,
    effects: &mut Vec<Effect>,
) {
    let no_target = reason == RefuseReason::NoTarget;
    if no_target && choice::spill(state, now_ms, request, effects) {
        return;
    }
    let (problem, detail) = match reason {
        RefuseReason::Late => (Problem::Crowded, "the answer can't be on time"),
        RefuseReason::QueueTimeout => (Problem::Crowded, "no target had room in time"),
        RefuseReason::TooLarge => (
            Problem::TooLarge,
            "the request is larger than any target's memory",
        ),
        RefuseReason::RetryBudget => {
            (Problem::Crowded, "too many attempts are retries already")
        }
        _ => (Problem::NoTarget, "no target of the pool is in service"),
    };
    let mut refusal = Refusal::not_run(problem, detail);
    if reason != RefuseReason::TooLarge {
        refusal = refusal.with_retry_after_ms(retry_after_ms);
    }
    let event = RequestEvent::NotGranted { request, refusal };
    requests::apply(state, now_ms, event, effects);
}
