//! Reads the accepted settings and their changes from the platform.

use toucancleat_core::prelude::*;
use toucancleat_core::settings::store::{self, ReadPlan, Snapshot, VersionedHead};
use toucancleat_core::settings::{Change, Tree};
use toucancleat_entry::platform::{PlatformClient, Row};

use crate::error::Error;

/// The latest accepted tree, with the head on which a commit is conditional.
#[derive(Clone, Debug)]
pub(super) struct LatestTree {
    /// The head and its version in the table.
    pub versioned_head: VersionedHead,
    /// The tree of the head's revision.
    pub tree: Tree,
}

/// A tree to show, from the platform or from a file.
#[derive(Clone, Debug)]
pub(super) struct ShownTree {
    /// The revision; `None` for a file.
    pub revision: Option<Revision>,
    /// The tree.
    pub tree: Tree,
}

impl From<LatestTree> for ShownTree {
    fn from(latest: LatestTree) -> Self {
        ShownTree {
            revision: Some(latest.versioned_head.head.revision),
            tree: latest.tree,
        }
    }
}

/// Reads the latest accepted tree.
pub(super) async fn read_latest(platform: &PlatformClient) -> Result<LatestTree, Error> {
    let versioned_head = read_head(platform).await?;
    let tree = read_tree(platform, versioned_head.head.revision).await?;
    Ok(LatestTree {
        versioned_head,
        tree,
    })
}

/// Reads the tree of an earlier revision.
pub(super) async fn read_revision(
    platform: &PlatformClient,
    latest: &LatestTree,
    revision: Revision,
) -> Result<Tree, Error> {
    if revision > latest.versioned_head.head.revision {
        let latest = latest.versioned_head.head.revision;
        let message =
            format!("expected a revision up to the latest, {latest}; found {revision}");
        return Err(Error::not_found(message));
    }
    read_tree(platform, revision).await
}

/// Reads up to `limit` of the latest changes, latest first.
pub(super) async fn read_latest_changes(
    platform: &PlatformClient,
    limit: u64,
) -> Result<Vec<Change>, Error> {
    let head = read_head(platform).await?.head.revision;
    let mut changes = Vec::new();
    let mut last = head;
    while last.0 > 0 && (changes.len() as u64) < limit {
        let wanted = store::READ_ROWS_MAX.min(limit - changes.len() as u64);
        let first = last.0.saturating_sub(wanted);
        let mut read = read_changes_between(platform, Revision(first), last).await?;
        read.reverse();
        changes.extend(read);
        last = Revision(first);
    }
    Ok(changes)
}

/// Reads one change.
pub(super) async fn read_change(
    platform: &PlatformClient,
    revision: Revision,
) -> Result<Change, Error> {
    let mut read =
        read_changes_between(platform, Revision(revision.0 - 1), revision).await?;
    read.pop().ok_or_else(|| change_unreadable(revision))
}

async fn read_head(platform: &PlatformClient) -> Result<VersionedHead, Error> {
    let rows = read_rows(platform, &[store::HEAD_ROW.to_owned()]).await?;
    store::read_head(&rows).ok_or_else(|| {
        Error::unreachable(
            "could not decode the head of the settings on the platform".to_owned(),
        )
    })
}

async fn read_tree(platform: &PlatformClient, revision: Revision) -> Result<Tree, Error> {
    let mut known: Option<(Revision, Tree)> = None;
    loop {
        match store::read_plan(known.as_ref().map(|(revision, _)| *revision), revision) {
            ReadPlan::UpToDate => {
                return Ok(known.map(|(_, tree)| tree).unwrap_or_default());
            }
            ReadPlan::Snapshots(names) => {
                known = Some(read_snapshot(platform, &names).await?)
            }
            ReadPlan::Changes(names) => {
                let (from, tree) = known.take().unwrap_or_default();
                let rows = read_rows(platform, &names).await?;
                known =
                    Some(apply_changes(from, tree, store::read_changes(from, &rows))?);
            }
            _ => return Err(change_unreadable(revision)),
        }
    }
}

/// Reads the first of the snapshots that exists and can be decoded, or else returns the empty
/// tree of revision 0, from which all changes have to be read.
async fn read_snapshot(
    platform: &PlatformClient,
    names: &[String],
) -> Result<(Revision, Tree), Error> {
    for name in names {
        let object = platform.get_object(name).await;
        let object = object.map_err(|error| Error::unreachable(error.to_string()))?;
        let snapshot =
            object.and_then(|bytes| serde_json::from_slice::<Snapshot>(&bytes).ok());
        if let Some(snapshot) = snapshot {
            return Ok((snapshot.revision, snapshot.tree));
        }
    }
    Ok((Revision(0), Tree::default()))
}

fn apply_changes(
    from: Revision,
    mut tree: Tree,
    changes: Vec<Change>,
) -> Result<(Revision, Tree), Error> {
    let Some(last) = changes.last().map(|change| change.revision) else {
        return Err(change_unreadable(Revision(from.0 + 1)));
    };
    for change in changes {
        tree = tree.apply(&change.edits)?.tree;
    }
    Ok((last, tree))
}

async fn read_changes_between(
    platform: &PlatformClient,
    after: Revision,
    last: Revision,
) -> Result<Vec<Change>, Error> {
    let names: Vec<String> = (after.0 + 1..=last.0)
        .map(Revision)
        .map(store::change_row)
        .collect();
    let changes = store::read_changes(after, &read_rows(platform, &names).await?);
    match changes.last() {
        Some(change) if change.revision == last => Ok(changes),
        read => Err(change_unreadable(Revision(
            read.map_or(after, |change| change.revision).0 + 1,
        ))),
    }
}

async fn read_rows(
    platform: &PlatformClient,
    names: &[String],
) -> Result<Vec<store::Row>, Error> {
    let rows = platform.get_rows(store::TABLE, names).await;
    let rows = rows.map_err(|error| Error::unreachable(error.to_string()))?;
    Ok(rows.into_iter().map(to_store_row).collect())
}

pub(super) fn to_store_row(row: Row) -> store::Row {
    store::Row {
        row: row.row,
        version: row.version,
        value: row.value,
    }
}

fn change_unreadable(revision: Revision) -> Error {
    Error::unreachable(format!(
        "could not read change {revision} from the settings table: the row is missing or invalid"
    ))
}
