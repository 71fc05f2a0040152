//! The timeline: a causally ordered log of the decisions and events at all entry hosts.
//!
//! Each host keeps a bounded ring buffer of records with stamps of a hybrid logical
//! clock. Operators fetch the records of all hosts and merge them. See
//! docs/OPERATING.md, "The timeline".

mod clock;
mod filter;
mod kind;
mod record;
mod ring;

pub use self::clock::{HybridClock, Stamp};
pub use self::filter::{Filter, merge, records_related_to};
pub use self::kind::RecordKind;
pub use self::record::{Entry, Field, FieldValue, Record};
pub use self::ring::{Page, Ring};

use std::collections::BTreeMap;

use crate::prelude::*;

/// The timeline of one entry host.
#[derive(Clone, Debug)]
pub struct Timeline {
    host: HostName,
    incarnation: Incarnation,
    clock: HybridClock,
    ring: Ring,
    counts: BTreeMap<RecordKind, u64>,
}

impl Timeline {
    /// Creates an empty timeline whose records use at most `bytes_max` bytes of memory.
    pub fn new(host: HostName, incarnation: Incarnation, bytes_max: usize) -> Self {
        Timeline {
            host,
            incarnation,
            clock: HybridClock::default(),
            ring: Ring::new(bytes_max),
            counts: BTreeMap::new(),
        }
    }

    /// Adds a record with the current stamp.
    pub fn record(&mut self, now_unix_ms: u64, entry: Entry) {
        let stamp = self.clock.tick(now_unix_ms);
        *self.counts.entry(entry.kind).or_default() += 1;
        self.ring.push(stamp, self.host.clone(), entry);
    }

    /// Returns the stamp to send with a message to another host.
    pub fn stamp(&mut self, now_unix_ms: u64) -> Stamp {
        self.clock.tick(now_unix_ms)
    }

    /// Advances the clock past the stamp of a received message, so that later records
    /// of this host are ordered after the records that the sender had made before.
    pub fn observe(&mut self, now_unix_ms: u64, stamp: Stamp) {
        self.clock.observe(now_unix_ms, stamp);
    }

    /// Returns up to `limit` records after a sequence number, oldest first.
    pub fn page(&self, after: u64, limit: usize) -> Page {
        self.ring
            .page(self.host.clone(), self.incarnation, after, limit)
    }

    /// Returns the number of records of each kind, including those dropped.
    pub fn counts(&self) -> impl Iterator<Item = (RecordKind, u64)> {
        self.counts.iter().map(|(kind, count)| (*kind, *count))
    }

    /// Returns the memory used by the records, in bytes.
    pub fn bytes(&self) -> usize {
        self.ring.bytes()
    }
}
