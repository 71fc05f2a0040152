//! Executes the effects of the claims at the platform's table and object store.

use std::sync::Arc;

use bytes::Bytes;
use toucancleat_core::Event;
use toucancleat_core::claims::{
    self, ConditionalWrite, ConflictRow, StoredRow, TransactionOutcome,
};
use toucancleat_core::prelude::*;

use crate::driver::Input;
use crate::host::Host;
use crate::platform::{Condition, Row, TransactionReply, Write};

/// Sends the writes of one transaction to the table and reports its outcome to the
/// reducer.
pub(crate) async fn transact(
    host: Arc<Host>,
    transaction: u64,
    writes: Vec<ConditionalWrite>,
) {
    let conditions: Vec<_> = writes.iter().map(condition).collect();
    let writes: Vec<_> = writes.iter().map(write).collect();
    let outcome = match host.platform.commit_transaction(&conditions, &writes).await {
        TransactionReply::Applied { versions } => {
            TransactionOutcome::Applied { versions }
        }
        TransactionReply::Conflict { rows } => conflict(rows),
        TransactionReply::Rejected { retry_after_ms } => {
            TransactionOutcome::Rejected { retry_after_ms }
        }
        TransactionReply::Unreachable => TransactionOutcome::Unreachable,
        TransactionReply::Unknown => TransactionOutcome::Unknown,
    };
    notify_claims(
        &host,
        claims::Event::TransactionReply {
            transaction,
            outcome,
        },
    );
}

/// Reads rows of the table and reports them to the reducer.
pub(crate) async fn read(host: Arc<Host>, read: u64, rows: Vec<String>) {
    let reply = host.platform.get_rows(claims::TABLE, &rows).await;
    let rows = reply
        .ok()
        .and_then(|rows| rows.into_iter().map(present_row).collect());
    notify_claims(&host, claims::Event::ReadReply { read, rows });
}

/// Stores a large answer as an object and reports the outcome to the reducer.
pub(crate) async fn put_answer(
    host: Arc<Host>,
    request: RequestId,
    name: String,
    body: Vec<u8>,
) {
    let stored = host
        .platform
        .put_object(&name, Bytes::from(body))
        .await
        .is_ok();
    notify_claims(&host, claims::Event::ObjectStored { request, stored });
}

fn notify_claims(host: &Host, event: claims::Event) {
    host.notify_driver(Input::Event(Event::Claims(event)));
}

fn condition(write: &ConditionalWrite) -> Condition {
    Condition {
        table: claims::TABLE.to_owned(),
        row: write.row.clone(),
        version: write.version,
    }
}

fn write(write: &ConditionalWrite) -> Write {
    let value = serde_json::to_value(&write.value).expect("a claim's row is JSON");
    Write {
        table: claims::TABLE.to_owned(),
        row: write.row.clone(),
        value: Some(value),
    }
}

fn conflict(rows: Vec<Row>) -> TransactionOutcome {
    let rows = rows.into_iter().map(conflict_row).collect();
    TransactionOutcome::Conflict { rows }
}

fn conflict_row(row: Row) -> ConflictRow {
    let value = serde_json::from_value(row.value).ok();
    ConflictRow {
        row: row.row,
        current: row.version.map(|version| (version, value)),
    }
}

fn present_row(row: Row) -> Option<StoredRow> {
    Some(StoredRow {
        row: row.row,
        version: row.version?,
        value: serde_json::from_value(row.value).ok(),
    })
}
