//! Reads of the platform: periodic by the zone's reader, within a budget by other hosts.

use std::sync::Arc;

use super::message::Effect;
use super::state::State;
use crate::prelude::*;
use crate::settings::Tree;
use crate::settings::store::{
    HEAD_ROW, ReadPlan, Row, Snapshot, change_row, read_changes, read_head, read_plan,
};

/// Change rows that a poll requests along with the head, so that most polls need one
/// read.
const POLL_CHANGE_ROWS: u64 = 4;

/// A platform read in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    number: u64,
    started_ms: u64,
    /// The head that this read returned; `None` until the reply with the head row.
    head: Option<Revision>,
    /// When the head was requested.
    head_requested_ms: u64,
}

/// Expires a pending read that timed out, and polls when the reader's period is over.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let timeout_ms = state.config.read_timeout_ms;
    state.pending_read = state
        .pending_read
        .filter(|read| now_ms < read.started_ms + timeout_ms);
    if state.is_reader && state.pending_read.is_none() && now_ms >= state.next_poll_ms {
        state.next_poll_ms = now_ms + state.config.poll_ms;
        read_head_rows(state, now_ms, effects);
    }
}

/// Starts a read for a host that isn't the reader, if its budget permits one.
///
/// Returns true if a read was started.
pub(super) fn read_within_budget(
    state: &mut State,
    now_ms: u64,
    effects: &mut Vec<Effect>,
) -> bool {
    refill_budget(state, now_ms);
    // The reader polls periodically in any case.
    if state.is_reader || state.budget_reads == 0 || state.pending_read.is_some() {
        return false;
    }
    state.budget_reads -= 1;
    read_head_rows(state, now_ms, effects);
    true
}

/// Applies the reply to a read of rows; replies to any other read are ignored.
pub(super) fn rows_read(
    state: &mut State,
    now_ms: u64,
    read: u64,
    rows: Option<Vec<Row>>,
    effects: &mut Vec<Effect>,
) {
    let Some(mut pending) = state.pending_read.take_if(|pending| pending.number == read)
    else {
        return;
    };
    let Some(rows) = rows else { return };
    if pending.head.is_none() {
        pending.head = read_head(&rows).map(|read| read.head.revision);
    }
    let Some(head) = pending.head else { return };
    if state.held_revision().is_none() && head == Revision(0) {
        state.adopt(head, Arc::new(Tree::default()));
    }
    let held_before = state.held_revision();
    apply_change_rows(state, now_ms, &rows, effects);
    if state.held_revision() == held_before
        && pending.started_ms != pending.head_requested_ms
    {
        // The requested rows don't exist yet or can't be read; the next poll tries
        // again.
        return;
    }
    continue_read(state, now_ms, pending, head, effects);
}

/// Applies the reply to a read of a snapshot; replies to any other read are ignored.
pub(super) fn snapshot_read(
    state: &mut State,
    now_ms: u64,
    read: u64,
    snapshot: Option<Box<Snapshot>>,
    effects: &mut Vec<Effect>,
) {
    let Some(pending) = state.pending_read.take_if(|pending| pending.number == read)
    else {
        return;
    };
    let Some(head) = pending.head else { return };
    if let Some(snapshot) = snapshot {
        let Snapshot { revision, tree } = *snapshot;
        state.adopt(revision, Arc::new(tree));
        state.emit_in_force(effects);
        continue_read(state, now_ms, pending, head, effects);
    } else if state.held_revision().is_none() {
        // Without a snapshot the tree is built from its first change on.
        let plan = read_plan(Some(Revision(0)), head);
        execute_plan(state, now_ms, pending, plan, effects);
    }
}

/// Adds the reads earned since the last refill to the budget, up to its maximum.
fn refill_budget(state: &mut State, now_ms: u64) {
    let since_ms = *state.budget_refilled_ms.get_or_insert(now_ms);
    let earned = now_ms.saturating_sub(since_ms) / state.config.budget_refill_ms;
    let reads = u64::from(state.budget_reads) + earned;
    state.budget_reads = reads.min(state.config.budget_reads_max.into()) as u32;
    state.budget_refilled_ms = Some(since_ms + earned * state.config.budget_refill_ms);
}

fn read_head_rows(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let mut rows = vec![HEAD_ROW.to_owned()];
    if let Some(held) = state.held_revision() {
        let next = held.0 + 1..=held.0 + POLL_CHANGE_ROWS;
        rows.extend(next.map(|revision| change_row(Revision(revision))));
    }
    let number = start_read(state, now_ms, None, now_ms);
    effects.push(Effect::ReadRows { read: number, rows });
}

fn start_read(
    state: &mut State,
    now_ms: u64,
    head: Option<Revision>,
    head_requested_ms: u64,
) -> u64 {
    state.last_read_number += 1;
    let number = state.last_read_number;
    state.pending_read = Some(PendingRead {
        number,
        started_ms: now_ms,
        head,
        head_requested_ms,
    });
    number
}

/// Applies change rows; a host without a tree starts from the empty one.
fn apply_change_rows(
    state: &mut State,
    now_ms: u64,
    rows: &[Row],
    effects: &mut Vec<Effect>,
) {
    let after = state.held_revision().unwrap_or_default();
    let changes = read_changes(after, rows);
    if changes.is_empty() {
        return;
    }
    if state.held_revision().is_none() {
        state.adopt(Revision(0), Arc::new(Tree::default()));
    }
    state.apply_changes(&changes, None, now_ms, effects);
}

/// Confirms the revision when the head is reached, otherwise reads on towards it.
fn continue_read(
    state: &mut State,
    now_ms: u64,
    pending: PendingRead,
    head: Revision,
    effects: &mut Vec<Effect>,
) {
    let plan = read_plan(state.held_revision(), head);
    if plan == ReadPlan::UpToDate {
        state.put_in_force(head, effects);
        state.confirm(pending.head_requested_ms, now_ms, None, effects);
    }
    execute_plan(state, now_ms, pending, plan, effects);
}

fn execute_plan(
    state: &mut State,
    now_ms: u64,
    pending: PendingRead,
    plan: ReadPlan,
    effects: &mut Vec<Effect>,
) {
    let head_requested_ms = pending.head_requested_ms;
    match plan {
        ReadPlan::UpToDate => {}
        ReadPlan::Changes(rows) => {
            let read = start_read(state, now_ms, pending.head, head_requested_ms);
            effects.push(Effect::ReadRows { read, rows });
        }
        ReadPlan::Snapshots(objects) => {
            let read = start_read(state, now_ms, pending.head, head_requested_ms);
            effects.push(Effect::ReadSnapshot { read, objects });
        }
    }
}
