//! The settings in the platform's table, as requests and replies without I/O.
//!
//! The table `settings` has the row `head` and one row for each change. A commit is one
//! transaction on the condition that the head is still the one that the operator saw, so
//! that of two racing operators one gets a conflict. See docs/SETTINGS.md, "How a change
//! is accepted".

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::change::Change;
use super::tree::Tree;
use crate::prelude::*;

/// The table of the settings.
pub const TABLE: &str = "settings";

/// The row that names the latest revision.
pub const HEAD_ROW: &str = "head";

/// Revisions between two snapshots in the object store.
pub const SNAPSHOT_INTERVAL_REVISIONS: u64 = 256;

/// Most change rows that one read asks for.
pub const READ_ROWS_MAX: u64 = 64;

/// The value of the row `head`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The latest revision.
    pub revision: Revision,
    /// The change that made it.
    pub change_id: ChangeId,
}

/// The head as read, with the version that a commit has to name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SeenHead {
    /// The head; revision 0 before the first change.
    pub head: Head,
    /// The version of its row; `None` before the first change.
    pub version: Option<u64>,
}

/// The whole tree at a revision, as the object store keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision of the tree.
    pub revision: Revision,
    /// The tree.
    pub tree: Tree,
}

/// The body of a transaction request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transact {
    /// What must hold for the writes to be applied.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}

/// A version that a row must have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The table of the row.
    pub table: String,
    /// The name of the row.
    pub row: String,
    /// The version; `None` when the row must not exist.
    pub version: Option<u64>,
}

/// A new value of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The table of the row.
    pub table: String,
    /// The name of the row.
    pub row: String,
    /// The value.
    pub value: Value,
}

/// A row as the table returns it, also for a condition that failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The name of the row.
    pub row: String,
    /// The version; `None` when the row doesn't exist.
    #[serde(default)]
    pub version: Option<u64>,
    /// The value.
    #[serde(default)]
    pub value: Value,
}

/// What became of a transaction request.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum TransactReply {
    /// All writes were applied.
    Applied,
    /// Nothing was applied; the rows whose condition failed, as they are.
    Conflict(Vec<Row>),
    /// Nothing was applied, as the table takes no requests for now.
    Unavailable {
        /// Time until the table may be asked again.
        retry_after_ms: u64,
    },
    /// The reply was lost: the writes may have been applied or may still be.
    Unknown,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum CommitOutcome {
    /// The change is accepted and never reverts.
    Accepted,
    /// Another change came first; this one isn't and won't be applied.
    Conflict {
        /// The change that took the revision, where the reply showed it.
        other: Option<Change>,
    },
    /// Nothing was applied; the same request may be sent again.
    Unavailable {
        /// Time until the table may be asked again.
        retry_after_ms: u64,
    },
    /// The outcome is open. Sending the same request again settles it, as its conditions
    /// let it take effect once at most.
    Unknown,
}

/// What a reader has to fetch to reach the head.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ReadPlan {
    /// Nothing: the head has been reached.
    UpToDate,
    /// These rows, at most [`READ_ROWS_MAX`] of them; then plan again.
    Changes(Vec<String>),
    /// This object, or the next older one where it is missing; then plan again.
    Snapshots(Vec<String>),
}

/// Returns the row of a revision's change.
pub fn change_row(revision: Revision) -> String {
    format!("change/{:012}", revision.0)
}

/// Returns the object that holds the snapshot of a revision.
pub fn snapshot_object(revision: Revision) -> String {
    format!("settings/snapshot/{:012}", revision.0)
}

/// Says whether a revision is to be kept as a snapshot.
pub fn snapshot_due(revision: Revision) -> bool {
    revision.0 > 0 && revision.0.is_multiple_of(SNAPSHOT_INTERVAL_REVISIONS)
}

