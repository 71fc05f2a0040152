//! A change of the settings is accepted once, is in force at every connected host within
//! seconds, and never reverts.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use serde_json::json;
use support::client::Request;
use support::process::Signal;
use support::proxied::{DeploymentConfig, ProxiedDeployment};
use support::settings::send_commit;
use support::wait_until;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::store::{self, CommitOutcome};
use toucancleat_core::settings::{Change, Edit};
use toucancleat_entry::platform::{PlatformClient, Row, TransactionReply};
use toucancleat_standin::{PlatformFaults, ProxyFaults};

/// Bound on the time until an accepted change is in force at every connected host.
const IN_FORCE_MAX: Duration = Duration::from_secs(11);
/// Timeout for the concurrent changes of both operators.
const RACE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a change with an unknown outcome is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Changes that each of the two operators makes under each fault.
const CHANGES: u64 = 4;

static CHANGE_IDS: AtomicU64 = AtomicU64::new(1 << 32);

/// A fault while two operators change the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    RepliesLost,
    RequestsLost,
    PlatformSlow,
    HostWithoutPlatform,
    HostPaused,
    RepliesLostAndHostWithoutPlatform,
}

const FAULTS: &[Fault] = &[
    Fault::None,
    Fault::RepliesLost,
    Fault::RequestsLost,
    Fault::PlatformSlow,
    Fault::HostWithoutPlatform,
    Fault::HostPaused,
    Fault::RepliesLostAndHostWithoutPlatform,
];

fn store_row(row: Row) -> store::Row {
    store::Row {
        row: row.row,
        version: row.version,
        value: row.value,
    }
}

fn store_reply(reply: TransactionReply) -> store::TransactionReply {
    match reply {
        TransactionReply::Applied { .. } => store::TransactionReply::Applied,
        TransactionReply::Conflict { rows } => {
            store::TransactionReply::Conflict(rows.into_iter().map(store_row).collect())
        }
        TransactionReply::Rejected { retry_after_ms } => {
            store::TransactionReply::Unavailable { retry_after_ms }
        }
        _ => store::TransactionReply::Unknown,
    }
}

async fn read_head(platform: &PlatformClient) -> store::VersionedHead {
    loop {
        let rows = platform
            .get_rows(store::TABLE, &[store::HEAD_ROW.to_owned()])
            .await;
        if let Ok(rows) = rows {
            let rows: Vec<_> = rows.into_iter().map(store_row).collect();
            return store::read_head(&rows).expect("the head is readable");
        }
    }
}

