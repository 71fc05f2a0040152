//! Committing a change of the settings.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use tokio::time::Instant;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::store::{
    self, CommitOutcome, Snapshot, Transact, TransactReply,
};
use toucancleat_core::settings::{Change, Edit, Tree, check};
use toucancleat_entry::platform::{self, Condition, Platform, Write};

use super::edit_lines;
use super::read::{Latest, store_row};
use crate::connection::get_all;
use crate::error::Error;
use crate::fleet::Status;
use crate::options::{Commit, Connection, Format};
use crate::output::Output;

/// How long a commit is tried while the platform is away or its replies are lost.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause before a commit with a lost reply is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause that the platform can ask for.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// How long `--wait` waits for a revision to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two looks at the hosts.
const IN_FORCE_POLL: Duration = Duration::from_millis(200);

/// Edits on the tree that the operator saw.
pub(super) struct Proposal {
    /// The tree and its head.
    pub latest: Latest,
    /// What is to change.
    pub edits: Vec<Edit>,
}

/// Checks a proposal whole and commits it.
pub(super) async fn propose(
    connection: &Connection,
    commit: &Commit,
    proposal: Proposal,
) -> Result<(), Error> {
    let Proposal { latest, edits } = proposal;
    let output = Output::stdout(&Format { json: false });
    if edits.is_empty() {
        output.line("nothing to change")?;
        return Ok(());
    }
    let tree = latest.tree.apply(&edits)?.tree;
    refuse_unsound(&tree)?;
    if commit.dry_run {
        output.line(&edit_lines(&edits).join("\n"))?;
        return Ok(());
    }
    let platform = connection.platform()?;
    let revision = accept(&platform, &commit.author, &latest, edits, tree).await?;
    output.line(&format!("revision {revision} accepted"))?;
    if commit.wait {
        wait_in_force(connection, &output, revision).await?;
    }
    Ok(())
}

/// Commits edits whose outcome is a checked tree, and returns their revision.
pub(super) async fn accept(
    platform: &Platform,
    author: &str,
    latest: &Latest,
    edits: Vec<Edit>,
    tree: Tree,
) -> Result<Revision, Error> {
    let revision = Revision(latest.seen.head.revision.0 + 1);
    let change = Change {
        revision,
        change_id: ChangeId(rand::random()),
        author: author.to_owned(),
        at_unix_ms: now_unix_ms(),
        edits,
    };
    send(
        platform,
        &change,
        &store::commit_request(&change, &latest.seen),
    )
    .await?;
    keep_snapshot(platform, revision, tree).await;
    Ok(revision)
}

fn refuse_unsound(tree: &Tree) -> Result<(), Error> {
    let problems = check(tree);
    if problems.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = problems.iter().map(|problem| problem.to_string()).collect();
    Err(Error::unsound(format!(
        "nothing was changed:\n{}",
        lines.join("\n")
    )))
}

/// Sends the commit until its outcome is known or the time is up.
///
/// Sending it again does no harm: the head's version lets it take effect once at most, and
/// the change id tells whether an earlier sending did.
async fn send(
    platform: &Platform,
    change: &Change,
    request: &Transact,
) -> Result<(), Error> {
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    let mut may_be_accepted = false;
    loop {
        let reply = transact(platform, request).await;
        let pause = match store::interpret_commit_reply(change, &reply) {
            CommitOutcome::Accepted => return Ok(()),
            CommitOutcome::Conflict { other } => {
                return Err(Error::conflict_with(other.as_ref()));
            }
            CommitOutcome::Unavailable { retry_after_ms } => {
                Duration::from_millis(retry_after_ms).min(RETRY_AFTER_MAX)
            }
            _ => {
                may_be_accepted = true;
                RESEND_PAUSE
            }
        };
        if Instant::now() + pause >= deadline {
            return Err(gave_up(change, may_be_accepted));
        }
        tokio::time::sleep(pause).await;
    }
}

fn gave_up(change: &Change, may_be_accepted: bool) -> Error {
    if !may_be_accepted {
        return Error::unreachable(
            "nothing was changed: the platform is away".to_owned(),
        );
    }
    Error::unknown(format!(
        "the platform's replies are lost: revision {} may have been accepted; look for change \
         {} in `toucancleat settings log --json`",
        change.revision, change.change_id
    ))
}

async fn transact(platform: &Platform, request: &Transact) -> TransactReply {
    let conditions: Vec<Condition> = request.conditions.iter().map(condition).collect();
    let writes: Vec<Write> = request.writes.iter().map(write).collect();
    match platform.transact(&conditions, &writes).await {
        platform::TransactReply::Applied { .. } => TransactReply::Applied,
        platform::TransactReply::Conflict { rows } => {
            TransactReply::Conflict(rows.into_iter().map(store_row).collect())
        }
        platform::TransactReply::Rejected { retry_after_ms } => {
            TransactReply::Unavailable { retry_after_ms }
        }
        platform::TransactReply::Unreachable => TransactReply::Unavailable {
            retry_after_ms: RESEND_PAUSE.as_millis() as u64,
        },
        _ => TransactReply::Unknown,
    }
}

fn condition(condition: &store::Condition) -> Condition {
    Condition {
        table: condition.table.clone(),
        row: condition.row.clone(),
        version: condition.version,
    }
}

fn write(write: &store::Write) -> Write {
    let value = Some(write.value.clone());
    Write {
        table: write.table.clone(),
        row: write.row.clone(),
        value,
    }
}

/// Keeps the whole tree now and then, so that a new reader needs few reads.
///
/// A snapshot that can't be written does no harm: readers go on from the one before.
async fn keep_snapshot(platform: &Platform, revision: Revision, tree: Tree) {
    if !store::snapshot_due(revision) {
        return;
    }
    let snapshot = Snapshot { revision, tree };
    let body = serde_json::to_vec(&snapshot).expect("a tree has string keys");
    let name = store::snapshot_object(revision);
    if let Err(error) = platform.put_object(&name, Bytes::from(body)).await {
        log::warn!(revision = revision.0; "the snapshot could not be kept: {error}");
    }
}

async fn wait_in_force(
    connection: &Connection,
    output: &Output,
    revision: Revision,
) -> Result<(), Error> {
    let started = Instant::now();
    loop {
        let hosts = connection.hosts().await?;
        let replies = get_all::<Status>(&hosts, "/status").await;
        let behind = hosts.iter().zip(replies).filter(|(_, reply)| match reply {
            Ok(status) => status.revision < Some(revision.0),
            Err(_) => true,
        });
        let behind: Vec<String> = behind.map(|(host, _)| host.label()).collect();
        let waited_ms = started.elapsed().as_millis();
        if behind.is_empty() {
            let count = hosts.len();
            output.line(&format!(
                "in force at {count} entry hosts after {waited_ms} ms"
            ))?;
            return Ok(());
        }
        if started.elapsed() >= IN_FORCE_TIMEOUT {
            let message = format!("accepted, but not in force at {}", behind.join(", "));
            return Err(Error::unreachable(message));
        }
        tokio::time::sleep(IN_FORCE_POLL).await;
    }
}

fn now_unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_millis() as u64
}
