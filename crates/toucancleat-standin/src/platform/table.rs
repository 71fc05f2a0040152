//! Tables of the table service and their transactions.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum number of rows that one scan returns.
const SCAN_LIMIT_ROWS: usize = 1_000;

/// The body of `POST /v1/table/transact`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Transaction {
    #[serde(default)]
    pub(crate) conditions: Vec<Condition>,
    #[serde(default)]
    pub(crate) writes: Vec<Write>,
}

impl Transaction {
    /// Returns true if a condition or write is on the table.
    pub(crate) fn touches(&self, table: &str) -> bool {
        self.conditions.iter().any(|c| c.table == table) || self.writes_to(table)
    }

    /// Returns true if a write is to the table.
    pub(crate) fn writes_to(&self, table: &str) -> bool {
        self.writes.iter().any(|w| w.table == table)
    }
}

/// Condition that a row has a version, or doesn't exist if it is `None`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Condition {
    table: String,
    row: String,
    version: Option<u64>,
}

/// Write of a row's value, or its deletion if the value is `None`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Write {
    table: String,
    row: String,
    value: Option<Value>,
}

/// Current state of a row whose condition failed.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Conflict {
    table: String,
    row: String,
    version: Option<u64>,
    value: Option<Value>,
}

/// A row as a read returns it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    row: String,
    version: u64,
    value: Value,
}

/// The body of `POST /v1/table/get`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Get {
    table: String,
    rows: Vec<String>,
}

/// The body of `POST /v1/table/scan`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Scan {
    table: String,
    #[serde(default)]
    prefix: String,
    after: Option<String>,
    limit: Option<usize>,
}

/// All tables.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    tables: BTreeMap<String, BTreeMap<String, StoredRow>>,
    /// Last version of all rows. The rows share one counter, so that a row that is
    /// deleted and created again never gets a version that an earlier reader still holds.
    last_version: u64,
}

#[derive(Debug)]
struct StoredRow {
    version: u64,
    value: Value,
}

impl Tables {
    /// Applies all writes and returns the new versions, 0 for a deleted row. The error is
    /// the rows whose conditions failed; then nothing is applied.
    pub(crate) fn transact(
        &mut self,
        transaction: &Transaction,
    ) -> Result<Vec<u64>, Vec<Conflict>> {
        let conflicts: Vec<Conflict> = transaction
            .conditions
            .iter()
            .filter_map(|condition| self.check_condition(condition))
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        Ok(transaction.writes.iter().map(|w| self.write(w)).collect())
    }

    /// Returns the named rows that exist.
    pub(crate) fn get(&self, get: &Get) -> Vec<Row> {
        let Some(table) = self.tables.get(&get.table) else {
            return Vec::new();
        };
        get.rows
            .iter()
            .filter_map(|name| Some(row(name, table.get(name)?)))
            .collect()
    }

    /// Returns the rows whose names have a prefix, in the order of their names.
    pub(crate) fn scan(&self, scan: &Scan) -> Vec<Row> {
        let Some(table) = self.tables.get(&scan.table) else {
            return Vec::new();
        };
        let start = match &scan.after {
            Some(after) if *after >= scan.prefix => Bound::Excluded(after.as_str()),
            _ => Bound::Included(scan.prefix.as_str()),
        };
        table
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(name, _)| name.starts_with(&scan.prefix))
            .take(scan.limit.unwrap_or(SCAN_LIMIT_ROWS).min(SCAN_LIMIT_ROWS))
            .map(|(name, stored)| row(name, stored))
            .collect()
    }

    /// Returns the value of one row.
    pub(crate) fn value(&self, table: &str, row: &str) -> Option<Value> {
        Some(self.stored(table, row)?.value.clone())
    }

    fn stored(&self, table: &str, row: &str) -> Option<&StoredRow> {
        self.tables.get(table)?.get(row)
    }

    fn check_condition(&self, condition: &Condition) -> Option<Conflict> {
        let present = self.stored(&condition.table, &condition.row);
        let version = present.map(|stored| stored.version);
        if version == condition.version {
            return None;
        }
        Some(Conflict {
            table: condition.table.clone(),
            row: condition.row.clone(),
            version,
            value: present.map(|stored| stored.value.clone()),
        })
    }

    fn write(&mut self, write: &Write) -> u64 {
        let table = self.tables.entry(write.table.clone()).or_default();
        let Some(value) = &write.value else {
            table.remove(&write.row);
            return 0;
        };
        self.last_version += 1;
        let stored = StoredRow {
            version: self.last_version,
            value: value.clone(),
        };
        table.insert(write.row.clone(), stored);
        self.last_version
    }
}

fn row(name: &str, stored: &StoredRow) -> Row {
    Row {
        row: name.to_owned(),
        version: stored.version,
        value: stored.value.clone(),
    }
}
