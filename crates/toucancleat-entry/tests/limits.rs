//! Limits of organisations over all entry hosts, with real processes.

mod support;

use http::StatusCode;
use serde_json::json;
use support::client::{Ask, Stream};
use support::deployment::Deployment;
use support::settings::commit_edits;
use support::wait_until;
use toucancleat_core::settings::Edit;

/// Streams that the organisation may have open at once, over all entry hosts.
const CONCURRENT: usize = 6;

/// Tokens of an answer that outlasts the test.
const LONG_TOKENS: u32 = 10_000;

/// Opens streams at every host in turn until each has refused one.
async fn open_all(deployment: &Deployment) -> Vec<Stream> {
    let ask = Ask::draft("draft", "Plan the closure", LONG_TOKENS);
    let mut open = Vec::new();
    for host in 0..deployment.hosts.len() {
        while let Ok(stream) = ask.stream_once(deployment.callers(host)).await {
            open.push(stream);
        }
    }
    open
}

#[tokio::test(flavor = "multi_thread")]
async fn the_sum_over_all_hosts_stays_within_the_limit() {
    let mut deployment = Deployment::start(2, 1).await;
    for name in ["entry-2", "entry-3"] {
        deployment.add_host(name, "upp-a").await;
    }
    deployment.wait_for_members(0, 3).await;
    let path = "/live_events/closure-w49/organisations/ul/level/values";
    let values = json!({ "concurrent_requests": CONCURRENT });
    let revision = commit_edits(&deployment.client, vec![Edit::set(path, values)]).await;
    for host in 0..deployment.hosts.len() {
        wait_until("the limit is in force", async || {
            deployment.status_number(host, "revision").await == Some(revision.0)
        })
        .await;
    }
    let open = open_all(&deployment).await;
    assert!(!open.is_empty(), "nothing was admitted");
    assert!(open.len() <= CONCURRENT, "{} streams are open", open.len());

    let other = Ask::draft("draft", "Plan", LONG_TOKENS).header(
        "authorization",
        &format!("Bearer {}", support::settings::XT_KEY),
    );
    let other = other.stream(deployment.callers(0)).await;
    assert!(other.is_ok(), "another organisation is not affected");

    let over = Ask::draft("draft", "Plan", 3)
        .send_once(deployment.callers(0))
        .await;
    let over = over.expect("a reply");
    assert_eq!(over.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(over.member("verdict"), "NotRun");
    assert!(over.headers.contains_key("retry-after"));
}
