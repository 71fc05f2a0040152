//! Commits changes of the settings.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use tokio::time::Instant;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::store::{
    self, CommitOutcome, Snapshot, Transaction, TransactionReply,
};
use toucancleat_core::settings::{Change, Edit, Tree, check};
use toucancleat_entry::platform::{self, Condition, PlatformClient, Write};

use super::format_edits;
use super::read::{LatestTree, to_store_row};
use crate::connection::get_all;
use crate::error::Error;
use crate::fleet::HostStatus;
use crate::options::{Commit, Connection, Format};
use crate::output::Output;

/// Time limit of a commit while the platform is unavailable or its replies are lost.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause before a commit is sent again after a lost reply.
const RESEND_PAUSE: Duration = Duration::from_millis(200);
/// Upper bound of the pause that the platform can request.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// Time limit of `--wait` for a revision to be in force at every entry host.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between polls of the hosts' status.
const IN_FORCE_POLL: Duration = Duration::from_millis(200);

/// Edits based on the latest accepted tree.
pub(super) struct Proposal {
    /// The tree that the edits apply to, with its head.
    pub latest: LatestTree,
    /// The edits to commit.
    pub edits: Vec<Edit>,
}

/// Checks the whole tree that a proposal leads to, and commits the proposal.
///
/// A dry run only shows the edits.
pub(super) async fn propose(
    connection: &Connection,
    commit: &Commit,
    proposal: Proposal,
) -> Result<(), Error> {
    let Proposal { latest, edits } = proposal;
    let output = Output::stdout(&Format { json: false });
    if edits.is_empty() {
        output.write_line("nothing to change")?;
        return Ok(());
    }
    let tree = latest.tree.apply(&edits)?.tree;
    reject_invalid(&tree)?;
    if commit.dry_run {
        output.write_line(&format_edits(&edits).join("\n"))?;
        return Ok(());
    }
    let platform = connection.platform()?;
    let revision = commit_edits(&platform, &commit.author, &latest, edits, tree).await?;
    output.write_line(&format!("revision {revision} accepted"))?;
    if commit.wait {
        wait_until_in_force(connection, &output, revision).await?;
    }
    Ok(())
}

/// Commits edits that lead to a checked `tree`, and returns their revision.
pub(super) async fn commit_edits(
    platform: &PlatformClient,
    author: &str,
    latest: &LatestTree,
    edits: Vec<Edit>,
    tree: Tree,
) -> Result<Revision, Error> {
    let revision = Revision(latest.versioned_head.head.revision.0 + 1);
    let change = Change {
        revision,
        change_id: ChangeId(rand::random()),
        author: author.to_owned(),
        at_unix_ms: now_unix_ms(),
        edits,
    };
    send_until_settled(
        platform,
        &change,
        &store::commit_request(&change, &latest.versioned_head),
    )
    .await?;
    store_snapshot_if_due(platform, revision, tree).await;
    Ok(revision)
}

fn reject_invalid(tree: &Tree) -> Result<(), Error> {
    let problems = check(tree);
    if problems.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = problems.iter().map(|problem| problem.to_string()).collect();
    Err(Error::invalid_settings(format!(
        "nothing was changed:\n{}",
        lines.join("\n")
    )))
}

/// Sends the commit until its outcome is known or [`COMMIT_TIMEOUT`] has passed.
///
/// Sending it again is safe: the condition on the head's version lets it take effect at most
/// once, and the change id shows whether an earlier transaction took effect.
async fn send_until_settled(
    platform: &PlatformClient,
    change: &Change,
    request: &Transaction,
) -> Result<(), Error> {
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    let mut may_have_been_accepted = false;
    loop {
        let reply = transact(platform, request).await;
        let pause = match store::interpret_commit_reply(change, &reply) {
            CommitOutcome::Accepted => return Ok(()),
            CommitOutcome::Conflict { other } => {
                return Err(Error::conflict_with_change(other.as_ref()));
            }
            CommitOutcome::Unavailable { retry_after_ms } => {
                Duration::from_millis(retry_after_ms).min(RETRY_AFTER_MAX)
            }
            _ => {
                may_have_been_accepted = true;
                RESEND_PAUSE
            }
        };
        if Instant::now() + pause >= deadline {
            return Err(commit_timed_out(change, may_have_been_accepted));
        }
        tokio::time::sleep(pause).await;
    }
}

