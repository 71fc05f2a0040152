//! Events and effects of the claims.

use super::row::{BodyHash, Row, StoredAnswer};
use crate::prelude::*;

/// What the claims react to.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// A request that may not run twice asks for its key.
    Begin(Begin),
    /// The table answered, refused or lost a transaction.
    TransactReply {
        /// Transaction of [`Effect::Transact`].
        transact: u64,
        /// What is known of it.
        outcome: TransactOutcome,
    },
    /// The table answered a read, or couldn't.
    ReadReply {
        /// Read of [`Effect::Read`].
        read: u64,
        /// The rows that exist; `None` when the table couldn't be read.
        rows: Option<Vec<PresentRow>>,
    },
    /// The first byte of the request is about to leave.
    ///
    /// N.B. Must be fed before the byte leaves: an undispatched claim may be released.
    Dispatched {
        /// The request.
        request: RequestId,
    },
    /// The request has ended at its target.
    Finished {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// An answer was stored as an object, or couldn't be.
    ObjectStored {
        /// The request.
        request: RequestId,
        /// Whether the object store has the object.
        stored: bool,
    },
    /// The request isn't wanted any more, and no byte of it has left or will leave.
    Abandon {
        /// The request.
        request: RequestId,
    },
    /// Time has passed; due a few times a second.
    Tick,
}

/// A request that asks for its key.
#[derive(Clone, Debug)]
pub struct Begin {
    /// The request.
    pub request: RequestId,
    /// Owner of the key.
    pub organisation: OrganisationName,
    /// The caller's idempotency key.
    pub key: String,
    /// Content of the request.
    pub body_sha256: BodyHash,
    /// Present time of the wall clock, compared with the end of the key's life.
    pub now_unix_ms: u64,
    /// End of the key's life: end of the live event plus `key_retention_ms`.
    pub expires_unix_ms: u64,
}

/// What is known of a transaction.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum TransactOutcome {
    /// All writes were applied.
    Applied {
        /// Version of each written row, in the order of the writes.
        versions: Vec<u64>,
    },
    /// Nothing was applied, as these rows have another version.
    Conflict {
        /// Present state of each such row.
        rows: Vec<ConflictRow>,
    },
    /// Nothing was applied, as the table takes no work for now.
    Rejected {
        /// Time to come back.
        retry_after_ms: u64,
    },
    /// The connection was never made; nothing was applied.
    Unreachable,
    /// The reply was lost or late; the writes may take effect, even later.
    Unknown,
}

/// A row that a condition met in another state.
#[derive(Clone, Debug)]
pub struct ConflictRow {
    /// Name of the row.
    pub row: String,
    /// Version and value of the row, if it exists; the value is `None` when it can't be
    /// read as a claim.
    pub present: Option<(u64, Option<Row>)>,
}

/// A row as read.
#[derive(Clone, Debug)]
pub struct PresentRow {
    /// Name of the row.
    pub row: String,
    /// Its version.
    pub version: u64,
    /// Its value; `None` when it can't be read as a claim.
    pub value: Option<Row>,
}

/// How a request ended at its target.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Outcome {
    /// Every target that saw the request has proved that it didn't run.
    NotRun,
    /// The request may have run and its answer isn't known.
    MayHaveRun,
    /// The request ran.
    Ran(Answer),
}

/// The answer of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What the daemon has to do for the claims.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Effect {
    /// Apply all writes to the table `claims`, or none.
    Transact {
        /// Number to reply with.
        transact: u64,
        /// Writes, each on the condition of its row's version.
        writes: Vec<ConditionalWrite>,
    },
    /// Read rows of the table `claims`.
    Read {
        /// Number to reply with.
        read: u64,
        /// Names of the rows.
        rows: Vec<String>,
    },
    /// Store an object.
    PutObject {
        /// The request to reply with.
        request: RequestId,
        /// Name of the object; the same at each retry.
        name: String,
        /// Content.
        body: Vec<u8>,
    },
    /// The request owns its key and may be sent to a target.
    PermitDispatch {
        /// The request.
        request: RequestId,
    },
    /// Refuse the request at once.
    Refuse {
        /// The request.
        request: RequestId,
        /// Whether it may have run.
        verdict: Verdict,
        /// Why.
        reason: RefuseReason,
        /// Time to come back; `None` when coming back doesn't help.
        retry_after_ms: Option<u64>,
    },
    /// Give the answer that the key's request got.
    Replay {
        /// The request that repeats the key.
        request: RequestId,
        /// The answer.
        answer: StoredAnswer,
    },
}

/// A write of one row on the condition of its version.
#[derive(Clone, Debug, PartialEq)]
pub struct ConditionalWrite {
    /// Name of the row.
    pub row: String,
    /// Version that the row must have; `None` when it must not exist.
    pub version: Option<u64>,
    /// The new value.
    pub value: Row,
}

/// Why a request is refused by the claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum RefuseReason {
    /// The table is away or slow, so no claim could be made.
    TableUnavailable,
    /// Too many claims are waiting on this entry host.
    TooManyClaims,
    /// A request with this key is running, or its outcome isn't known.
    KeyInUse,
    /// The key's earlier claim, which never ran, is still being released.
    KeyBeingReleased,
    /// The request ran, but its answer couldn't be kept.
    AnswerNotKept,
    /// The key was used with another body.
    KeyUsedWithOtherBody,
    /// The key's life is over.
    KeyExpired,
}

impl RefuseReason {
    /// Returns a sentence for the problem body.
    pub fn detail(self) -> &'static str {
        match self {
            RefuseReason::TableUnavailable => {
                "the key could not be recorded in time; this request was not sent, an \
                 earlier one with the key may have been"
            }
            RefuseReason::TooManyClaims => {
                "too many keys are being recorded here; this request was not sent, an \
                 earlier one with the key may have been"
            }
            RefuseReason::KeyInUse => {
                "a request with this idempotency key is running or its outcome is unknown"
            }
            RefuseReason::KeyBeingReleased => {
                "the key's earlier request did not run and the key is being freed"
            }
            RefuseReason::AnswerNotKept => "the request ran, but its answer was not kept",
            RefuseReason::KeyUsedWithOtherBody => {
                "the idempotency key was used before with another body"
            }
            RefuseReason::KeyExpired => {
                "the idempotency key's life is over; this request was not sent, an \
                 earlier one with the key may have been"
            }
        }
    }
}
