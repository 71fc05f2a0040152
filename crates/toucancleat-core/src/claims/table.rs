//! Batches the writes of claims into transactions and applies their outcomes.

use super::claim::{Claim, Intent, Step};
use super::message::{ConflictRow, Effect, RefusalReason, StoredRow, TransactionOutcome};
use super::row::{Row, RowState};
use super::state::{State, refuse};
use crate::prelude::*;

/// The consequence of a row's current state for a claim.
enum RowResolution {
    Permit,
    WriteAgain,
    Replay,
    Refuse(Verdict, RefusalReason),
    Remove,
}

/// Sends the queued writes in batches of up to `batch_max`.
///
/// Writes are queued while all transactions are in flight, so the rate of transactions is
/// bounded by the inverse of the table's latency and doesn't grow with the request rate.
pub(super) fn send_batches(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    while state.transactions.len() < state.config.transactions_in_flight_max {
        if state.table_unavailable_until_ms > now_ms {
            return;
        }
        let (batch, writes) = take_batch(state);
        if batch.is_empty() {
            return;
        }
        let transaction = state.allocate_number();
        state.transactions.insert(transaction, batch);
        effects.push(Effect::Transact {
            transaction,
            writes,
        });
    }
}

fn take_batch(
    state: &mut State,
) -> (Vec<(RequestId, Intent)>, Vec<super::ConditionalWrite>) {
    let mut batch = Vec::new();
    let mut writes = Vec::new();
    while batch.len() < state.config.batch_max {
        let Some(request) = state.queue.pop_front() else {
            break;
        };
        let Some(claim) = state.claims.get_mut(&request) else {
            continue;
        };
        let Some(write) = claim.write().filter(|_| claim.step == Step::Queued) else {
            continue;
        };
        claim.step = Step::InFlight;
        batch.push((request, claim.intent));
        writes.push(write);
    }
    (batch, writes)
}

pub(super) fn handle_transaction_reply(
    state: &mut State,
    now_ms: u64,
    transaction: u64,
    outcome: TransactionOutcome,
    effects: &mut Vec<Effect>,
) {
    let Some(batch) = state.transactions.swap_remove(&transaction) else {
        return;
    };
    match outcome {
        TransactionOutcome::Applied { versions } if versions.len() == batch.len() => {
            for ((request, written), version) in batch.into_iter().zip(versions) {
                handle_applied(state, request, written, version, effects);
            }
        }
        TransactionOutcome::Conflict { rows } if concerns_any(state, &batch, &rows) => {
            handle_conflict(state, &batch, rows, effects);
        }
        TransactionOutcome::Rejected { retry_after_ms } => {
            handle_not_applied(state, now_ms, &batch, retry_after_ms, effects);
        }
        TransactionOutcome::Unreachable | TransactionOutcome::Conflict { .. } => {
            let retry_after_ms = state.config.retry_after_ms;
            handle_not_applied(state, now_ms, &batch, retry_after_ms, effects);
        }
        TransactionOutcome::Unknown | TransactionOutcome::Applied { .. } => {
            read_back(state, &batch, effects);
        }
    }
}

fn handle_applied(
    state: &mut State,
    request: RequestId,
    written: Intent,
    version: u64,
    effects: &mut Vec<Effect>,
) {
    let Some(claim) = state.claims.get_mut(&request) else {
        return;
    };
    claim.version = Some(version);
    claim.step = Step::Idle;
    match (written, claim.intent) {
        (Intent::Claim, Intent::Claim) => permit(claim, effects),
        (written, intent) if written == intent => state.remove(request),
        _ => state.queue_if_ready(request),
    }
}

/// Permits the dispatch; from now on no timeout of the claim refuses the request.
fn permit(claim: &mut Claim, effects: &mut Vec<Effect>) {
    claim.intent = Intent::Hold;
    claim.step = Step::Idle;
    effects.push(Effect::PermitDispatch {
        request: claim.request,
    });
}

fn concerns_any(
    state: &State,
    batch: &[(RequestId, Intent)],
    rows: &[ConflictRow],
) -> bool {
    let is_named = |request: &RequestId| {
        let claim = state.claims.get(request);
        claim.is_some_and(|claim| rows.iter().any(|conflict| conflict.row == claim.row))
    };
    batch.iter().any(|(request, _)| is_named(request))
}

/// Resolves the claims whose rows were in conflict, and queues the others again.
fn handle_conflict(
    state: &mut State,
    batch: &[(RequestId, Intent)],
    mut rows: Vec<ConflictRow>,
    effects: &mut Vec<Effect>,
) {
    for (request, _) in batch.iter().rev() {
        let Some(claim) = state.claims.get_mut(request) else {
            continue;
        };
        claim.step = Step::Idle;
        let found = rows.iter().position(|conflict| conflict.row == claim.row);
        match found.map(|index| rows.swap_remove(index)) {
            Some(conflict) => apply_row(state, *request, conflict.current, effects),
            None => {
                claim.step = Step::Queued;
                state.queue.push_front(*request);
            }
        }
    }
}

/// Handles a transaction that wrote nothing: requests that wait for a claim are refused
/// at once, other writes are retried later.
fn handle_not_applied(
    state: &mut State,
    now_ms: u64,
    batch: &[(RequestId, Intent)],
    retry_after_ms: u64,
    effects: &mut Vec<Effect>,
) {
    for (request, _) in batch {
        if let Some(claim) = state.claims.get_mut(request) {
            claim.wait_until(now_ms + retry_after_ms);
        }
    }
    mark_table_unavailable(state, now_ms, retry_after_ms, effects);
}

