//! Executes the effects of the dissemination of settings at the platform.

use std::sync::Arc;

use bytes::Bytes;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::Tree;
use toucancleat_core::settings::store::{self, Snapshot};
use toucancleat_core::{Event, dissemination};

use crate::driver::Input;
use crate::host::Host;
use crate::platform::Row;

/// Reads rows of the table and reports them to the reducer.
pub(crate) async fn read_rows(host: Arc<Host>, read: u64, rows: Vec<String>) {
    let reply = host.platform.get_rows(store::TABLE, &rows).await;
    if let Err(error) = &reply
        && host.settings().is_none()
    {
        log::warn!(
            "no settings could be read yet; refusing requests until then: {error}"
        );
    }
    let rows = reply
        .ok()
        .map(|rows| rows.into_iter().map(store_row).collect());
    notify_dissemination(&host, dissemination::Event::RowsRead { read, rows });
}

/// Reads the first snapshot that exists and reports it to the reducer.
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
    notify_dissemination(&host, dissemination::Event::SnapshotRead { read, snapshot });
}

/// Stores a snapshot of a tree, so that a starting host needs few reads.
pub(crate) async fn store_snapshot(host: Arc<Host>, revision: Revision, tree: Arc<Tree>) {
    let snapshot = Snapshot {
        revision,
        tree: tree.as_ref().clone(),
    };
    let body = serde_json::to_vec(&snapshot).expect("settings have string keys");
    let name = store::snapshot_object(revision);
    if let Err(error) = host.platform.put_object(&name, Bytes::from(body)).await {
        log::warn!(
            revision = revision.0;
            "the settings snapshot could not be stored; continuing without it: {error}"
        );
    }
}

fn notify_dissemination(host: &Host, event: dissemination::Event) {
    host.notify_driver(Input::Event(Event::Dissemination(event)));
}

fn store_row(row: Row) -> store::Row {
    store::Row {
        row: row.row,
        version: row.version,
        value: row.value,
    }
}
