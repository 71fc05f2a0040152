//! Events, effects and messages of the dissemination.

use std::sync::Arc;

use crate::prelude::*;
use crate::settings::store::{Row, Snapshot};
use crate::settings::{Change, Tree};

/// A one-way message about the settings, which may be lost, delayed, duplicated or
/// reordered.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Message {
    /// The sender's revision and the age of its settings, without any changes.
    Announce {
        /// Revision in force at the sender.
        revision: Revision,
        /// Time since the platform read that last confirmed the sender's settings.
        age_ms: u64,
    },
    /// Requests the changes that the sender is missing.
    Pull {
        /// Revision that the sender holds, in force or not; `None` before its first tree.
        known_revision: Option<Revision>,
    },
    /// Changes in the order of their revisions.
    Delta {
        /// The changes.
        changes: Vec<Change>,
        /// Revision in force at the sender.
        revision: Revision,
        /// Time since the platform read that last confirmed the sender's settings.
        age_ms: u64,
    },
    /// The whole tree.
    Snapshot {
        /// Revision of the tree.
        revision: Revision,
        /// The tree.
        tree: Arc<Tree>,
        /// Time since the platform read that last confirmed the sender's settings.
        age_ms: u64,
    },
}

/// An event of the dissemination.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// The live peers have changed, or which host reads the platform.
    PeersChanged {
        /// Live peers of the host's own zone.
        zone: Vec<HostName>,
        /// A few live peers of other zones.
        other_zones: Vec<HostName>,
        /// Whether this host is the zone's reader.
        is_reader: bool,
    },
    /// A message arrived from a peer.
    MessageReceived {
        /// The peer.
        from: HostName,
        /// The message.
        message: Message,
    },
    /// The reply to [`Effect::ReadRows`].
    RowsRead {
        /// Number of the read, as in the effect.
        read: u64,
        /// The rows that exist; `None` when the table couldn't be read.
        rows: Option<Vec<Row>>,
    },
    /// The reply to [`Effect::ReadSnapshot`].
    SnapshotRead {
        /// Number of the read, as in the effect.
        read: u64,
        /// The first snapshot that could be read; `None` when there was none.
        snapshot: Option<Box<Snapshot>>,
    },
    /// Time has passed.
    Tick,
}

/// An effect of the dissemination.
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
        /// Number of the read, to be returned in the reply.
        read: u64,
        /// Names of the rows.
        rows: Vec<String>,
    },
    /// Read the first of these objects that exists.
    ReadSnapshot {
        /// Number of the read, to be returned in the reply.
        read: u64,
        /// Names of the objects, the newest first.
        objects: Vec<String>,
    },
    /// Store the tree as the snapshot of its revision; the operation is idempotent.
    StoreSnapshot {
        /// Revision of the tree.
        revision: Revision,
        /// The tree.
        tree: Arc<Tree>,
    },
    /// Apply this tree to new requests.
    PutInForce {
        /// Revision of the tree.
        revision: Revision,
        /// The tree.
        tree: Arc<Tree>,
    },
    /// A committed change can't be applied to its base revision; the host keeps its
    /// tree.
    ChangeRejected {
        /// Revision of the change.
        revision: Revision,
    },
}
