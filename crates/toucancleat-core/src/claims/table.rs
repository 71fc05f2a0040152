//! Transactions of several claims at once, and what their replies mean for each.

use super::claim::{Claim, Step, Want};
use super::message::{ConflictRow, Effect, PresentRow, RefuseReason, TransactOutcome};
use super::row::{Row, RowState};
use super::state::{State, refuse};
use crate::prelude::*;

/// What a row, once seen, means for a claim.
enum Next {
    Permit,
    WriteAgain,
    Replay,
    Refuse(Verdict, RefuseReason),
    Done,
}

/// Sends the queued writes, as many together as fit.
///
/// Writes gather while all transactions are in flight, so the load on the table grows with
/// its latency's inverse and not with the rush.
pub(super) fn send_batches(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    while state.transacts.len() < state.config.transacts_in_flight_max {
        if state.table_away_until_ms > now_ms {
            return;
        }
        let (items, writes) = take_batch(state);
        if items.is_empty() {
            return;
        }
        let transact = state.number();
        state.transacts.insert(transact, items);
        effects.push(Effect::Transact { transact, writes });
    }
}

fn take_batch(
    state: &mut State,
) -> (Vec<(RequestId, Want)>, Vec<super::ConditionalWrite>) {
    let mut items = Vec::new();
    let mut writes = Vec::new();
    while items.len() < state.config.batch_max {
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
        items.push((request, claim.want));
        writes.push(write);
    }
    (items, writes)
}

pub(super) fn transact_reply(
    state: &mut State,
    now_ms: u64,
    transact: u64,
    outcome: TransactOutcome,
    effects: &mut Vec<Effect>,
) {
    let Some(items) = state.transacts.swap_remove(&transact) else {
        return;
    };
    match outcome {
        TransactOutcome::Applied { versions } if versions.len() == items.len() => {
            for ((request, wrote), version) in items.into_iter().zip(versions) {
                applied(state, request, wrote, version, effects);
            }
        }
        TransactOutcome::Conflict { rows } if names_any(state, &items, &rows) => {
            conflict(state, &items, rows, effects);
        }
        TransactOutcome::Rejected { retry_after_ms } => {
            not_applied(state, now_ms, &items, retry_after_ms, effects);
        }
        TransactOutcome::Unreachable | TransactOutcome::Conflict { .. } => {
            let retry_after_ms = state.config.retry_after_ms;
            not_applied(state, now_ms, &items, retry_after_ms, effects);
        }
        TransactOutcome::Unknown | TransactOutcome::Applied { .. } => {
            read_back(state, &items, effects);
        }
    }
}

fn applied(
    state: &mut State,
    request: RequestId,
    wrote: Want,
    version: u64,
    effects: &mut Vec<Effect>,
) {
    let Some(claim) = state.claims.get_mut(&request) else {
        return;
    };
    claim.version = Some(version);
    claim.step = Step::Idle;
    match (wrote, claim.want) {
        (Want::Claim, Want::Claim) => permit(claim, effects),
        (wrote, want) if wrote == want => state.forget(request),
        _ => state.queue_if_ready(request),
    }
}

/// Lets the request go to a target; from here on no clock refuses it.
fn permit(claim: &mut Claim, effects: &mut Vec<Effect>) {
    claim.want = Want::Hold;
    claim.step = Step::Idle;
    effects.push(Effect::PermitDispatch {
        request: claim.request,
    });
}

fn names_any(state: &State, items: &[(RequestId, Want)], rows: &[ConflictRow]) -> bool {
    let named = |request: &RequestId| {
        let claim = state.claims.get(request);
        claim.is_some_and(|claim| rows.iter().any(|conflict| conflict.row == claim.row))
    };
    items.iter().any(|(request, _)| named(request))
}

/// Settles the claims whose rows were in conflict, and queues the others again.
fn conflict(
    state: &mut State,
    items: &[(RequestId, Want)],
    mut rows: Vec<ConflictRow>,
    effects: &mut Vec<Effect>,
) {
    for (request, _) in items.iter().rev() {
        let Some(claim) = state.claims.get_mut(request) else {
            continue;
        };
        claim.step = Step::Idle;
        let found = rows.iter().position(|conflict| conflict.row == claim.row);
        match found.map(|index| rows.swap_remove(index)) {
            Some(conflict) => see_row(state, *request, conflict.present, effects),
            None => {
                claim.step = Step::Queued;
                state.queue.push_front(*request);
            }
        }
    }
}

/// Nothing was written: refuses those that wait, at once, and keeps the rest for later.
fn not_applied(
    state: &mut State,
    now_ms: u64,
    items: &[(RequestId, Want)],
    retry_after_ms: u64,
    effects: &mut Vec<Effect>,
) {
    for (request, _) in items {
        if let Some(claim) = state.claims.get_mut(request) {
            claim.wait_until(now_ms + retry_after_ms);
        }
    }
    table_away(state, now_ms, retry_after_ms, effects);
}

