//! Entries of the host list that expired while the store was away.
//!
//! Targets renew their entries with heartbeats, which the store doesn't receive while it is away. The
//! first list after its return may lack the entries of many targets that are running, and those
//! are back within about two seconds. If they counted as leaving, the runs of all of them would
//! migrate at once, and new requests would go to the few that are back first. See
//! docs/design/target-watch.md.

use indexmap::IndexSet;
use toucancleat_core::prelude::*;

use crate::cold_targets::HEARTBEAT_INTERVAL_MS;
use crate::store::READER_SILENCE_MS;

/// Time after the store's return within which entries that have expired are back, if their
/// targets are running. A target whose entry is missing for longer is gone.
pub const LAPSED_ENTRY_GRACE_MS: u64 = 2_000;

/// Minimum duration of an outage of the store in which entries can have expired. The last heartbeat of
/// a target may be one interval old when the store goes away, and an entry expires after three.
const EXPIRY_MIN_MS: u64 = 2 * HEARTBEAT_INTERVAL_MS;

/// Maximum time for which the store has been away when hosts notice that nobody reads the host list.
const DETECTION_MAX_MS: u64 = 2 * READER_SILENCE_MS;

/// The entries that are missing since the store was away, and are kept for now.
#[derive(Clone, Debug, Default)]
pub struct LapsedEntries {
    phase: Phase,
    targets: IndexSet<TargetName>,
    unread_since_ms: u64,
    has_store_failed: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// The host list is read all the time.
    #[default]
    Read,
    /// Nobody reads it, and this host has not received any part of it since.
    Unread,
    /// This host has received a part of it.
    Received,
}

impl LapsedEntries {
    /// Records that nobody reads the host list any more, and whether that is since the store has
    /// failed to answer its reader.
    pub fn begin(&mut self, now_ms: u64, has_store_failed: bool) {
        self.phase = Phase::Unread;
        self.targets.clear();
        self.unread_since_ms = now_ms;
        self.has_store_failed = has_store_failed;
    }

    /// Records that the store hasn't answered a query of this host.
    pub fn record_failure(&mut self) {
        self.has_store_failed = true;
    }

    /// Records what the next list, or the next changes of it, lack. What is missing from the first
    /// ones may have expired if nobody has read the list for long enough. Later removals are those of
    /// targets that leave.
    pub fn record_missing(
        &mut self,
        now_ms: u64,
        missing: impl IntoIterator<Item = TargetName>,
    ) {
        if self.phase != Phase::Unread {
            return;
        }
        self.phase = Phase::Received;
        // N.B. a failed call alone shows no outage: the store refuses calls beyond its rates, such as
        // those of hosts that all take over from a lost reader.
        let unread_min_ms = if self.has_store_failed {
            EXPIRY_MIN_MS - DETECTION_MAX_MS
        } else {
            EXPIRY_MIN_MS
        };
        if now_ms >= self.unread_since_ms + unread_min_ms {
            self.targets.extend(missing);
        }
    }

    /// Records that a target's entry is there again.
    pub fn record_listed(&mut self, target: &TargetName) {
        self.targets.swap_remove(target);
    }

    /// Returns true if a target's entry is kept though it is missing.
    pub fn contains(&self, target: &TargetName) -> bool {
        self.targets.contains(target)
    }

    /// Returns true while entries may be missing though their targets are running.
    pub fn is_open(&self) -> bool {
        self.phase != Phase::Read
    }

    /// Ends the grace.
    pub fn end(&mut self) {
        self.phase = Phase::Read;
        self.targets.clear();
    }
}
