//! The effects that an entry host executes.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::claims::{ConditionalWrite, StoredAnswer};
use crate::orders::{LeaseRow, Order};
use crate::peer::Envelope;
use crate::prelude::*;
use crate::refusal::Refusal;
use crate::settings::{SettingsInForce, TargetClass, Tree};

/// An effect that the daemon executes.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Effect {
    /// Dispatch a request to a target.
    Dispatch(Dispatch),
    /// Refuse a request, or end its stream if the answer has begun.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal that the caller receives.
        refusal: Refusal,
    },
    /// Send the caller the stored answer of an earlier request with the same key.
    Replay {
        /// The request that repeats the key.
        request: RequestId,
        /// The answer.
        answer: StoredAnswer,
    },
    /// Apply the writes to the claims table in one transaction.
    ClaimsTransact {
        /// Number that the reply must carry.
        transaction: u64,
        /// The writes, each conditional on the version of its row.
        writes: Vec<ConditionalWrite>,
    },
    /// Read rows of the claims table.
    ClaimsRead {
        /// Number that the reply must carry.
        read: u64,
        /// Names of the rows.
        rows: Vec<String>,
    },
    /// Store an answer that is too large for its row of the claims table.
    PutAnswer {
        /// The request that the reply must carry.
        request: RequestId,
        /// Name of the object.
        name: String,
        /// Content of the object.
        body: Vec<u8>,
    },
    /// Read rows of the settings table.
    SettingsRead {
        /// Number that the reply must carry.
        read: u64,
        /// Names of the rows.
        rows: Vec<String>,
    },
    /// Read the first of these settings snapshots that exists.
    SnapshotRead {
        /// Number that the reply must carry.
        read: u64,
        /// Names of the objects, newest first.
        objects: Vec<String>,
    },
    /// Store a settings tree as the snapshot of its revision.
    SnapshotStore {
        /// Revision of the tree.
        revision: Revision,
        /// The tree.
        tree: Arc<Tree>,
    },
    /// Use these settings for the requests that arrive from now on.
    ApplySettings(Arc<SettingsInForce>),
    /// Send a message to a peer.
    Send {
        /// Address at which the receiver accepts connections from its peers.
        to: SocketAddr,
        /// The message.
        envelope: Box<Envelope>,
    },
    /// Cancel a generation at its engine.
    Cancel {
        /// The generation.
        generation: GenerationId,
        /// Address of the engine, IP and port.
        address: String,
    },
    /// Read this zone's row of the lease table.
    LeaseRead {
        /// Name of the row.
        row: String,
    },
    /// Write this zone's row of the lease table.
    LeaseWrite {
        /// Number that the reply must carry.
        write: u64,
        /// Name of the row.
        row: String,
        /// Version that the row must have; `None` if the row must not exist.
        version: Option<u64>,
        /// The new value.
        value: LeaseRow,
    },
    /// Read the state of an engine: its loaded models and adapters, and its role.
    TargetRead {
        /// The engine.
        target: TargetName,
        /// Number that the reply must carry.
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
        /// Number that the reply must carry.
        order_id: u64,
        /// The order.
        order: Order,
        /// Fencing number of the lease under which the order is sent.
        fencing_number: FencingNumber,
        /// The order must not be sent at or after this time.
        valid_until_ms: u64,
        /// When to stop waiting for the reply.
        deadline_ms: u64,
    },
    /// Read the platform's host list.
    ListHosts,
    /// Observe the health and load of a target.
    Observe {
        /// The target.
        target: TargetName,
        /// When the observation is requested, which its result must carry.
        requested_ms: u64,
        /// Class of the target.
        class: TargetClass,
        /// Address of the target, IP and port.
        address: String,
    },
}

/// One attempt of a request at a target.
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
    /// Generation of the attempt.
    pub generation: GenerationId,
    /// Priority of the request at the engine.
    pub priority: u8,
    /// When the target was chosen. A relay that starts the attempt much later was paused in
    /// between, and the state that the choice was based on may be outdated.
    pub chosen_ms: u64,
    /// When the answer must be complete.
    pub deadline_ms: u64,
}