/// Makes the transaction that commits a change on the head that the operator saw.
pub fn commit_request(change: &Change, seen: &SeenHead) -> Transact {
    let row = change_row(change.revision);
    let head = Head {
        revision: change.revision,
        change_id: change.change_id,
    };
    Transact {
        conditions: vec![
            condition(HEAD_ROW.to_owned(), seen.version),
            condition(row.clone(), None),
        ],
        writes: vec![write(HEAD_ROW.to_owned(), &head), write(row, change)],
    }
}

/// Interprets the reply to [`commit_request`].
///
/// A conflict may stem from an earlier sending of the same request, whose reply was lost:
/// the change id in the row tells.
pub fn interpret_commit_reply(change: &Change, reply: &TransactReply) -> CommitOutcome {
    match reply {
        TransactReply::Applied => CommitOutcome::Accepted,
        TransactReply::Conflict(rows) => interpret_conflict(change, rows),
        TransactReply::Unavailable { retry_after_ms } => CommitOutcome::Unavailable {
            retry_after_ms: *retry_after_ms,
        },
        TransactReply::Unknown => CommitOutcome::Unknown,
    }
}

/// Interprets the head row as read; `None` when it can't be a head.
pub fn read_head(rows: &[Row]) -> Option<SeenHead> {
    let Some(row) = rows.iter().find(|row| row.row == HEAD_ROW) else {
        return Some(SeenHead::default());
    };
    Some(SeenHead {
        head: serde_json::from_value(row.value.clone()).ok()?,
        version: row.version,
    })
}

/// Interprets change rows as read, in the order of their revisions.
///
/// Stops at the first gap or unreadable row, so that a reader never skips a change.
pub fn read_changes(after: Revision, rows: &[Row]) -> Vec<Change> {
    let find = |revision| {
        let name = change_row(revision);
        let row = rows.iter().find(|row| row.row == name)?;
        serde_json::from_value::<Change>(row.value.clone()).ok()
    };
    let revisions = (after.0 + 1..).map(Revision);
    revisions.map_while(find).collect()
}

/// Plans the next read of a reader; `have` is `None` before its first tree.
pub fn read_plan(have: Option<Revision>, head: Revision) -> ReadPlan {
    let latest = head.0 - head.0 % SNAPSHOT_INTERVAL_REVISIONS;
    match have {
        Some(have) if have >= head => ReadPlan::UpToDate,
        None if latest > 0 => ReadPlan::Snapshots(snapshots_down_from(latest)),
        None if head.0 == 0 => ReadPlan::UpToDate,
        _ => ReadPlan::Changes(change_rows_after(have.unwrap_or_default(), head)),
    }
}

fn snapshots_down_from(latest: u64) -> Vec<String> {
    let older = (1..=latest / SNAPSHOT_INTERVAL_REVISIONS).rev().take(3);
    older
        .map(|n| snapshot_object(Revision(n * SNAPSHOT_INTERVAL_REVISIONS)))
        .collect()
}

fn change_rows_after(have: Revision, head: Revision) -> Vec<String> {
    let last = head.0.min(have.0 + READ_ROWS_MAX);
    (have.0 + 1..=last).map(Revision).map(change_row).collect()
}

fn interpret_conflict(change: &Change, rows: &[Row]) -> CommitOutcome {
    let name = change_row(change.revision);
    let row = rows.iter().find(|row| row.row == name);
    let other =
        row.and_then(|row| serde_json::from_value::<Change>(row.value.clone()).ok());
    match other {
        Some(other) if other.change_id == change.change_id => CommitOutcome::Accepted,
        other => CommitOutcome::Conflict { other },
    }
}

fn condition(row: String, version: Option<u64>) -> Condition {
    Condition {
        table: TABLE.to_owned(),
        row,
        version,
    }
}

fn write<T: Serialize>(row: String, value: &T) -> Write {
    Write {
        table: TABLE.to_owned(),
        row,
        value: serde_json::to_value(value).expect("rows have string keys"),
    }
}
