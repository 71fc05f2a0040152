//! An accepted change of the settings is in force at every host that is connected within
//! seconds, is accepted once, and never reverts.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use serde_json::json;
use support::client::Ask;
use support::process::Signal;
use support::proxied::{Proxied, Shape};
use support::settings::send_commit;
use support::wait_until;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::store::{self, CommitOutcome};
use toucancleat_core::settings::{Change, Edit};
use toucancleat_entry::platform::{Platform, Row, TransactReply};
use toucancleat_standin::{PlatformFaults, ProxyFaults};

/// Time after which an accepted change is in force at every connected host.
const IN_FORCE: Duration = Duration::from_secs(11);
/// Bound after which the operators' race counts as never settled.
const RACE_BOUND: Duration = Duration::from_secs(30);
/// Pause before a change whose outcome is open is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(20);
/// Changes that each of two operators makes under each cause.
const CHANGES: u64 = 4;

static CHANGE_IDS: AtomicU64 = AtomicU64::new(1 << 32);

/// What goes wrong while two operators change the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    Nothing,
    RepliesLost,
    RequestsLost,
    PlatformSlow,
    HostCutFromPlatform,
    HostPaused,
    RepliesLostAndHostCut,
}

const CAUSES: &[Cause] = &[
    Cause::Nothing,
    Cause::RepliesLost,
    Cause::RequestsLost,
    Cause::PlatformSlow,
    Cause::HostCutFromPlatform,
    Cause::HostPaused,
    Cause::RepliesLostAndHostCut,
];

fn store_row(row: Row) -> store::Row {
    store::Row {
        row: row.row,
        version: row.version,
        value: row.value,
    }
}

fn store_reply(reply: TransactReply) -> store::TransactReply {
    match reply {
        TransactReply::Applied { .. } => store::TransactReply::Applied,
        TransactReply::Conflict { rows } => {
            store::TransactReply::Conflict(rows.into_iter().map(store_row).collect())
        }
        TransactReply::Rejected { retry_after_ms } => {
            store::TransactReply::Unavailable { retry_after_ms }
        }
        _ => store::TransactReply::Unknown,
    }
}

async fn head(platform: &Platform) -> store::SeenHead {
    loop {
        let rows = platform
            .get(store::TABLE, &[store::HEAD_ROW.to_owned()])
            .await;
        if let Ok(rows) = rows {
            let rows: Vec<_> = rows.into_iter().map(store_row).collect();
            return store::read_head(&rows).expect("the head is readable");
        }
    }
}

/// Makes a change as an operator does: on the head, and again whenever another was first.
async fn commit(platform: &Platform, author: &str, edit: Edit) -> Revision {
    loop {
        let seen = head(platform).await;
        let change = Change {
            revision: Revision(seen.head.revision.0 + 1),
            change_id: ChangeId(u128::from(CHANGE_IDS.fetch_add(1, Ordering::Relaxed))),
            author: author.to_owned(),
            at_unix_ms: 1_000,
            edits: vec![edit.clone()],
        };
        loop {
            let reply = store_reply(send_commit(platform, &change, &seen).await);
            match store::interpret_commit_reply(&change, &reply) {
                CommitOutcome::Accepted => return change.revision,
                CommitOutcome::Conflict { .. } => break,
                // Sending the same change again can't make it twice.
                _ => tokio::time::sleep(RESEND_PAUSE).await,
            }
        }
    }
}

async fn operator(platform: Platform, author: &'static str, base: u64) -> Vec<Revision> {
    let mut accepted = Vec::new();
    for change in 0..CHANGES {
        let tokens = base + change;
        let edit = Edit::set("/fleet/kinds/draft/max_output_tokens", json!(tokens));
        accepted.push(commit(&platform, author, edit).await);
    }
    accepted
}

/// Returns the revision in force at a host, or `None` when it doesn't answer.
async fn in_force(operators_address: std::net::SocketAddr) -> Option<u64> {
    let ask = Ask {
        method: Method::GET,
        ..Ask::post("/status", "")
    };
    let reply = ask.send(operators_address).await.ok()?;
    reply.member("revision").as_u64()
}

/// Watches that the revision of a host never goes down.
async fn watch(operators_address: std::net::SocketAddr) {
    let mut last = 0;
    loop {
        if let Some(revision) = in_force(operators_address).await {
            assert!(revision >= last, "went back from {last} to {revision}");
            last = revision;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn bring_about(cause: Cause, deployment: &Proxied) {
    let table = Some(store::TABLE.to_owned());
    let cut = matches!(
        cause,
        Cause::HostCutFromPlatform | Cause::RepliesLostAndHostCut
    );
    if cut {
        let link = &deployment.platform_links[0];
        link.set_faults(|faults| faults.refuse = true);
        link.listening(false).await;
        link.cut();
    }
    deployment.platform.set_faults(|faults| match cause {
        Cause::RepliesLost | Cause::RepliesLostAndHostCut => {
            faults.drop_replies = 3;
            faults.table = table;
        }
        Cause::RequestsLost => {
            faults.drop_requests = 3;
            faults.table = table;
        }
        Cause::PlatformSlow => faults.slow_ms = 100,
        _ => {}
    });
    if cause == Cause::HostPaused {
        deployment.hosts[1].signal(Signal::Stop);
    }
}

fn heal(deployment: &Proxied) {
    deployment
        .platform
        .set_faults(|faults| *faults = PlatformFaults::default());
    for link in &deployment.platform_links {
        link.set_faults(|faults| *faults = ProxyFaults::default());
    }
}

/// Lets two operators race, and returns the last revision.
async fn race(deployment: &Proxied, before: Revision) -> Revision {
    let platform = Platform::new(deployment.platform.address());
    let both = futures::future::join(
        operator(platform.clone(), "first", 1_000),
        operator(platform, "second", 2_000),
    );
    let both = tokio::time::timeout(RACE_BOUND, both).await;
    let (first, second) = both.expect("the operators' changes are settled");
    let mut accepted: Vec<u64> = first.iter().chain(&second).map(|r| r.0).collect();
    accepted.sort_unstable();
    let expected: Vec<u64> = (before.0 + 1..=before.0 + 2 * CHANGES).collect();
    assert_eq!(accepted, expected, "a change was lost or made twice");
    Revision(before.0 + 2 * CHANGES)
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_accepted_once_and_in_force_everywhere() {
    let deployment = Proxied::start(Shape {
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
    let watchers: Vec<_> = addresses.iter().map(|a| tokio::spawn(watch(*a))).collect();
    let mut revision = Revision(1);
    for cause in CAUSES {
        bring_about(*cause, &deployment).await;
        revision = race(&deployment, revision).await;
        let accepted = Instant::now();
        if *cause == Cause::HostPaused {
            deployment.hosts[1].signal(Signal::Continue);
        }
        wait_until("the last change is in force everywhere", async || {
            let mut everywhere = true;
            for address in &addresses {
                everywhere &= in_force(*address).await == Some(revision.0);
            }
            everywhere
        })
        .await;
        let took = accepted.elapsed();
        assert!(took <= IN_FORCE, "{cause:?}: in force after {took:?}");
        heal(&deployment);
    }
    for watcher in watchers {
        assert!(!watcher.is_finished(), "a revision went back");
        watcher.abort();
    }
}
