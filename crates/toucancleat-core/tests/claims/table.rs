//! A table in memory whose replies can be lost, late or refused.

use std::collections::VecDeque;

use indexmap::IndexMap;
use toucancleat_core::claims::{
    ConditionalWrite, ConflictRow, Effect, Event, PresentRow, Row, RowState,
    TransactOutcome,
};

/// What goes wrong with one question.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    LostBefore,
    LostAfter,
    /// The reply is lost, and the write takes effect with the next question.
    Late,
    Refused,
}

#[derive(Debug, Default)]
pub struct Table {
    rows: IndexMap<String, (u64, Row)>,
    version: u64,
    late: Vec<Vec<ConditionalWrite>>,
    pub faults: VecDeque<Fault>,
}

impl Table {
    /// Replies to a question; `None` for an effect that is none.
    pub fn answer(&mut self, effect: &Effect) -> Option<Event> {
        match effect {
            Effect::Transact { transact, writes } => {
                let outcome = self.transact(writes);
                Some(Event::TransactReply {
                    transact: *transact,
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

    fn transact(&mut self, writes: &[ConditionalWrite]) -> TransactOutcome {
        match self.faults.pop_front() {
            Some(Fault::LostBefore) => TransactOutcome::Unknown,
            Some(Fault::LostAfter) => {
                self.apply(writes);
                TransactOutcome::Unknown
            }
            Some(Fault::Late) => {
                self.late.push(writes.to_vec());
                TransactOutcome::Unknown
            }
            Some(Fault::Refused) => TransactOutcome::Rejected {
                retry_after_ms: 2_000,
            },
            None => {
                let outcome = self.apply(writes);
                for writes in std::mem::take(&mut self.late) {
                    self.apply(&writes);
                }
                outcome
            }
        }
    }

    fn apply(&mut self, writes: &[ConditionalWrite]) -> TransactOutcome {
        let fails = |write: &&ConditionalWrite| {
            self.rows.get(&write.row).map(|(version, _)| *version) != write.version
        };
        let failed: Vec<_> = writes.iter().filter(fails).collect();
        if !failed.is_empty() {
            let conflict = |write: &&ConditionalWrite| ConflictRow {
                row: write.row.clone(),
                present: self.rows.get(&write.row).cloned().map(readable),
            };
            let rows = failed.iter().map(conflict).collect();
            return TransactOutcome::Conflict { rows };
        }
        let versions = writes.iter().map(|write| self.write(write)).collect();
        TransactOutcome::Applied { versions }
    }

    fn write(&mut self, write: &ConditionalWrite) -> u64 {
        self.version += 1;
        self.rows
            .insert(write.row.clone(), (self.version, write.value.clone()));
        self.version
    }

    fn read(&mut self, names: &[String]) -> Option<Vec<PresentRow>> {
        if self.faults.pop_front().is_some() {
            return None;
        }
        let present = |name: &String| {
            let (version, row) = self.rows.get(name)?.clone();
            Some(PresentRow {
                row: name.clone(),
                version,
                value: Some(row),
            })
        };
        Some(names.iter().filter_map(present).collect())
    }
}

fn readable((version, row): (u64, Row)) -> (u64, Option<Row>) {
    (version, Some(row))
}
