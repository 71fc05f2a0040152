//! What an entry host is to do.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::claims::{ConditionalWrite, StoredAnswer};
use crate::orders::{LeaseRow, Order};
use crate::peer::Envelope;
use crate::prelude::*;
use crate::refusal::Refusal;
use crate::settings::{InForce, TargetClass, Tree};

/// An effect, as the daemon carries it out.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Effect {
    /// Give a request to a target.
    Dispatch(Dispatch),
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
    /// Read rows of the table of the settings.
    SettingsRead {
        /// Number to reply with.
        read: u64,
        /// Names of the rows.
        rows: Vec<String>,
    },
    /// Read the first of these snapshots that exists.
    SnapshotRead {
        /// Number to reply with.
        read: u64,
        /// Names of the objects, the newest first.
        objects: Vec<String>,
    },
    /// Store the tree as the snapshot of its revision.
    SnapshotStore {
        /// Revision of the tree.
        revision: Revision,
        /// The tree.
        tree: Arc<Tree>,
    },
    /// Let new requests be read under these settings.
    ApplySettings(Arc<InForce>),
    /// Send a message to a peer.
    Send {
        /// Address of the receiver's peers' port.
        to: SocketAddr,
        /// The message.
        envelope: Box<Envelope>,
    },
    /// Tell an engine to stop a generation.
    Cancel {
        /// The generation.
        generation: GenerationId,
        /// Address of the engine, IP and port.
        address: String,
    },
    /// Read the zone's row of the table of leases.
    LeaseRead {
        /// Name of the row.
        row: String,
    },
    /// Write the zone's row of the table of leases.
    LeaseWrite {
        /// Number to reply with.
        write: u64,
        /// Name of the row.
        row: String,
        /// Version that the row must have; `None` when it must not exist.
        version: Option<u64>,
        /// The new value.
        value: LeaseRow,
    },
    /// Read what an engine has loaded.
    TargetRead {
        /// The engine.
        target: TargetName,
        /// Number to reply with.
        read: u64,
        /// Address of the engine, IP and port.
        address: String,
    },
    /// Send an order to an engine.
    OrderSend {
        /// The engine.
        target: TargetName,
        /// Address of the engine, IP and port.
        address: String,
        /// Number to reply with.
        order_id: u64,
        /// The order.
        order: Order,
        /// The term of the lease.
        fencing_number: FencingNumber,
        /// Not to be sent from this time on.
        valid_until_ms: u64,
        /// When to give up waiting for the reply.
        deadline_ms: u64,
    },
    /// Read the platform's host list.
    ListHosts,
    /// Ask a target how it is.
    Observe {
        /// The target.
        target: TargetName,
        /// When this is asked, to come back with what is seen.
        asked_ms: u64,
        /// What it is.
        class: TargetClass,
        /// Its address, IP and port.
        address: String,
    },
}

/// One attempt at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The target.
    pub target: TargetName,
    /// Address of the target, IP and port.
    pub address: String,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// The attempt's generation.
    pub generation: GenerationId,
    /// Priority towards the engine.
    pub priority: u8,
    /// When the target was chosen. A relay that comes to it much later was paused in
    /// between, and what the choice rested on may no longer hold.
    pub decided_ms: u64,
    /// When the answer must be whole.
    pub deadline_ms: u64,
}
