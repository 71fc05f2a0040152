//! The settings of the tests and their commits to the stand-in of the platform.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::json;
use sha2::{Digest, Sha256};
use toucancleat_core::prelude::*;
use toucancleat_core::settings::store::{self, VersionedHead};
use toucancleat_core::settings::{Change, Edit, Tree};
use toucancleat_entry::platform::{
    Condition, PlatformClient, Row, TransactionReply, Write,
};

/// The API key of the organisation `ul`.
pub const UL_KEY: &str = "key-of-ul";
/// The API key of the organisation `xt`.
pub const XT_KEY: &str = "key-of-xt";

static CHANGE_IDS: AtomicU64 = AtomicU64::new(1);

/// Returns a tree with a pool of engines, a pool of services and two organisations.
pub fn tree(
    engines: &[(String, String, SocketAddr)],
    services: &[(String, String, SocketAddr)],
) -> Tree {
    let targets = |list: &[(String, String, SocketAddr)]| -> serde_json::Value {
        list.iter()
            .map(|(name, zone, address)| {
                let target = json!({
                    "zone": zone, "address": address.to_string(),
                    "memory_tokens": 65_536, "max_batch": 32,
                });
                (name.clone(), target)
            })
            .collect::<serde_json::Map<_, _>>()
            .into()
    };
    serde_json::from_value(json!({
        "zones": ["upp-a", "upp-b"],
        "pools": {
            "plan-llm": { "class": "model_engine", "targets": targets(engines) },
            "roster-api": { "class": "service", "targets": targets(services) },
        },
        "fleet": {
            "values": { "first_token_timeout_ms": 20_000, "requests_per_second": 10_000.0 },
            "kinds": {
                "draft": { "pool": "plan-llm" },
                "whole-draft": { "pool": "plan-llm", "delivery": "whole" },
                "check": { "pool": "plan-llm", "max_output_tokens": 64 },
                "roster": { "pool": "roster-api" },
                "booking": { "pool": "roster-api", "idempotent": false },
            },
        },
        "live_events": {
            "closure-w49": {
                "starts_at_unix_ms": 4_000_000_000_000_u64,
                "ends_at_unix_ms": 4_000_100_000_000_u64,
                "organisations": {
                    "ul": { "api_key_sha256": [sha256_hex(UL_KEY)] },
                    "xt": { "api_key_sha256": [sha256_hex(XT_KEY)] },
                },
            },
        },
    }))
    .expect("the tree is well formed")
}

/// Commits a tree as the next revision and returns that revision.
pub async fn commit(
    platform: &PlatformClient,
    current: &Tree,
    wanted: &Tree,
) -> Revision {
    commit_edits(platform, current.diff(wanted)).await
}

/// Commits edits as the next revision and returns that revision.
pub async fn commit_edits(platform: &PlatformClient, edits: Vec<Edit>) -> Revision {
    let rows = platform
        .get_rows(store::TABLE, &[store::HEAD_ROW.to_owned()])
        .await;
    let rows: Vec<_> = rows
        .expect("the table answers")
        .into_iter()
        .map(store_row)
        .collect();
    let versioned_head = store::read_head(&rows).expect("the head is readable");
    let change = Change {
        revision: Revision(versioned_head.head.revision.0 + 1),
        change_id: ChangeId(u128::from(CHANGE_IDS.fetch_add(1, Ordering::Relaxed))),
        author: "test".to_owned(),
        at_unix_ms: 1_000,
        edits,
    };
    let reply = send_commit(platform, &change, &versioned_head).await;
    assert!(
        matches!(reply, TransactionReply::Applied { .. }),
        "{reply:?}"
    );
    change.revision
}

/// Sends the transaction of a commit.
pub async fn send_commit(
    platform: &PlatformClient,
    change: &Change,
    versioned_head: &VersionedHead,
) -> TransactionReply {
    let request = store::commit_request(change, versioned_head);
    let conditions: Vec<_> = request
        .conditions
        .into_iter()
        .map(|c| Condition {
            table: c.table,
            row: c.row,
            version: c.version,
        })
        .collect();
    let writes: Vec<_> = request
        .writes
        .into_iter()
        .map(|w| Write {
            table: w.table,
            row: w.row,
            value: Some(w.value),
        })
        .collect();
    platform.commit_transaction(&conditions, &writes).await
}

fn store_row(row: Row) -> store::Row {
    store::Row {
        row: row.row,
        version: row.version,
        value: row.value,
    }
}

fn sha256_hex(key: &str) -> String {
    Sha256::digest(key.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
