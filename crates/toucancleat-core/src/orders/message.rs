//! The events and effects of the orders reducer.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::lease::LeaseRow;
use crate::prelude::*;

/// The declared state of a target; `None` leaves a part unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeclaredState {
    /// Versions by model.
    pub models: Option<IndexMap<String, String>>,
    /// Versions by adapter.
    pub adapters: Option<IndexMap<String, String>>,
    /// The role.
    pub role: Option<String>,
}

/// The actual state of a target, as `GET /v1/orders/state` returns it.
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
    /// The highest fencing number that the target has received.
    #[serde(default)]
    pub fencing_number: FencingNumber,
}

/// One order to a target, in the format of docs/PROTOCOLS.md.
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

/// An event of the orders.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Sets whether this host is to acquire and hold the zone's lease.
    Candidate {
        /// Whether it is the candidate.
        is_candidate: bool,
    },
    /// Replaces the declared states of the zone's targets.
    Declared {
        /// Declared state by target.
        targets: IndexMap<TargetName, DeclaredState>,
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
        /// The outcome of the write.
        outcome: WriteOutcome,
    },
    /// The reply to [`Effect::ReadTarget`].
    TargetRead {
        /// The target.
        target: TargetName,
        /// Number of the read.
        read: u64,
        /// The target's actual state; `None` when it couldn't be read.
        state: Option<TargetState>,
    },
    /// The target receives no new work and its running work has ended.
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
        /// The outcome of the order.
        outcome: OrderOutcome,
    },
    /// Time has passed.
    Tick,
}

/// The outcome of a write of the lease.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum WriteOutcome {
    /// The row was written.
    Applied {
        /// The row's new version.
        version: u64,
    },
    /// Nothing was written, as the row doesn't have the expected version.
    Conflict {
        /// Version and value of the row, if it exists.
        current: Option<(u64, LeaseRow)>,
    },
    /// The table rejected the write; nothing was written.
    Rejected,
    /// The reply was lost or timed out; the write may take effect now or later.
    Unknown,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum OrderOutcome {
    /// The target has carried out the order.
    Done,
    /// The target can't carry out the order now.
    Refused,
    /// The target has received a higher fencing number.
    Fenced,
    /// The reply was lost or timed out; the order may take effect until its deadline.
    Unknown,
}

/// An effect of the orders.
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
        /// Number that the reply has to carry.
        write: u64,
        /// Name of the row.
        row: String,
        /// Version that the row must have; `None` if it must not exist.
        version: Option<u64>,
        /// The new value.
        value: LeaseRow,
    },
    /// Read the actual state of a target.
    ReadTarget {
        /// The target.
        target: TargetName,
        /// Number that the reply has to carry.
        read: u64,
    },
    /// Send the target no new work, and feed [`Event::Drained`] once its work has ended.
    StopAdmissions {
        /// The target.
        target: TargetName,
    },
    /// Send the target work again.
    ResumeAdmissions {
        /// The target.
        target: TargetName,
    },
    /// Send an order.
    ///
    /// N.B. The time has to be compared again right before the bytes are sent, as the
    /// process may have been paused in between.
    SendOrder {
        /// The target.
        target: TargetName,
        /// Number that the reply has to carry.
        order_id: u64,
        /// The order.
        order: Order,
        /// The term of the lease.
        fencing_number: FencingNumber,
        /// Time from which the order must not be sent.
        valid_until_ms: u64,
        /// Time at which the reply times out.
        deadline_ms: u64,
    },
}

impl Order {
    /// Returns true if the order makes the target read from the weight store.
    pub fn is_load(&self) -> bool {
        matches!(self, Order::LoadModel { .. } | Order::LoadAdapter { .. })
    }
}
