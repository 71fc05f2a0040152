//! A bounded ring buffer of timeline records.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::clock::Stamp;
use super::record::{Entry, Record};
use crate::prelude::*;

/// Memory of a record without its fields and texts. It is twice the record's size,
/// since a deque may have as much spare capacity as it has records.
const RECORD_BYTES: usize = 2 * size_of::<Record>();

/// The latest records of one host, within a memory limit.
#[derive(Clone, Debug)]
pub struct Ring {
    records: VecDeque<Record>,
    bytes: usize,
    bytes_max: usize,
    next_sequence: u64,
}

/// A page of the records of one host, as the operators' port returns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The host.
    pub host: HostName,
    /// The incarnation of the host. Sequence numbers restart with each incarnation.
    pub incarnation: Incarnation,
    /// Number of records after the requested position that the ring no longer holds.
    pub dropped: u64,
    /// The sequence number after which the next page starts.
    pub next_after: u64,
    /// The records, oldest first.
    pub records: Vec<Record>,
}

impl Ring {
    /// Creates an empty ring whose records use at most `bytes_max` bytes of memory.
    pub fn new(bytes_max: usize) -> Self {
        Ring {
            records: VecDeque::new(),
            bytes: 0,
            bytes_max,
            next_sequence: 1,
        }
    }

    /// Adds a record and drops the oldest records that exceed the memory limit.
    pub fn push(&mut self, stamp: Stamp, host: HostName, entry: Entry) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let record = Record {
            stamp,
            host,
            sequence,
            entry,
        };
        self.bytes += record_bytes(&record);
        self.records.push_back(record);
        while self.bytes > self.bytes_max {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.bytes -= record_bytes(&oldest);
        }
    }

    /// Returns up to `limit` records after a sequence number, oldest first.
    pub fn page(
        &self,
        host: HostName,
        incarnation: Incarnation,
        after: u64,
        limit: usize,
    ) -> Page {
        let first_sequence = self.next_sequence - self.records.len() as u64;
        let dropped = first_sequence.saturating_sub(after.saturating_add(1));
        let skip = after.saturating_add(1).saturating_sub(first_sequence);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let records: Vec<Record> = self
            .records
            .iter()
            .skip(skip)
            .take(limit)
            .cloned()
            .collect();
        let next_after = match records.last() {
            Some(last) => last.sequence,
            None => after.max(first_sequence - 1),
        };
        Page {
            host,
            incarnation,
            dropped,
            next_after,
            records,
        }
    }

    /// Returns the memory used by the records, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn record_bytes(record: &Record) -> usize {
    RECORD_BYTES + record.entry.heap_bytes()
}
