//! Events, effects and messages of the spreading.

use std::sync::Arc;

use crate::prelude::*;
use crate::settings::store::{Row, Snapshot};
use crate::settings::{Change, Tree};

/// What entry hosts tell each other about the settings.
///
/// Every message may be lost, doubled, late or out of order.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Message {
    /// The sender's revision, and how old the sender's knowledge of the head is.
    Announce {
        /// Revision in force at the sender.
        revision: Revision,
        /// Time since the platform was read.
        age_ms: u64,
    },
    /// Asks for what the sender lacks.
    Pull {
        /// Revision in force at the sender; `None` before its first tree.
        have: Option<Revision>,
    },
    /// Changes in the order of their revisions.
    Delta {
        /// The changes.
        changes: Vec<Change>,
        /// Revision in force at the sender.
        revision: Revision,
        /// Time since the platform was read.
        age_ms: u64,
    },
    /// The whole tree.
    Snapshot {
        /// Revision of the tree.
        revision: Revision,
        /// The tree.
        tree: Arc<Tree>,
        /// Time since the platform was read.
        age_ms: u64,
    },
}

/// What the spreading reacts to.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// The live peers have changed, or who reads the platform.
    Peers {
        /// The other live hosts of the zone.
        zone: Vec<HostName>,
        /// A few hosts of other zones.
        other_zones: Vec<HostName>,
        /// Whether this host is the zone's reader.
        is_reader: bool,
    },
    /// A peer sent a message.
    Received {
        /// The peer.
        from: HostName,
        /// The message.
        message: Message,
    },
    /// The reply to [`Effect::ReadRows`].
    RowsRead {
        /// Number of the read.
        read: u64,
        /// The rows that exist; `None` when the table couldn't be read.
        rows: Option<Vec<Row>>,
    },
    /// The reply to [`Effect::ReadSnapshot`].
    SnapshotRead {
        /// Number of the read.
        read: u64,
        /// The first snapshot that could be read.
        snapshot: Option<Box<Snapshot>>,
    },
    /// Time has passed; due a few times a second.
    Tick,
}

/// What the daemon has to do for the spreading.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Effect {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: HostName,
        /// The message.
        message: Message,
    },
    /// Read rows of the table `settings`.
    ReadRows {
        /// Number to reply with.
        read: u64,
        /// Names of the rows.
        rows: Vec<String>,
    },
    /// Read the first of these objects that exists.
    ReadSnapshot {
        /// Number to reply with.
        read: u64,
        /// Names of the objects, the newest first.
        objects: Vec<String>,
    },
    /// Store the tree as the snapshot of its revision; a repeat is harmless.
    StoreSnapshot {
        /// Revision of the tree.
        revision: Revision,
        /// The tree.
        tree: Arc<Tree>,
    },
    /// Serve new requests under this tree.
    InForce {
        /// Revision of the tree.
        revision: Revision,
        /// The tree.
        tree: Arc<Tree>,
    },
    /// A committed change doesn't fit the tree it was made on; the host stays as it is.
    Unreadable {
        /// Revision of the change.
        revision: Revision,
    },
}
