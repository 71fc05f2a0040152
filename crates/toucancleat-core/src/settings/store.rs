//! Requests and replies of the settings in the platform's table, without I/O.
//!
//! The table `settings` has the row `head` and one row for each change. A commit is a
//! single transaction, conditional on the head being unchanged since the operator read
//! it, so that one of two concurrent operators gets a conflict. See docs/SETTINGS.md,
//! "How a change is accepted".

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::change::Change;
use super::tree::Tree;
use crate::prelude::*;

/// Name of the table of the settings.
pub const TABLE: &str = "settings";

/// Name of the row that holds the latest revision.
pub const HEAD_ROW: &str = "head";

/// Number of revisions between two snapshots in the object store.
pub const SNAPSHOT_INTERVAL_REVISIONS: u64 = 256;

/// Most change rows that one read requests.
pub const READ_ROWS_MAX: u64 = 64;

/// The value of the row `head`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The latest revision.
    pub revision: Revision,
    /// The change that created it.
    pub change_id: ChangeId,
}

/// The head as read, with the row version that a commit is conditional on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionedHead {
    /// The head; revision 0 before the first change.
    pub head: Head,
    /// The version of its row; `None` before the first change.
    pub version: Option<u64>,
}

/// The whole tree at a revision, as the object store holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision of the tree.
    pub revision: Revision,
    /// The tree.
    pub tree: Tree,
}

/// The body of a transaction request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold for the writes to be applied.
    pub conditions: Vec<Condition>,
    /// Rows to write.
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

/// A row as the table returns it, both for a read and for a failed condition.
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

/// The reply to a transaction request.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum TransactionReply {
    /// All writes were applied.
    Applied,
    /// Nothing was applied; holds the present rows whose condition failed.
    Conflict(Vec<Row>),
    /// Nothing was applied, as the table doesn't accept requests at present.
    Unavailable {
        /// Time after which the request may be sent again.
        retry_after_ms: u64,
    },
    /// The reply was lost: the writes may have been applied or may still be.
    Unknown,
}

/// The outcome of committing a change.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum CommitOutcome {
    /// The change is accepted permanently.
    Accepted,
    /// Another change was committed first; this one isn't and won't be applied.
    Conflict {
        /// The change that holds the revision, if the reply contains it.
        other: Option<Change>,
    },
    /// Nothing was applied; the same request may be sent again.
    Unavailable {
        /// Time after which the request may be sent again.
        retry_after_ms: u64,
    },
    /// The outcome is unknown. Sending the same request again determines it, as its
    /// conditions let it take effect at most once.
    Unknown,
}

/// The next fetch of a reader on its way to the head.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ReadPlan {
    /// No fetch: the head has been reached.
    UpToDate,
    /// Fetch these rows, at most [`READ_ROWS_MAX`] of them, then plan again.
    Changes(Vec<String>),
    /// Fetch the first of these objects that exists, newest first, then plan again.
    Snapshots(Vec<String>),
}

/// Returns the name of the row that holds a revision's change.
pub fn change_row(revision: Revision) -> String {
    format!("change/{:012}", revision.0)
}

/// Returns the name of the object that holds the snapshot of a revision.
pub fn snapshot_object(revision: Revision) -> String {
    format!("settings/snapshot/{:012}", revision.0)
}

/// Returns true if a snapshot of the revision is to be stored.
pub fn is_snapshot_due(revision: Revision) -> bool {
    revision.0 > 0 && revision.0.is_multiple_of(SNAPSHOT_INTERVAL_REVISIONS)
}

/// Returns the transaction that commits a change on the head that the operator read,
/// `base`.
pub fn commit_request(change: &Change, base: &VersionedHead) -> Transaction {
    let row = change_row(change.revision);
    let head = Head {
        revision: change.revision,
        change_id: change.change_id,
    };
    Transaction {
        conditions: vec![
            condition(HEAD_ROW.to_owned(), base.version),
            condition(row.clone(), None),
        ],
        writes: vec![write(HEAD_ROW.to_owned(), &head), write(row, change)],
    }
}

/// Interprets the reply to [`commit_request`].
///
/// A conflict may be caused by an earlier send of the same request whose reply was lost.
/// The change id in the row distinguishes this from another operator's change.
pub fn interpret_commit_reply(
    change: &Change,
    reply: &TransactionReply,
) -> CommitOutcome {
    match reply {
        TransactionReply::Applied => CommitOutcome::Accepted,
        TransactionReply::Conflict(rows) => interpret_conflict(change, rows),
        TransactionReply::Unavailable { retry_after_ms } => CommitOutcome::Unavailable {
            retry_after_ms: *retry_after_ms,
        },
        TransactionReply::Unknown => CommitOutcome::Unknown,
    }
}

/// Interprets the head row as read; `None` when its value isn't a valid head.
///
/// A missing row is the head before the first change.
pub fn read_head(rows: &[Row]) -> Option<VersionedHead> {
    let Some(row) = rows.iter().find(|row| row.row == HEAD_ROW) else {
        return Some(VersionedHead::default());
    };
    Some(VersionedHead {
        head: serde_json::from_value(row.value.clone()).ok()?,
        version: row.version,
    })
}

/// Interprets change rows as read, and returns their changes in the order of revisions.
///
/// Stops at the first gap or invalid row, so that a reader never skips a change.
pub fn read_changes(after: Revision, rows: &[Row]) -> Vec<Change> {
    let find = |revision| {
        let name = change_row(revision);
        let row = rows.iter().find(|row| row.row == name)?;
        serde_json::from_value::<Change>(row.value.clone()).ok()
    };
    let revisions = (after.0 + 1..).map(Revision);
    revisions.map_while(find).collect()
}

/// Plans the next fetch of a reader that holds the revision `held`; `None` before its
/// first tree.
pub fn read_plan(held: Option<Revision>, head: Revision) -> ReadPlan {
    let latest = head.0 - head.0 % SNAPSHOT_INTERVAL_REVISIONS;
    match held {
        Some(held) if held >= head => ReadPlan::UpToDate,
        None if latest > 0 => ReadPlan::Snapshots(latest_snapshots(latest)),
        None if head.0 == 0 => ReadPlan::UpToDate,
        _ => ReadPlan::Changes(next_change_rows(held.unwrap_or_default(), head)),
    }
}

fn latest_snapshots(latest: u64) -> Vec<String> {
    let older = (1..=latest / SNAPSHOT_INTERVAL_REVISIONS).rev().take(3);
    older
        .map(|n| snapshot_object(Revision(n * SNAPSHOT_INTERVAL_REVISIONS)))
        .collect()
}

fn next_change_rows(held: Revision, head: Revision) -> Vec<String> {
    let last = head.0.min(held.0 + READ_ROWS_MAX);
    (held.0 + 1..=last).map(Revision).map(change_row).collect()
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
