//! At-most-once claims of idempotency keys, through the platform's table.
//!
//! Before the first byte of a request that may not run twice leaves, its entry host writes
//! one row on the condition that the row doesn't exist. No clock ever frees such a row: its
//! owner may be paused and wake at any time. See docs/design/claims.md.

mod claim;
mod message;
mod row;
mod state;
mod table;

pub use self::message::{
    Answer, Begin, ConditionalWrite, ConflictRow, Effect, Event, Outcome, PresentRow,
    RefuseReason, TransactOutcome,
};
pub use self::row::{
    BodyHash, ClaimToken, Row, RowState, StoredAnswer, StoredBody, TABLE,
};
pub use self::state::{Config, State};

use self::claim::Want;
use crate::prelude::*;

/// Applies one event.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Begin(begin) => state.begin(now_ms, begin, effects),
        Event::TransactReply { transact, outcome } => {
            table::transact_reply(state, now_ms, transact, outcome, effects);
        }
        Event::ReadReply { read, rows } => {
            table::read_reply(state, now_ms, read, rows, effects);
        }
        Event::Dispatched { request } => {
            if let Some(claim) = state.claims.get_mut(&request) {
                claim.dispatched = true;
            }
        }
        Event::Finished { request, outcome } => {
            finished(state, request, outcome, effects);
        }
        Event::ObjectStored { request, stored } => {
            object_stored(state, now_ms, request, stored);
        }
        Event::Abandon { request } => abandon(state, request),
        Event::Tick => tick(state, now_ms, effects),
    }
    table::send_batches(state, now_ms, effects);
}

fn finished(
    state: &mut State,
    request: RequestId,
    outcome: Outcome,
    effects: &mut Vec<Effect>,
) {
    let config = state.config.clone();
    let Some(claim) = state.claims.get_mut(&request) else {
        return;
    };
    if claim.want != Want::Hold {
        return;
    }
    match outcome {
        Outcome::NotRun => state.release(request),
        Outcome::MayHaveRun => state.forget(request),
        Outcome::Ran(answer) => {
            claim.keep_answer(answer, config.inline_answer_max_bytes);
            let unstored = claim.object_body.is_some();
            if unstored && state.unstored_bytes() > config.unstored_max_bytes {
                state.drop_answer(request);
            }
            state.put_object(request, effects);
            state.queue_if_ready(request);
        }
    }
}

fn object_stored(state: &mut State, now_ms: u64, request: RequestId, stored: bool) {
    let retry_at_ms = now_ms + state.config.retry_ms;
    let Some(claim) = state.claims.get_mut(&request) else {
        return;
    };
    if stored {
        claim.object_body = None;
        state.queue_if_ready(request);
    } else {
        claim.wait_until(retry_at_ms);
    }
}

/// Releases a claim whose request was given up.
///
/// N.B. After the dispatch only a target's proof may release, never the caller's absence.
fn abandon(state: &mut State, request: RequestId) {
    let Some(claim) = state.claims.get(&request) else {
        return;
    };
    match claim.want {
        Want::Hold if claim.dispatched => state.forget(request),
        Want::Claim | Want::Hold => state.release(request),
        Want::Release | Want::Finish => {}
    }
}

fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    for request in state.overdue(now_ms) {
        state.refuse_unclaimed(request, None, effects);
    }
    for request in state.retries_due(now_ms) {
        let Some(claim) = state.claims.get_mut(&request) else {
            continue;
        };
        claim.stop_waiting();
        claim.put_object(effects);
        state.queue_if_ready(request);
    }
}
