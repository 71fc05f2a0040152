//! The limits of an organisation hold over all entry hosts, with real processes.

mod support;

use http::StatusCode;
use serde_json::json;
use support::client::{Request, Stream};
use support::deployment::Deployment;
use support::settings::commit_edits;
use support::wait_until;
use toucancleat_core::settings::Edit;

/// Streams that the organisation may have open at once, over all entry hosts.
const CONCURRENT: usize = 6;

/// Tokens of an answer that outlasts the test.
const LONG_TOKENS: u32 = 10_000;

/// Opens streams at each host in turn until it refuses one.
async fn open_until_refused(deployment: &Deployment) -> Vec<Stream> {
    let request = Request::draft("draft", "Plan the closure", LONG_TOKENS);
    let mut open = Vec::new();
    for host in 0..deployment.hosts.len() {
        while let Ok(stream) = request.stream_once(deployment.callers_address(host)).await
        {
            open.push(stream);
        }
    }
    open
}

#[tokio::test(flavor = "multi_thread")]
async fn the_streams_over_all_hosts_stay_within_the_limit() {
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
    let open = open_until_refused(&deployment).await;
    assert!(!open.is_empty(), "nothing was admitted");
    assert!(open.len() <= CONCURRENT, "{} streams are open", open.len());

    let other = Request::draft("draft", "Plan", LONG_TOKENS).header(
        "authorization",
        &format!("Bearer {}", support::settings::XT_KEY),
    );
    let other = other.stream(deployment.callers_address(0)).await;
    assert!(other.is_ok(), "another organisation is not affected");

    let refused = Request::draft("draft", "Plan", 3)
        .send_once(deployment.callers_address(0))
        .await;
    let refused = refused.expect("a reply");
    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(refused.member("verdict"), "NotRun");
    assert!(refused.headers.contains_key("retry-after"));
}