/// Refuses every request that waits for the table.
///
/// Those in a transaction or a read wait for its reply, which may still be good.
fn table_away(
    state: &mut State,
    now_ms: u64,
    retry_after_ms: u64,
    effects: &mut Vec<Effect>,
) {
    state.table_away_until_ms = now_ms + retry_after_ms;
    let waits = |claim: &&Claim| {
        claim.want == Want::Claim
            && matches!(claim.step, Step::Queued | Step::Waiting { .. })
    };
    let waiting: Vec<_> = state
        .claims
        .values()
        .filter(waits)
        .map(|claim| claim.request)
        .collect();
    for request in waiting {
        state.refuse_unclaimed(request, Some(retry_after_ms), effects);
    }
}

fn read_back(state: &mut State, items: &[(RequestId, Want)], effects: &mut Vec<Effect>) {
    let mut requests = Vec::new();
    let mut rows = Vec::new();
    for (request, _) in items {
        let Some(claim) = state.claims.get_mut(request) else {
            continue;
        };
        claim.may_be_written = true;
        claim.step = Step::Reading;
        requests.push(*request);
        rows.push(claim.row.clone());
    }
    let read = state.number();
    state.reads.insert(read, requests);
    effects.push(Effect::Read { read, rows });
}

pub(super) fn read_reply(
    state: &mut State,
    now_ms: u64,
    read: u64,
    rows: Option<Vec<PresentRow>>,
    effects: &mut Vec<Effect>,
) {
    let Some(requests) = state.reads.swap_remove(&read) else {
        return;
    };
    let Some(mut rows) = rows else {
        unreadable(state, now_ms, &requests, effects);
        return;
    };
    for request in requests {
        let Some(claim) = state.claims.get_mut(&request) else {
            continue;
        };
        claim.step = Step::Idle;
        let found = rows.iter().position(|present| present.row == claim.row);
        let present = found.map(|index| rows.swap_remove(index));
        let present = present.map(|present| (present.version, present.value));
        see_row(state, request, present, effects);
    }
}

/// N.B. A claim that may be written is refused and released, never dispatched on hope.
fn unreadable(
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
    table_away(state, now_ms, retry_after_ms, effects);
}

/// Acts on the present state of a claim's row.
fn see_row(
    state: &mut State,
    request: RequestId,
    present: Option<(u64, Option<Row>)>,
    effects: &mut Vec<Effect>,
) {
    let retry_after_ms = state.config.retry_after_ms;
    let Some(claim) = state.claims.get_mut(&request) else {
        return;
    };
    let next = match &present {
        None => Next::WriteAgain,
        Some((_, None)) => next_of_unreadable(claim.want),
        Some((_, Some(row))) if row.token == claim.token => {
            next_of_own(claim.want, row.state)
        }
        Some((_, Some(row))) => next_of_other(claim, row),
    };
    claim.version = present.as_ref().map(|(version, _)| *version);
    match next {
        Next::Permit => permit(claim, effects),
        Next::WriteAgain => state.queue_if_ready(request),
        Next::Replay => {
            let answer = present.and_then(|(_, row)| row?.answer);
            effects.extend(answer.map(|answer| Effect::Replay { request, answer }));
            state.forget(request);
        }
        Next::Refuse(verdict, reason) => {
            let helps = reason == RefuseReason::KeyInUse;
            let retry_after_ms = helps.then_some(retry_after_ms);
            effects.push(refuse(request, verdict, reason, retry_after_ms));
            state.forget(request);
        }
        Next::Done => state.forget(request),
    }
}

fn next_of_own(want: Want, row: RowState) -> Next {
    match (want, row) {
        (Want::Claim, RowState::Claimed) => Next::Permit,
        (Want::Claim, _) => Next::Refuse(Verdict::MayHaveRun, RefuseReason::KeyInUse),
        (Want::Release, RowState::Released) | (Want::Finish, RowState::Finished) => {
            Next::Done
        }
        _ => Next::WriteAgain,
    }
}

/// A row that can't be read may be anyone's, and its request may have run.
fn next_of_unreadable(want: Want) -> Next {
    match want {
        Want::Claim => Next::Refuse(Verdict::MayHaveRun, RefuseReason::KeyInUse),
        _ => Next::Done,
    }
}

/// The row of another claim ends this one, unless it never ran.
fn next_of_other(claim: &Claim, row: &Row) -> Next {
    if claim.want != Want::Claim {
        return Next::Done;
    }
    if row.body_sha256 != claim.body_sha256 {
        return Next::Refuse(Verdict::NotRun, RefuseReason::KeyUsedWithOtherBody);
    }
    match row.state {
        RowState::Released => Next::WriteAgain,
        RowState::Finished if row.answer.is_some() => Next::Replay,
        RowState::Finished => Next::Refuse(Verdict::Ran, RefuseReason::AnswerNotKept),
        RowState::Claimed => Next::Refuse(Verdict::MayHaveRun, RefuseReason::KeyInUse),
    }
}
