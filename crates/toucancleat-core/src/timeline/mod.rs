//! The time line: what every entry host did, in one order.
//!
//! Each host keeps a bounded ring of records with hybrid logical clock stamps. Operators
//! fetch the rings of all hosts and merge them. See docs/OPERATING.md, "The time line".

mod clock;
mod filter;
mod kind;
mod record;
mod ring;

pub use self::clock::{HybridClock, Stamp};
pub use self::filter::{Filter, merge, related_to};
pub use self::kind::RecordKind;
pub use self::record::{Entry, Field, FieldValue, Record};
pub use self::ring::{Page, Ring};

use std::collections::BTreeMap;

use crate::prelude::*;

/// The time line of one entry host.
#[derive(Clone, Debug)]
pub struct Timeline {
    host: HostName,
    incarnation: Incarnation,
    clock: HybridClock,
    ring: Ring,
    counts: BTreeMap<RecordKind, u64>,
}

impl Timeline {
    /// Makes an empty time line that holds at most `bytes_max` of memory.
    pub fn new(host: HostName, incarnation: Incarnation, bytes_max: usize) -> Self {
        Timeline {
            host,
            incarnation,
            clock: HybridClock::default(),
            ring: Ring::new(bytes_max),
            counts: BTreeMap::new(),
        }
    }

    /// Adds a record, stamped now.
    pub fn record(&mut self, now_unix_ms: u64, entry: Entry) {
        let stamp = self.clock.tick(now_unix_ms);
        *self.counts.entry(entry.kind).or_default() += 1;
        self.ring.push(stamp, self.host.clone(), entry);
    }

    /// Returns the stamp that goes with a message to another host.
    pub fn stamp(&mut self, now_unix_ms: u64) -> Stamp {
        self.clock.tick(now_unix_ms)
    }

    /// Takes in the stamp that came with a message, so that what this host records from
    /// now on stands after what the sender had recorded.
    pub fn observe(&mut self, now_unix_ms: u64, stamp: Stamp) {
        self.clock.observe(now_unix_ms, stamp);
    }

    /// Returns the records after a sequence number, oldest first.
    pub fn page(&self, after: u64, limit: usize) -> Page {
        self.ring
            .page(self.host.clone(), self.incarnation, after, limit)
    }

    /// Returns how many records of each kind there were, those dropped included.
    pub fn counts(&self) -> impl Iterator<Item = (RecordKind, u64)> {
        self.counts.iter().map(|(kind, count)| (*kind, *count))
    }

    /// Returns how much memory the records hold.
    pub fn bytes(&self) -> usize {
        self.ring.bytes()
    }
}
