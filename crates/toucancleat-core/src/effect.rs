//! What an entry host is to do.

use std::sync::Arc;

use crate::claims::{ConditionalWrite, StoredAnswer};
use crate::prelude::*;
use crate::refusal::Refusal;
use crate::settings::InForce;

/// An effect, as the daemon carries it out.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Effect {
    /// Give a request to a target.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The target.
        target: TargetName,
        /// Address of the target, IP and port.
        address: String,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Priority towards the engine.
        priority: u8,
        /// When the answer must be whole.
        deadline_ms: u64,
    },
    /// Refuse a request, or end its stream where the answer has begun.
    Refuse {
        /// The request.
        request: RequestId,
        /// What the caller is told.
        refusal: Refusal,
    },
    /// Give the answer that an earlier request with the same key got.
    Replay {
        /// The request that repeats the key.
        request: RequestId,
        /// The answer.
        answer: StoredAnswer,
    },
    /// Apply all writes to the table of the claims, or none.
    ClaimsTransact {
        /// Number to reply with.
        transact: u64,
        /// Writes, each on the condition of its row's version.
        writes: Vec<ConditionalWrite>,
    },
    /// Read rows of the table of the claims.
    ClaimsRead {
        /// Number to reply with.
        read: u64,
        /// Names of the rows.
        rows: Vec<String>,
    },
    /// Store an answer that is too large for its row.
    PutAnswer {
        /// The request to reply with.
        request: RequestId,
        /// Name of the object.
        name: String,
        /// Content.
        body: Vec<u8>,
    },
    /// Let new requests be read under these settings.
    ApplySettings(Arc<InForce>),
}
