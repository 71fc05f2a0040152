//! At-most-once claims of idempotency keys, stored in the platform's table.
//!
//! Before an entry host sends the first byte of a request that may run at most once, it
//! writes one row on the condition that the row doesn't exist. Such a row is never
//! released by a timeout, as its owner may be paused and resume at any time. See
//! docs/design/claims.md.

mod claim;
mod message;
mod row;
mod state;
mod table;

pub use self::message::{
    Answer, ClaimRequest, ConditionalWrite, ConflictRow, Effect, Event, RefusalReason,
    RequestOutcome, StoredRow, TransactionOutcome,
};
pub use self::row::{
    BodyHash, ClaimToken, Row, RowState, StoredAnswer, StoredBody, TABLE,
};
pub use self::state::{Config, State};

use self::claim::Intent;
use crate::prelude::*;

/// Applies one event.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Begin(claim_request) => state.begin(now_ms, claim_request, effects),
        Event::TransactionReply {
            transaction,
            outcome,
        } => {
            table::handle_transaction_reply(state, now_ms, transaction, outcome, effects);
        }
        Event::ReadReply { read, rows } => {
            table::handle_read_reply(state, now_ms, read, rows, effects);
        }
        Event::Dispatched { request } => {
            if let Some(claim) = state.claims.get_mut(&request) {
                claim.is_dispatched = true;
            }
        }
        Event::Finished { request, outcome } => {
            handle_finished(state, request, outcome, effects);
        }
        Event::ObjectStored { request, stored } => {
            handle_object_stored(state, now_ms, request, stored);
        }
        Event::Abandon { request } => abandon(state, request),
        Event::Tick => tick(state, now_ms, effects),
    }
    table::send_batches(state, now_ms, effects);
}

fn handle_finished(
    state: &mut State,
    request: RequestId,
    outcome: RequestOutcome,
    effects: &mut Vec<Effect>,
) {
    let config = state.config.clone();
    let Some(claim) = state.claims.get_mut(&request) else {
        return;
    };
    if claim.intent != Intent::Hold {
        return;
    }
    match outcome {
        RequestOutcome::NotRun => state.release(request),
        RequestOutcome::MayHaveRun => state.remove(request),
        RequestOutcome::Ran(answer) => {
            claim.store_answer(answer, config.inline_answer_max_bytes);
            let has_unstored_body = claim.unstored_body.is_some();
            if has_unstored_body && state.unstored_bytes() > config.unstored_max_bytes {
                state.discard_answer(request);
            }
            state.put_object(request, effects);
            state.queue_if_ready(request);
        }
    }
}

fn handle_object_stored(
    state: &mut State,
    now_ms: u64,
    request: RequestId,
    stored: bool,
) {
    let retry_at_ms = now_ms + state.config.retry_ms;
    let Some(claim) = state.claims.get_mut(&request) else {
        return;
    };
    if stored {
        claim.unstored_body = None;
        state.queue_if_ready(request);
    } else {
        claim.wait_until(retry_at_ms);
    }
}

/// Releases the claim of a request that was abandoned.
///
/// N.B. After the dispatch only a target's proof that the request didn't run may release
/// the claim, never a disconnection of the caller.
fn abandon(state: &mut State, request: RequestId) {
    let Some(claim) = state.claims.get(&request) else {
        return;
    };
    match claim.intent {
        Intent::Hold if claim.is_dispatched => state.remove(request),
        Intent::Claim | Intent::Hold => state.release(request),
        Intent::Release | Intent::Finish => {}
    }
}

fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    for request in state.overdue_requests(now_ms) {
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