fn commit_timed_out(change: &Change, may_have_been_accepted: bool) -> Error {
    if !may_have_been_accepted {
        return Error::unreachable(
            "nothing was changed: the platform is unavailable; check its address or try again"
                .to_owned(),
        );
    }
    Error::outcome_unknown(format!(
        "the platform's replies were lost: revision {} may have been accepted; look for change \
         {} in `toucancleat settings log --json`",
        change.revision, change.change_id
    ))
}

async fn transact(platform: &PlatformClient, request: &Transaction) -> TransactionReply {
    let conditions: Vec<Condition> =
        request.conditions.iter().map(platform_condition).collect();
    let writes: Vec<Write> = request.writes.iter().map(platform_write).collect();
    match platform.commit_transaction(&conditions, &writes).await {
        platform::TransactionReply::Applied { .. } => TransactionReply::Applied,
        platform::TransactionReply::Conflict { rows } => {
            TransactionReply::Conflict(rows.into_iter().map(to_store_row).collect())
        }
        platform::TransactionReply::Rejected { retry_after_ms } => {
            TransactionReply::Unavailable { retry_after_ms }
        }
        platform::TransactionReply::Unreachable => TransactionReply::Unavailable {
            retry_after_ms: RESEND_PAUSE.as_millis() as u64,
        },
        _ => TransactionReply::Unknown,
    }
}

fn platform_condition(condition: &store::Condition) -> Condition {
    Condition {
        table: condition.table.clone(),
        row: condition.row.clone(),
        version: condition.version,
    }
}

fn platform_write(write: &store::Write) -> Write {
    let value = Some(write.value.clone());
    Write {
        table: write.table.clone(),
        row: write.row.clone(),
        value,
    }
}

/// Stores a snapshot of the whole tree if one is due at this revision, so that a new reader
/// has few changes to read.
///
/// A failed write is harmless: readers start from the previous snapshot.
async fn store_snapshot_if_due(
    platform: &PlatformClient,
    revision: Revision,
    tree: Tree,
) {
    if !store::is_snapshot_due(revision) {
        return;
    }
    let snapshot = Snapshot { revision, tree };
    let body = serde_json::to_vec(&snapshot).expect("a tree has string keys");
    let name = store::snapshot_object(revision);
    if let Err(error) = platform.put_object(&name, Bytes::from(body)).await {
        log::warn!(
            revision = revision.0;
            "could not store a settings snapshot; readers use the previous one: {error}"
        );
    }
}

async fn wait_until_in_force(
    connection: &Connection,
    output: &Output,
    revision: Revision,
) -> Result<(), Error> {
    let started = Instant::now();
    loop {
        let hosts = connection.hosts().await?;
        let replies = get_all::<HostStatus>(&hosts, "/status").await;
        let behind = hosts.iter().zip(replies).filter(|(_, reply)| match reply {
            Ok(status) => status.revision < Some(revision.0),
            Err(_) => true,
        });
        let behind: Vec<String> = behind.map(|(host, _)| host.label()).collect();
        let waited_ms = started.elapsed().as_millis();
        if behind.is_empty() {
            let count = hosts.len();
            output.write_line(&format!(
                "in force at {count} entry hosts after {waited_ms} ms"
            ))?;
            return Ok(());
        }
        if started.elapsed() >= IN_FORCE_TIMEOUT {
            let message = format!(
                "revision {revision} was accepted, but isn't in force after {waited_ms} ms at {}",
                behind.join(", ")
            );
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
