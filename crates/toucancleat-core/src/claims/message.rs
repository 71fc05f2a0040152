//! The events and effects of the claims reducer.

use super::row::{BodyHash, Row, StoredAnswer};
use crate::prelude::*;

/// An event of the claims.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// A request that may run at most once needs a claim of its idempotency key.
    Begin(ClaimRequest),
    /// The outcome of [`Effect::Transact`].
    TransactionReply {
        /// Number of the transaction.
        transaction: u64,
        /// The outcome as far as it is known.
        outcome: TransactionOutcome,
    },
    /// The outcome of [`Effect::Read`].
    ReadReply {
        /// Number of the read.
        read: u64,
        /// The rows that exist; `None` when the table couldn't be read.
        rows: Option<Vec<StoredRow>>,
    },
    /// The first byte of the request is about to be sent to a target.
    ///
    /// N.B. Must be fed before the byte is sent: an undispatched claim may be released.
    Dispatched {
        /// The request.
        request: RequestId,
    },
    /// The request has ended at its target.
    Finished {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: RequestOutcome,
    },
    /// The outcome of [`Effect::PutObject`].
    ObjectStored {
        /// The request.
        request: RequestId,
        /// Whether the object store has confirmed the object.
        stored: bool,
    },
    /// The request was abandoned, and no byte of it will be sent from now on.
    ///
    /// Unless [`Event::Dispatched`] was fed, none was sent before either.
    Abandon {
        /// The request.
        request: RequestId,
    },
    /// Time has passed.
    Tick,
}

/// A request that needs a claim of its idempotency key.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The request.
    pub request: RequestId,
    /// The organisation that the key belongs to.
    pub organisation: OrganisationName,
    /// The caller's idempotency key.
    pub key: String,
    /// Hash of the request's body.
    pub body_sha256: BodyHash,
    /// Current wall-clock time, compared with the key's expiry.
    pub now_unix_ms: u64,
    /// Expiry of the key: end of the live event plus `key_retention_ms`.
    pub expires_unix_ms: u64,
}

/// The outcome of a transaction, as far as it is known.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum TransactionOutcome {
    /// All writes were applied.
    Applied {
        /// Version of each written row, in the order of the writes.
        versions: Vec<u64>,
    },
    /// Nothing was applied, as these rows don't have the expected version.
    Conflict {
        /// Current state of each such row.
        rows: Vec<ConflictRow>,
    },
    /// The table rejected the transaction; nothing was applied.
    Rejected {
        /// Time after which the table accepts a retry.
        retry_after_ms: u64,
    },
    /// No connection could be made; nothing was applied.
    Unreachable,
    /// The reply was lost or timed out; the writes may take effect now or later.
    Unknown,
}

/// A row whose version failed the condition of a write.
#[derive(Clone, Debug)]
pub struct ConflictRow {
    /// Name of the row.
    pub row: String,
    /// Version and value of the row, if it exists; the value is `None` when it can't be
    /// decoded as a claim.
    pub current: Option<(u64, Option<Row>)>,
}

/// A row that a read returned.
#[derive(Clone, Debug)]
pub struct StoredRow {
    /// Name of the row.
    pub row: String,
    /// Its version.
    pub version: u64,
    /// Its value; `None` when it can't be decoded as a claim.
    pub value: Option<Row>,
}

/// How a request ended at its target.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum RequestOutcome {
    /// Every target that received the request has proved that it didn't run.
    NotRun,
    /// The request may have run and its answer is unknown.
    MayHaveRun,
    /// The request ran and this is its answer.
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

/// An effect of the claims.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Effect {
    /// Apply all writes to the table `claims` atomically.
    Transact {
        /// Number that the reply has to carry.
        transaction: u64,
        /// Writes, each on the condition of its row's version.
        writes: Vec<ConditionalWrite>,
    },
    /// Read rows of the table `claims`.
    Read {
        /// Number that the reply has to carry.
        read: u64,
        /// Names of the rows.
        rows: Vec<String>,
    },
    /// Store an object.
    PutObject {
        /// The request that the reply has to carry.
        request: RequestId,
        /// Name of the object; the same on each retry.
        name: String,
        /// Content.
        body: Vec<u8>,
    },
    /// Permit the dispatch of the request, as it owns its key.
    PermitDispatch {
        /// The request.
        request: RequestId,
    },
    /// Refuse the request at once.
    Refuse {
        /// The request.
        request: RequestId,
        /// Whether the key's request may have run.
        verdict: Verdict,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which a retry may succeed; `None` if a retry can't succeed.
        retry_after_ms: Option<u64>,
    },
    /// Answer with the stored answer of the key's earlier request.
    Replay {
        /// The request that repeats the key.
        request: RequestId,
        /// The stored answer.
        answer: StoredAnswer,
    },
}

/// A write of one row on the condition of its version.
#[derive(Clone, Debug, PartialEq)]
pub struct ConditionalWrite {
    /// Name of the row.
    pub row: String,
    /// Version that the row must have; `None` if it must not exist.
    pub version: Option<u64>,
    /// The new value.
    pub value: Row,
}

/// The reason for which the claims refuse a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum RefusalReason {
    /// The table is unavailable or slow, so no claim could be made.
    TableUnavailable,
    /// This entry host has reached its limit of claims.
    TooManyClaims,
    /// A request with this key is running, or its outcome is unknown.
    KeyInUse,
    /// The key's earlier request didn't run and its claim is still being released.
    KeyBeingReleased,
    /// The request ran, but its answer couldn't be stored.
    AnswerNotKept,
    /// The key was used with another body.
    KeyUsedWithOtherBody,
    /// The key has expired.
    KeyExpired,
}

impl RefusalReason {
    /// Returns the detail text of the problem body.
    pub fn detail(self) -> &'static str {
        match self {
            RefusalReason::TableUnavailable => {
                "the key could not be recorded in time; this request was not sent, an \
                 earlier one with the key may have been"
            }
            RefusalReason::TooManyClaims => {
                "too many keys are being recorded here; this request was not sent, an \
                 earlier one with the key may have been"
            }
            RefusalReason::KeyInUse => {
                "a request with this idempotency key is running or its outcome is unknown"
            }
            RefusalReason::KeyBeingReleased => {
                "the key's earlier request did not run and the key is being freed"
            }
            RefusalReason::AnswerNotKept => {
                "the request ran, but its answer was not kept"
            }
            RefusalReason::KeyUsedWithOtherBody => {
                "the idempotency key was used before with another body"
            }
            RefusalReason::KeyExpired => {
                "the idempotency key's life is over; this request was not sent, an \
                 earlier one with the key may have been"
            }
        }
    }
}
