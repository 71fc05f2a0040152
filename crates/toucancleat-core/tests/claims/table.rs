//! An in-memory table whose requests and replies can be lost, delayed or rejected.

use std::collections::VecDeque;

use indexmap::IndexMap;
use toucancleat_core::claims::{
    ConditionalWrite, ConflictRow, Effect, Event, Row, RowState, StoredRow,
    TransactionOutcome,
};

/// A fault of one request to the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    RequestLost,
    ReplyLost,
    /// The reply is lost, and the write is applied after the next transaction without a
    /// fault.
    DelayedWrite,
    Rejected,
}

#[derive(Debug, Default)]
pub struct Table {
    rows: IndexMap<String, (u64, Row)>,
    version: u64,
    delayed_writes: Vec<Vec<ConditionalWrite>>,
    pub faults: VecDeque<Fault>,
}

impl Table {
    /// Returns the reply to an effect on the table or object store; `None` for any other
    /// effect.
    pub fn reply(&mut self, effect: &Effect) -> Option<Event> {
        match effect {
            Effect::Transact {
                transaction,
                writes,
            } => {
                let outcome = self.transact(writes);
                Some(Event::TransactionReply {
                    transaction: *transaction,
                    outcome,
                })
            }
            Effect::Read { read, rows } => {
                let rows = self.read(rows);
                Some(Event::ReadReply { read: *read, rows })
            }
            Effect::PutObject { request, .. } => Some(Event::ObjectStored {
                request: *request,
                stored: true,
            }),
            _ => None,
        }
    }

    pub fn row(&self, name: &str) -> Option<&Row> {
        self.rows.get(name).map(|(_, row)| row)
    }

    pub fn state(&self, name: &str) -> Option<RowState> {
        self.row(name).map(|row| row.state)
    }

    fn transact(&mut self, writes: &[ConditionalWrite]) -> TransactionOutcome {
        match self.faults.pop_front() {
            Some(Fault::RequestLost) => TransactionOutcome::Unknown,
            Some(Fault::ReplyLost) => {
                self.apply(writes);
                TransactionOutcome::Unknown
            }
            Some(Fault::DelayedWrite) => {
                self.delayed_writes.push(writes.to_vec());
                TransactionOutcome::Unknown
            }
            Some(Fault::Rejected) => TransactionOutcome::Rejected {
                retry_after_ms: 2_000,
            },
            None => {
                let outcome = self.apply(writes);
                for writes in std::mem::take(&mut self.delayed_writes) {
                    self.apply(&writes);
                }
                outcome
            }
        }
    }

    fn apply(&mut self, writes: &[ConditionalWrite]) -> TransactionOutcome {
        let is_conflict = |write: &&ConditionalWrite| {
            self.rows.get(&write.row).map(|(version, _)| *version) != write.version
        };
        let conflicts: Vec<_> = writes.iter().filter(is_conflict).collect();
        if !conflicts.is_empty() {
            let conflict = |write: &&ConditionalWrite| ConflictRow {
                row: write.row.clone(),
                current: self.rows.get(&write.row).cloned().map(decoded),
            };
            let rows = conflicts.iter().map(conflict).collect();
            return TransactionOutcome::Conflict { rows };
        }
        let versions = writes.iter().map(|write| self.write(write)).collect();
        TransactionOutcome::Applied { versions }
    }

    fn write(&mut self, write: &ConditionalWrite) -> u64 {
        self.version += 1;
        self.rows
            .insert(write.row.clone(), (self.version, write.value.clone()));
        self.version
    }

    fn read(&mut self, names: &[String]) -> Option<Vec<StoredRow>> {
        if self.faults.pop_front().is_some() {
            return None;
        }
        let stored_row = |name: &String| {
            let (version, row) = self.rows.get(name)?.clone();
            Some(StoredRow {
                row: name.clone(),
                version,
                value: Some(row),
            })
        };
        Some(names.iter().filter_map(stored_row).collect())
    }
}

fn decoded((version, row): (u64, Row)) -> (u64, Option<Row>) {
    (version, Some(row))
}
