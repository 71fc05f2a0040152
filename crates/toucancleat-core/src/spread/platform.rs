//! Reads of the platform: by the zone's reader with a period, by others within a budget.

use std::sync::Arc;

use super::message::Effect;
use super::state::State;
use crate::prelude::*;
use crate::settings::Tree;
use crate::settings::store::{
    HEAD_ROW, ReadPlan, Row, Snapshot, change_row, read_changes, read_head, read_plan,
};

/// Change rows that a poll asks for beside the head, so that most polls need one read.
const POLL_CHANGE_ROWS: u64 = 4;

/// A platform read in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Read {
    number: u64,
    started_ms: u64,
    /// The head as this read has found it.
    head: Option<Revision>,
    /// When the head was asked for.
    head_asked_ms: u64,
}

pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let timeout_ms = state.config.read_timeout_ms;
    state.reading = state
        .reading
        .filter(|read| now_ms < read.started_ms + timeout_ms);
    if state.is_reader && state.reading.is_none() && now_ms >= state.next_poll_ms {
        state.next_poll_ms = now_ms + state.config.poll_ms;
        read_head_rows(state, now_ms, effects);
    }
}

/// Reads the platform for a host that isn't the reader, if it has a read to spend.
pub(super) fn read_within_budget(
    state: &mut State,
    now_ms: u64,
    effects: &mut Vec<Effect>,
) -> bool {
    refill(state, now_ms);
    // The reader polls anyway.
    if state.is_reader || state.budget_reads == 0 || state.reading.is_some() {
        return false;
    }
    state.budget_reads -= 1;
    read_head_rows(state, now_ms, effects);
    true
}

pub(super) fn rows_read(
    state: &mut State,
    now_ms: u64,
    read: u64,
    rows: Option<Vec<Row>>,
    effects: &mut Vec<Effect>,
) {
    let Some(mut reading) = state.reading.take_if(|reading| reading.number == read)
    else {
        return;
    };
    let Some(rows) = rows else { return };
    if reading.head.is_none() {
        reading.head = read_head(&rows).map(|seen| seen.head.revision);
    }
    let Some(head) = reading.head else { return };
    if state.have().is_none() && head == Revision(0) {
        state.adopt(head, Arc::new(Tree::default()));
    }
    let before = state.have();
    learn_rows(state, now_ms, &rows, effects);
    if state.have() == before && reading.started_ms != reading.head_asked_ms {
        // The rows that were asked for don't exist yet or can't be read; poll again.
        return;
    }
    continue_read(state, now_ms, reading, head, effects);
}

pub(super) fn snapshot_read(
    state: &mut State,
    now_ms: u64,
    read: u64,
    snapshot: Option<Box<Snapshot>>,
    effects: &mut Vec<Effect>,
) {
    let Some(reading) = state.reading.take_if(|reading| reading.number == read) else {
        return;
    };
    let Some(head) = reading.head else { return };
    if let Some(snapshot) = snapshot {
        let Snapshot { revision, tree } = *snapshot;
        state.adopt(revision, Arc::new(tree));
        state.tell_in_force(effects);
        continue_read(state, now_ms, reading, head, effects);
    } else if state.have().is_none() {
        // Without a snapshot the tree is made from its first change on.
        let plan = read_plan(Some(Revision(0)), head);
        carry_out(state, now_ms, reading, plan, effects);
    }
}

fn refill(state: &mut State, now_ms: u64) {
    let since_ms = *state.budget_refilled_ms.get_or_insert(now_ms);
    let earned = now_ms.saturating_sub(since_ms) / state.config.budget_refill_ms;
    let reads = u64::from(state.budget_reads) + earned;
    state.budget_reads = reads.min(state.config.budget_reads_max.into()) as u32;
    state.budget_refilled_ms = Some(since_ms + earned * state.config.budget_refill_ms);
}

fn read_head_rows(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    let mut rows = vec![HEAD_ROW.to_owned()];
    if let Some(have) = state.have() {
        let next = have.0 + 1..=have.0 + POLL_CHANGE_ROWS;
        rows.extend(next.map(|revision| change_row(Revision(revision))));
    }
    let number = start(state, now_ms, None, now_ms);
    effects.push(Effect::ReadRows { read: number, rows });
}

fn start(
    state: &mut State,
    now_ms: u64,
    head: Option<Revision>,
    head_asked_ms: u64,
) -> u64 {
    state.next_read += 1;
    let number = state.next_read;
    state.reading = Some(Read {
        number,
        started_ms: now_ms,
        head,
        head_asked_ms,
    });
    number
}

/// Learns change rows; those of a host without a tree start from the empty tree.
fn learn_rows(state: &mut State, now_ms: u64, rows: &[Row], effects: &mut Vec<Effect>) {
    let after = state.have().unwrap_or_default();
    let changes = read_changes(after, rows);
    if changes.is_empty() {
        return;
    }
    if state.have().is_none() {
        state.adopt(Revision(0), Arc::new(Tree::default()));
    }
    state.learn(&changes, None, now_ms, effects);
}

fn continue_read(
    state: &mut State,
    now_ms: u64,
    reading: Read,
    head: Revision,
    effects: &mut Vec<Effect>,
) {
    let plan = read_plan(state.have(), head);
    if plan == ReadPlan::UpToDate {
        state.put_in_force(head, effects);
        state.refresh(reading.head_asked_ms, now_ms, None, effects);
    }
    carry_out(state, now_ms, reading, plan, effects);
}

fn carry_out(
    state: &mut State,
    now_ms: u64,
    reading: Read,
    plan: ReadPlan,
    effects: &mut Vec<Effect>,
) {
    let head_asked_ms = reading.head_asked_ms;
    match plan {
        ReadPlan::UpToDate => {}
        ReadPlan::Changes(rows) => {
            let read = start(state, now_ms, reading.head, head_asked_ms);
            effects.push(Effect::ReadRows { read, rows });
        }
        ReadPlan::Snapshots(objects) => {
            let read = start(state, now_ms, reading.head, head_asked_ms);
            effects.push(Effect::ReadSnapshot { read, objects });
        }
    }
}
