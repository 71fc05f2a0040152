//! The state and the reservations of a request whose caller disconnects while it waits
//! for a target are released.

mod support;

use std::time::{Duration, Instant};

use http::Method;
use serde_json::json;
use support::client::Request;
use support::process::Signal;
use support::proxied::{DeploymentConfig, ProxiedDeployment};
use support::received_answer::ReceivedAnswer;
use support::wait_until;

/// Callers that disconnect.
const CALLERS: usize = 8;
/// A pause after which the host observes each target again before it dispatches to it.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Bound on the attempts to let all callers disconnect while their requests wait.
const ATTEMPTS_MAX: u32 = 5;

/// Reads a page of the operators' port.
async fn page(deployment: &ProxiedDeployment, path: &str) -> support::client::Reply {
    let request = Request {
        method: Method::GET,
        ..Request::post(path, "")
    };
    let address = deployment.hosts[0].operators_address;
    request
        .send(address)
        .await
        .expect("the operators' port answers")
}

/// Returns the number of requests whose tasks have not ended.
async fn task_count(deployment: &ProxiedDeployment) -> Option<u64> {
    let status = page(deployment, "/status").await;
    status.member("requests_in_progress").as_u64()
}

/// Returns the number of requests in the reducer's state.
async fn request_count(deployment: &ProxiedDeployment) -> u64 {
    let metrics = page(deployment, "/metrics").await.text;
    let gauge = metrics
        .lines()
        .find_map(|line| line.strip_prefix("toucancleat_requests_in_progress "));
    gauge.expect("the gauge").parse().expect("a number")
}

/// Disconnects callers while their requests wait for the observation of the target.
///
/// Returns true if all of them waited at the same time. An observation without a reply
/// ends after some seconds, and on a slow machine the first requests may be refused
/// before the last one arrives. Such an attempt shows nothing.
async fn disconnect_waiting_callers(deployment: &ProxiedDeployment) -> bool {
    let address = deployment.callers_address(0);
    let link = &deployment.engines[0].proxy;
    deployment.hosts[0].signal(Signal::Stop);
    link.set_faults(|faults| faults.to_upstream.stall = true);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| async move {
            ReceivedAnswer::read(
                &Request::draft("draft", &format!("caller {caller}"), 5),
                address,
            )
            .await
        })
        .map(tokio::spawn)
        .collect();
    let paused_at = Instant::now();
    wait_until("the pause is over", async || paused_at.elapsed() >= PAUSE).await;
    deployment.hosts[0].signal(Signal::Continue);
    let is_any_answered = || callers.iter().any(|caller| caller.is_finished());
    wait_until("every request waits at the host", async || {
        request_count(deployment).await == CALLERS as u64 || is_any_answered()
    })
    .await;
    let all_waited = !is_any_answered();
    for caller in &callers {
        caller.abort();
    }
    wait_until(
        "the host has noticed that the callers disconnected",
        async || task_count(deployment).await == Some(0),
    )
    .await;
    link.set_faults(|faults| faults.to_upstream.stall = false);
    wait_until("the host has removed their requests", async || {
        request_count(deployment).await == 0
    })
    .await;
    all_waited
}

#[tokio::test(flavor = "multi_thread")]
async fn the_reservations_of_disconnected_callers_are_released() {
    let deployment = ProxiedDeployment::start(DeploymentConfig {
        engines: 1,
        services: 0,
        host_zones: &["upp-a"],
        values: json!({}),
    })
    .await;
    let address = deployment.callers_address(0);

    let mut attempts = 0;
    while !disconnect_waiting_callers(&deployment).await {
        attempts += 1;
        assert!(
            attempts < ATTEMPTS_MAX,
            "the requests never waited all at the same time"
        );
    }
    wait_until("the target has capacity again", async || {
        ReceivedAnswer::read(
            &Request::draft("draft", "after the disconnects", 5),
            address,
        )
        .await
        .is_whole
    })
    .await;
}
