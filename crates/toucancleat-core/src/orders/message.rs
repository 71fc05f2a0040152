//! Events and effects of the orders.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::lease::LeaseRow;
use crate::prelude::*;

/// What a target is to be; `None` leaves it as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Declared {
    /// Versions by model.
    pub models: Option<IndexMap<String, String>>,
    /// Versions by adapter.
    pub adapters: Option<IndexMap<String, String>>,
    /// The role.
    pub role: Option<String>,
}

/// What a target is, as `GET /v1/orders/state` shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// Versions by model.
    #[serde(default)]
    pub models: IndexMap<String, String>,
    /// Versions by adapter.
    #[serde(default)]
    pub adapters: IndexMap<String, String>,
    /// The role.
    #[serde(default)]
    pub role: String,
    /// The highest fencing number seen.
    #[serde(default)]
    pub fencing_number: FencingNumber,
}

/// One order to a target, in the shape of docs/PROTOCOLS.md.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
#[non_exhaustive]
pub enum Order {
    /// Load a model in place of any other version of it.
    LoadModel {
        /// The model.
        name: String,
        /// Its version.
        version: String,
    },
    /// Load an adapter in place of any other version of it.
    LoadAdapter {
        /// The adapter.
        name: String,
        /// Its version.
        version: String,
    },
    /// Change the role.
    SetRole {
        /// The role.
        role: String,
    },
    /// Unload a model or an adapter.
    Unload {
        /// The model or adapter.
        name: String,
    },
}

/// What the orders react to.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Whether this host is the one that has to hold the zone's lease.
    Candidate {
        /// Whether it is.
        is_candidate: bool,
    },
    /// The targets that are declared in the zone.
    Declared {
        /// What each is to be.
        targets: IndexMap<TargetName, Declared>,
    },
    /// The reply to [`Effect::ReadLease`].
    LeaseRead {
        /// Version and value of the row, if it exists; the outer `None` when the table
        /// couldn't be read.
        row: Option<Option<(u64, LeaseRow)>>,
    },
    /// The reply to [`Effect::WriteLease`].
    LeaseWritten {
        /// Number of the write.
        write: u64,
        /// What became of it.
        outcome: WriteOutcome,
    },
    /// The reply to [`Effect::ReadTarget`].
    TargetRead {
        /// The target.
        target: TargetName,
        /// Number of the read.
        read: u64,
        /// What the target is; `None` when it couldn't be read.
        state: Option<TargetState>,
    },
    /// The target takes no new work and its running work has ended.
    Drained {
        /// The target.
        target: TargetName,
    },
    /// The reply to [`Effect::SendOrder`].
    OrderReply {
        /// The target.
        target: TargetName,
        /// Number of the order.
        order_id: u64,
        /// What became of it.
        outcome: OrderOutcome,
    },
    /// Time has passed; due a few times a second.
    Tick,
}

/// What became of a write of the lease.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum WriteOutcome {
    /// The row has this version now.
    Applied {
        /// The version.
        version: u64,
    },
    /// The row had another version.
    Conflict {
        /// Version and value of the row, if it exists.
        present: Option<(u64, LeaseRow)>,
    },
    /// Nothing was written.
    Rejected,
    /// The write may take effect, even later.
    Unknown,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum OrderOutcome {
    /// Carried out.
    Done,
    /// The target can't carry it out now.
    Refused,
    /// The target has seen a higher fencing number.
    Fenced,
    /// Not known.
    Unknown,
}

/// What the daemon has to do for the orders.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Effect {
    /// Read the zone's row of the table `leases`.
    ReadLease {
        /// Name of the row.
        row: String,
    },
    /// Write the zone's row of the table `leases`.
    WriteLease {
        /// Number to reply with.
        write: u64,
        /// Name of the row.
        row: String,
        /// Version that the row must have; `None` when it must not exist.
        version: Option<u64>,
        /// The new value.
        value: LeaseRow,
    },
    /// Read what a target is.
    ReadTarget {
        /// The target.
        target: TargetName,
        /// Number to reply with.
        read: u64,
    },
    /// Give the target no new work, and feed [`Event::Drained`] once its work has ended.
    StopAdmissions {
        /// The target.
        target: TargetName,
    },
    /// Give the target work again.
    ResumeAdmissions {
        /// The target.
        target: TargetName,
    },
    /// Send an order.
    ///
    /// N.B. The time has to be compared once more right before the bytes leave: the
    /// process may have been paused since.
    SendOrder {
        /// The target.
        target: TargetName,
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
}

impl Order {
    /// Says whether the order reads from the weight store.
    pub fn is_load(&self) -> bool {
        matches!(self, Order::LoadModel { .. } | Order::LoadAdapter { .. })
    }
}