/// Commits a change as an operator does: on the current head, and again after a conflict.
async fn commit(platform: &PlatformClient, author: &str, edit: Edit) -> Revision {
    loop {
        let versioned_head = read_head(platform).await;
        let change = Change {
            revision: Revision(versioned_head.head.revision.0 + 1),
            change_id: ChangeId(u128::from(CHANGE_IDS.fetch_add(1, Ordering::Relaxed))),
            author: author.to_owned(),
            at_unix_ms: 1_000,
            edits: vec![edit.clone()],
        };
        loop {
            let reply =
                store_reply(send_commit(platform, &change, &versioned_head).await);
            match store::interpret_commit_reply(&change, &reply) {
                CommitOutcome::Accepted => return change.revision,
                CommitOutcome::Conflict { .. } => break,
                // N.B. sending the same change again can't apply it twice.
                _ => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }
}

async fn commit_changes(
    platform: PlatformClient,
    author: &'static str,
    base: u64,
) -> Vec<Revision> {
    let mut accepted = Vec::new();
    for change in 0..CHANGES {
        let tokens = base + change;
        let edit = Edit::set("/fleet/kinds/draft/max_output_tokens", json!(tokens));
        accepted.push(commit(&platform, author, edit).await);
    }
    accepted
}

/// Returns the revision in force at a host, or `None` if the host doesn't reply.
async fn revision_in_force(operators_address: std::net::SocketAddr) -> Option<u64> {
    let request = Request {
        method: Method::GET,
        ..Request::post("/status", "")
    };
    let reply = request.send(operators_address).await.ok()?;
    reply.member("revision").as_u64()
}

/// Asserts that the revision in force at a host never decreases, until it is aborted.
async fn watch_revision(operators_address: std::net::SocketAddr) {
    let mut last = 0;
    loop {
        if let Some(revision) = revision_in_force(operators_address).await {
            assert!(
                revision >= last,
                "the revision in force decreased from {last} to {revision}"
            );
            last = revision;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn inject_fault(fault: Fault, deployment: &ProxiedDeployment) {
    let table = Some(store::TABLE.to_owned());
    let is_cut = matches!(
        fault,
        Fault::HostWithoutPlatform | Fault::RepliesLostAndHostWithoutPlatform
    );
    if is_cut {
        let link = &deployment.platform_links[0];
        link.set_faults(|faults| faults.refuse = true);
        link.wait_until_listening(false).await;
        link.reset_connections();
    }
    deployment.platform.set_faults(|faults| match fault {
        Fault::RepliesLost | Fault::RepliesLostAndHostWithoutPlatform => {
            faults.drop_replies = 3;
            faults.table = table;
        }
        Fault::RequestsLost => {
            faults.drop_requests = 3;
            faults.table = table;
        }
        Fault::PlatformSlow => faults.slow_ms = 100,
        _ => {}
    });
    if fault == Fault::HostPaused {
        deployment.hosts[1].signal(Signal::Stop);
    }
}

fn heal(deployment: &ProxiedDeployment) {
    deployment
        .platform
        .set_faults(|faults| *faults = PlatformFaults::default());
    for link in &deployment.platform_links {
        link.set_faults(|faults| *faults = ProxyFaults::default());
    }
}

/// Lets two operators commit changes concurrently, and returns the last revision.
async fn run_concurrent_changes(
    deployment: &ProxiedDeployment,
    before: Revision,
) -> Revision {
    let platform = PlatformClient::new(deployment.platform.address());
    let both = futures::future::join(
        commit_changes(platform.clone(), "first", 1_000),
        commit_changes(platform, "second", 2_000),
    );
    let both = tokio::time::timeout(RACE_TIMEOUT, both).await;
    let (first, second) = both.expect("the operators' changes are accepted");
    let mut accepted: Vec<u64> = first.iter().chain(&second).map(|r| r.0).collect();
    accepted.sort_unstable();
    let expected: Vec<u64> = (before.0 + 1..=before.0 + 2 * CHANGES).collect();
    assert_eq!(accepted, expected, "a change was lost or applied twice");
    Revision(before.0 + 2 * CHANGES)
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_accepted_once_and_in_force_everywhere() {
    let deployment = ProxiedDeployment::start(DeploymentConfig {
        engines: 1,
        services: 1,
        host_zones: &["upp-a", "upp-a", "upp-b"],
        values: json!({}),
    })
    .await;
    let addresses: Vec<_> = deployment
        .hosts
        .iter()
        .map(|host| host.operators_address)
        .collect();
    let watchers: Vec<_> = addresses
        .iter()
        .map(|a| tokio::spawn(watch_revision(*a)))
        .collect();
    let mut revision = Revision(1);
    for fault in FAULTS {
        inject_fault(*fault, &deployment).await;
        revision = run_concurrent_changes(&deployment, revision).await;
        let accepted_at = Instant::now();
        if *fault == Fault::HostPaused {
            deployment.hosts[1].signal(Signal::Continue);
        }
        wait_until("the last change is in force everywhere", async || {
            let mut is_everywhere = true;
            for address in &addresses {
                is_everywhere &= revision_in_force(*address).await == Some(revision.0);
            }
            is_everywhere
        })
        .await;
        let took = accepted_at.elapsed();
        assert!(took <= IN_FORCE_MAX, "{fault:?}: in force after {took:?}");
        heal(&deployment);
    }
    for watcher in watchers {
        assert!(!watcher.is_finished(), "a revision in force decreased");
        watcher.abort();
    }
}
