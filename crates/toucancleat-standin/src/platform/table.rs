//! The table service's rows and their transactions.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The largest number of rows that one scan returns.
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
    /// Says whether a condition or write names the table.
    pub(crate) fn touches(&self, table: &str) -> bool {
        self.conditions.iter().any(|c| c.table == table) || self.writes_to(table)
    }

    /// Says whether a write names the table.
    pub(crate) fn writes_to(&self, table: &str) -> bool {
        self.writes.iter().any(|w| w.table == table)
    }
}

/// A version that a row must have.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Condition {
    table: String,
    row: String,
    version: Option<u64>,
}

/// A row's new value, or its deletion.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Write {
    table: String,
    row: String,
    value: Option<Value>,
}

/// The state of a row whose condition failed.
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
    tables: BTreeMap<String, BTreeMap<String, Stored>>,
    /// One counter serves all rows, so that a row deleted and made again never has a
    /// version that an old reader still holds.
    last_version: u64,
}

#[derive(Debug)]
struct Stored {
    version: u64,
    value: Value,
}

impl Tables {
    /// Applies all writes, or returns the rows whose conditions failed.
    pub(crate) fn transact(
        &mut self,
        transaction: &Transaction,
    ) -> Result<Vec<u64>, Vec<Conflict>> {
        let conflicts: Vec<Conflict> = transaction
            .conditions
            .iter()
            .filter_map(|condition| self.conflict(condition))
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

    /// Returns the rows under a prefix in the order of their names.
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

    fn stored(&self, table: &str, row: &str) -> Option<&Stored> {
        self.tables.get(table)?.get(row)
    }

    fn conflict(&self, condition: &Condition) -> Option<Conflict> {
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
        let stored = Stored {
            version: self.last_version,
            value: value.clone(),
        };
        table.insert(write.row.clone(), stored);
        self.last_version
    }
}

fn row(name: &str, stored: &Stored) -> Row {
    Row {
        row: name.to_owned(),
        version: stored.version,
        value: stored.value.clone(),
    }
}
