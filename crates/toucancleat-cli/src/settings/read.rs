//! Reading the accepted settings from the platform.

use toucancleat_core::prelude::*;
use toucancleat_core::settings::store::{self, ReadPlan, SeenHead, Snapshot};
use toucancleat_core::settings::{Change, Tree};
use toucancleat_entry::platform::{Platform, Row};

use crate::error::Error;

/// The latest accepted tree, with the head that a commit has to name.
#[derive(Clone, Debug)]
pub(super) struct Latest {
    /// The head.
    pub seen: SeenHead,
    /// The tree of the head's revision.
    pub tree: Tree,
}

/// A tree to show; a file has no revision.
#[derive(Clone, Debug)]
pub(super) struct Accepted {
    /// The revision.
    pub revision: Option<Revision>,
    /// The tree.
    pub tree: Tree,
}

impl From<Latest> for Accepted {
    fn from(latest: Latest) -> Self {
        Accepted {
            revision: Some(latest.seen.head.revision),
            tree: latest.tree,
        }
    }
}

/// Reads the latest accepted tree.
pub(super) async fn latest(platform: &Platform) -> Result<Latest, Error> {
    let seen = head(platform).await?;
    let tree = tree(platform, seen.head.revision).await?;
    Ok(Latest { seen, tree })
}

/// Reads the tree of an earlier revision.
pub(super) async fn at(
    platform: &Platform,
    latest: &Latest,
    revision: Revision,
) -> Result<Tree, Error> {
    if revision > latest.seen.head.revision {
        let latest = latest.seen.head.revision;
        let message = format!("there is no revision {revision}; the latest is {latest}");
        return Err(Error::not_found(message));
    }
    tree(platform, revision).await
}

/// Reads the latest changes, latest first.
pub(super) async fn changes(
    platform: &Platform,
    limit: u64,
) -> Result<Vec<Change>, Error> {
    let head = head(platform).await?.head.revision;
    let mut changes = Vec::new();
    let mut last = head;
    while last.0 > 0 && (changes.len() as u64) < limit {
        let wanted = store::READ_ROWS_MAX.min(limit - changes.len() as u64);
        let first = last.0.saturating_sub(wanted);
        let mut read = changes_between(platform, Revision(first), last).await?;
        read.reverse();
        changes.extend(read);
        last = Revision(first);
    }
    Ok(changes)
}

/// Reads one change.
pub(super) async fn change(
    platform: &Platform,
    revision: Revision,
) -> Result<Change, Error> {
    let mut read = changes_between(platform, Revision(revision.0 - 1), revision).await?;
    read.pop().ok_or_else(|| gap(revision))
}

async fn head(platform: &Platform) -> Result<SeenHead, Error> {
    let rows = get(platform, &[store::HEAD_ROW.to_owned()]).await?;
    store::read_head(&rows)
        .ok_or_else(|| Error::unreachable("the settings' head can't be read".to_owned()))
}

async fn tree(platform: &Platform, revision: Revision) -> Result<Tree, Error> {
    let mut have: Option<(Revision, Tree)> = None;
    loop {
        match store::read_plan(have.as_ref().map(|(revision, _)| *revision), revision) {
            ReadPlan::UpToDate => {
                return Ok(have.map(|(_, tree)| tree).unwrap_or_default());
            }
            ReadPlan::Snapshots(names) => have = Some(snapshot(platform, &names).await?),
            ReadPlan::Changes(names) => {
                let (from, tree) = have.take().unwrap_or_default();
                let rows = get(platform, &names).await?;
                have = Some(apply_all(from, tree, store::read_changes(from, &rows))?);
            }
            _ => return Err(gap(revision)),
        }
    }
}

/// Reads the first snapshot that is there; all changes have to be read when none is.
async fn snapshot(
    platform: &Platform,
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

fn apply_all(
    from: Revision,
    mut tree: Tree,
    changes: Vec<Change>,
) -> Result<(Revision, Tree), Error> {
    let Some(last) = changes.last().map(|change| change.revision) else {
        return Err(gap(Revision(from.0 + 1)));
    };
    for change in changes {
        tree = tree.apply(&change.edits)?.tree;
    }
    Ok((last, tree))
}

async fn changes_between(
    platform: &Platform,
    after: Revision,
    last: Revision,
) -> Result<Vec<Change>, Error> {
    let names: Vec<String> = (after.0 + 1..=last.0)
        .map(Revision)
        .map(store::change_row)
        .collect();
    let changes = store::read_changes(after, &get(platform, &names).await?);
    match changes.last() {
        Some(change) if change.revision == last => Ok(changes),
        read => Err(gap(Revision(
            read.map_or(after, |change| change.revision).0 + 1,
        ))),
    }
}

async fn get(platform: &Platform, names: &[String]) -> Result<Vec<store::Row>, Error> {
    let rows = platform.get(store::TABLE, names).await;
    let rows = rows.map_err(|error| Error::unreachable(error.to_string()))?;
    Ok(rows.into_iter().map(store_row).collect())
}

pub(super) fn store_row(row: Row) -> store::Row {
    store::Row {
        row: row.row,
        version: row.version,
        value: row.value,
    }
}

fn gap(revision: Revision) -> Error {
    Error::unreachable(format!("change {revision} can't be read from the table"))
}
