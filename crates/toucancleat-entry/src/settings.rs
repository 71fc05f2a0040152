//! Reading the settings from the platform.

use std::sync::Arc;
use std::time::Duration;

use toucancleat_core::Event;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::store::{self, ReadPlan, Snapshot};
use toucancleat_core::settings::{InForce, Tree};

use crate::driver::Input;
use crate::error::Error;
use crate::host::Host;
use crate::platform::{Platform, Row};

/// Time between two looks at the head.
const POLL: Duration = Duration::from_millis(500);

/// Reads the settings again and again, and tells the driver each newer revision.
pub(crate) async fn poll(host: Arc<Host>) {
    let mut have: Option<(Revision, Tree)> = None;
    loop {
        match read_newer(&host.platform, &mut have).await {
            Ok(true) => {
                if let Some((revision, tree)) = &have {
                    let settings = Arc::new(InForce::new(*revision, tree.clone()));
                    host.tell(Input::Event(Event::Settings(settings)));
                }
            }
            Ok(false) => {}
            Err(error) if have.is_none() => {
                log::warn!("no settings yet, so no request is taken: {error}");
            }
            Err(error) => log::warn!("the settings could not be read: {error}"),
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn read_newer(
    platform: &Platform,
    have: &mut Option<(Revision, Tree)>,
) -> Result<bool, Error> {
    let rows = platform
        .get(store::TABLE, &[store::HEAD_ROW.to_owned()])
        .await?;
    let rows: Vec<_> = rows.into_iter().map(store_row).collect();
    let unusable = || Error::platform("settings", "the head can't be read".to_owned());
    let head = store::read_head(&rows).ok_or_else(unusable)?.head.revision;
    let mut newer = false;
    loop {
        let had = have.as_ref().map(|(revision, _)| *revision);
        let reached = match store::read_plan(had, head) {
            ReadPlan::UpToDate => return Ok(newer),
            ReadPlan::Changes(names) => read_changes(platform, &names, have).await?,
            ReadPlan::Snapshots(names) => read_snapshot(platform, &names, have).await?,
            _ => false,
        };
        if !reached {
            let detail = format!("revision {head} can't be reached");
            return Err(Error::platform("settings", detail));
        }
        newer = true;
    }
}

async fn read_changes(
    platform: &Platform,
    names: &[String],
    have: &mut Option<(Revision, Tree)>,
) -> Result<bool, Error> {
    let rows = platform.get(store::TABLE, names).await?;
    let rows: Vec<_> = rows.into_iter().map(store_row).collect();
    let (mut revision, mut tree) = have.take().unwrap_or_default();
    let changes = store::read_changes(revision, &rows);
    let reached = !changes.is_empty();
    for change in changes {
        match tree.apply(&change.edits) {
            Ok(applied) => tree = applied.tree,
            Err(error) => log::error!(
                revision = change.revision.0; "a change can't be applied: {error}"
            ),
        }
        revision = change.revision;
    }
    *have = Some((revision, tree));
    Ok(reached)
}

async fn read_snapshot(
    platform: &Platform,
    names: &[String],
    have: &mut Option<(Revision, Tree)>,
) -> Result<bool, Error> {
    for name in names {
        let Some(bytes) = platform.get_object(name).await? else {
            continue;
        };
        if let Ok(snapshot) = serde_json::from_slice::<Snapshot>(&bytes) {
            *have = Some((snapshot.revision, snapshot.tree));
            return Ok(true);
        }
    }
    *have = Some((Revision(0), Tree::default()));
    Ok(true)
}

fn store_row(row: Row) -> store::Row {
    store::Row {
        row: row.row,
        version: row.version,
        value: row.value,
    }
}
