//! Connects the claims of idempotency keys to the other modules.

use super::requests;
use crate::claims::{self, RefusalReason};
use crate::effect::Effect;
use crate::refusal::{Problem, Refusal};
use crate::requests::Event as RequestEvent;
use crate::state::State;
use crate::timeline::{Entry, RecordKind};

/// Applies an event of the claims and executes its effects.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: claims::Event,
    effects: &mut Vec<Effect>,
) {
    let mut pending = Vec::new();
    claims::reduce(&mut state.claims, now_ms, event, &mut pending);
    for effect in pending {
        execute(state, now_ms, effect, effects);
    }
}

fn execute(
    state: &mut State,
    now_ms: u64,
    effect: claims::Effect,
    effects: &mut Vec<Effect>,
) {
    if let Some(entry) = timeline_entry(&effect) {
        state.timeline.record(now_ms, entry);
    }
    match effect {
        claims::Effect::PermitDispatch { request } => {
            requests::apply(state, now_ms, RequestEvent::Claimed { request }, effects);
        }
        claims::Effect::Refuse {
            request,
            verdict,
            reason,
            retry_after_ms,
        } => {
            let refusal = Refusal {
                problem: problem_of(reason),
                verdict,
                retry_after_ms,
                detail: reason.detail().to_owned(),
            };
            let event = RequestEvent::ClaimRefused { request, refusal };
            requests::apply(state, now_ms, event, effects);
        }
        claims::Effect::Replay { request, answer } => {
            let event = RequestEvent::ClaimReplayed { request };
            requests::apply(state, now_ms, event, effects);
            effects.push(Effect::Replay { request, answer });
        }
        claims::Effect::Transact {
            transaction,
            writes,
        } => {
            effects.push(Effect::ClaimsTransact {
                transaction,
                writes,
            });
        }
        claims::Effect::Read { read, rows } => {
            effects.push(Effect::ClaimsRead { read, rows });
        }
        claims::Effect::PutObject {
            request,
            name,
            body,
        } => {
            effects.push(Effect::PutAnswer {
                request,
                name,
                body,
            });
        }
    }
}

/// Returns the timeline entry of an effect, if it has one.
fn timeline_entry(effect: &claims::Effect) -> Option<Entry> {
    match effect {
        claims::Effect::PermitDispatch { request } => {
            let entry = Entry::new(RecordKind::ClaimMade).request(*request);
            Some(entry.reason("the table has the key as this request's own"))
        }
        claims::Effect::Refuse {
            request,
            verdict,
            reason,
            ..
        } => {
            let entry = Entry::new(RecordKind::ClaimRefused).request(*request);
            let entry = entry.field("verdict", verdict.as_str());
            Some(entry.reason(reason.detail()))
        }
        claims::Effect::Replay { request, .. } => {
            let entry = Entry::new(RecordKind::AnswerReplayed).request(*request);
            Some(entry.reason("an earlier request with this key has run"))
        }
        _ => None,
    }
}

fn problem_of(reason: RefusalReason) -> Problem {
    match reason {
        RefusalReason::TableUnavailable | RefusalReason::TooManyClaims => {
            Problem::ClaimsUnavailable
        }
        RefusalReason::KeyInUse
        | RefusalReason::KeyBeingReleased
        | RefusalReason::AnswerNotKept => Problem::KeyInUse,
        RefusalReason::KeyUsedWithOtherBody | RefusalReason::KeyExpired => {
            Problem::KeyReused
        }
    }
}