/// Marks the table as unavailable and refuses every request that waits for it.
///
/// Requests in a transaction or a read wait for its reply, which may still grant the
/// claim.
fn mark_table_unavailable(
    state: &mut State,
    now_ms: u64,
    retry_after_ms: u64,
    effects: &mut Vec<Effect>,
) {
    state.table_unavailable_until_ms = now_ms + retry_after_ms;
    let is_waiting = |claim: &&Claim| {
        claim.intent == Intent::Claim
            && matches!(claim.step, Step::Queued | Step::Waiting { .. })
    };
    let waiting: Vec<_> = state
        .claims
        .values()
        .filter(is_waiting)
        .map(|claim| claim.request)
        .collect();
    for request in waiting {
        state.refuse_unclaimed(request, Some(retry_after_ms), effects);
    }
}

fn read_back(
    state: &mut State,
    batch: &[(RequestId, Intent)],
    effects: &mut Vec<Effect>,
) {
    let mut requests = Vec::new();
    let mut rows = Vec::new();
    for (request, _) in batch {
        let Some(claim) = state.claims.get_mut(request) else {
            continue;
        };
        claim.may_be_written = true;
        claim.step = Step::Reading;
        requests.push(*request);
        rows.push(claim.row.clone());
    }
    let read = state.allocate_number();
    state.reads.insert(read, requests);
    effects.push(Effect::Read { read, rows });
}

pub(super) fn handle_read_reply(
    state: &mut State,
    now_ms: u64,
    read: u64,
    rows: Option<Vec<StoredRow>>,
    effects: &mut Vec<Effect>,
) {
    let Some(requests) = state.reads.swap_remove(&read) else {
        return;
    };
    let Some(mut rows) = rows else {
        handle_read_failure(state, now_ms, &requests, effects);
        return;
    };
    for request in requests {
        let Some(claim) = state.claims.get_mut(&request) else {
            continue;
        };
        claim.step = Step::Idle;
        let found = rows.iter().position(|stored| stored.row == claim.row);
        let stored = found.map(|index| rows.swap_remove(index));
        let current = stored.map(|stored| (stored.version, stored.value));
        apply_row(state, request, current, effects);
    }
}

/// Handles a failed read.
///
/// N.B. A request whose claim may be written is refused and released, never dispatched.
fn handle_read_failure(
    state: &mut State,
    now_ms: u64,
    requests: &[RequestId],
    effects: &mut Vec<Effect>,
) {
    let retry_at_ms = now_ms + state.config.retry_ms;
    for request in requests {
        if let Some(claim) = state.claims.get_mut(request) {
            claim.wait_until(retry_at_ms);
        }
    }
    let retry_after_ms = state.config.retry_after_ms;
    mark_table_unavailable(state, now_ms, retry_after_ms, effects);
}

/// Applies the current state of a claim's row to the claim.
fn apply_row(
    state: &mut State,
    request: RequestId,
    current: Option<(u64, Option<Row>)>,
    effects: &mut Vec<Effect>,
) {
    let retry_after_ms = state.config.retry_after_ms;
    let Some(claim) = state.claims.get_mut(&request) else {
        return;
    };
    let resolution = match &current {
        None => RowResolution::WriteAgain,
        Some((_, None)) => resolve_undecodable_row(claim.intent),
        Some((_, Some(row))) if row.token == claim.token => {
            resolve_own_row(claim.intent, row.state)
        }
        Some((_, Some(row))) => resolve_other_row(claim, row),
    };
    claim.version = current.as_ref().map(|(version, _)| *version);
    match resolution {
        RowResolution::Permit => permit(claim, effects),
        RowResolution::WriteAgain => state.queue_if_ready(request),
        RowResolution::Replay => {
            let answer = current.and_then(|(_, row)| row?.answer);
            effects.extend(answer.map(|answer| Effect::Replay { request, answer }));
            state.remove(request);
        }
        RowResolution::Refuse(verdict, reason) => {
            let is_retryable = reason == RefusalReason::KeyInUse;
            let retry_after_ms = is_retryable.then_some(retry_after_ms);
            effects.push(refuse(request, verdict, reason, retry_after_ms));
            state.remove(request);
        }
        RowResolution::Remove => state.remove(request),
    }
}

fn resolve_own_row(intent: Intent, row: RowState) -> RowResolution {
    match (intent, row) {
        (Intent::Claim, RowState::Claimed) => RowResolution::Permit,
        (Intent::Claim, _) => {
            RowResolution::Refuse(Verdict::MayHaveRun, RefusalReason::KeyInUse)
        }
        (Intent::Release, RowState::Released) | (Intent::Finish, RowState::Finished) => {
            RowResolution::Remove
        }
        _ => RowResolution::WriteAgain,
    }
}

/// A row that can't be decoded may belong to any claim, and its request may have run.
fn resolve_undecodable_row(intent: Intent) -> RowResolution {
    match intent {
        Intent::Claim => {
            RowResolution::Refuse(Verdict::MayHaveRun, RefusalReason::KeyInUse)
        }
        _ => RowResolution::Remove,
    }
}

/// The row of another claim ends this one, unless the row is released.
fn resolve_other_row(claim: &Claim, row: &Row) -> RowResolution {
    if claim.intent != Intent::Claim {
        return RowResolution::Remove;
    }
    if row.body_sha256 != claim.body_sha256 {
        return RowResolution::Refuse(
            Verdict::NotRun,
            RefusalReason::KeyUsedWithOtherBody,
        );
    }
    match row.state {
        RowState::Released => RowResolution::WriteAgain,
        RowState::Finished if row.answer.is_some() => RowResolution::Replay,
        RowState::Finished => {
            RowResolution::Refuse(Verdict::Ran, RefusalReason::AnswerNotKept)
        }
        RowState::Claimed => {
            RowResolution::Refuse(Verdict::MayHaveRun, RefusalReason::KeyInUse)
        }
    }
}
