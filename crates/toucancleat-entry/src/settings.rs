//! The spreading's dealings with the platform.

use std::sync::Arc;

use bytes::Bytes;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::Tree;
use toucancleat_core::settings::store::{self, Snapshot};
use toucancleat_core::{Event, spread};

use crate::driver::Input;
use crate::host::Host;
use crate::platform::Row;

/// Reads rows and tells the reducer what they hold.
pub(crate) async fn read_rows(host: Arc<Host>, read: u64, rows: Vec<String>) {
    let found = host.platform.get(store::TABLE, &rows).await;
    if let Err(error) = &found
        && host.settings().is_none()
    {
        log::warn!("there are no settings yet, so no request is taken: {error}");
    }
    let rows = found
        .ok()
        .map(|rows| rows.into_iter().map(store_row).collect());
    tell(&host, spread::Event::RowsRead { read, rows });
}

/// Reads the first snapshot that exists and tells the reducer.
pub(crate) async fn read_snapshot(host: Arc<Host>, read: u64, objects: Vec<String>) {
    let mut snapshot = None;
    for name in objects {
        let found = host.platform.get_object(&name).await.ok().flatten();
        snapshot =
            found.and_then(|bytes| serde_json::from_slice::<Snapshot>(&bytes).ok());
        if snapshot.is_some() {
            break;
        }
    }
    let snapshot = snapshot.map(Box::new);
    tell(&host, spread::Event::SnapshotRead { read, snapshot });
}

/// Stores a tree, so that a host that starts needs few reads.
pub(crate) async fn store_snapshot(host: Arc<Host>, revision: Revision, tree: Arc<Tree>) {
    let snapshot = Snapshot {
        revision,
        tree: tree.as_ref().clone(),
    };
    let body = serde_json::to_vec(&snapshot).expect("settings have string keys");
    let name = store::snapshot_object(revision);
    if let Err(error) = host.platform.put_object(&name, Bytes::from(body)).await {
        log::warn!(revision = revision.0; "the snapshot could not be stored: {error}");
    }
}

fn tell(host: &Host, event: spread::Event) {
    host.tell(Input::Event(Event::Spread(event)));
}

fn store_row(row: Row) -> store::Row {
    store::Row {
        row: row.row,
        version: row.version,
        value: row.value,
    }
}
