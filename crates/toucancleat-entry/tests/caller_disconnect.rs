//! A caller that leaves while its request waits for a target leaves nothing behind.

mod support;

use std::time::{Duration, Instant};

use http::Method;
use serde_json::json;
use support::client::Ask;
use support::process::Signal;
use support::proxied::{Proxied, Shape};
use support::received_answer::Told;
use support::wait_until;

/// Callers that leave.
const CALLERS: usize = 8;
/// A pause after which the host looks at each target before it gives it work.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Most tries to let callers leave while all of them wait.
const TRIES: u32 = 5;

/// Reads a page of the operators' port.
async fn page(deployment: &Proxied, path: &str) -> support::client::Reply {
    let ask = Ask {
        method: Method::GET,
        ..Ask::post(path, "")
    };
    let address = deployment.hosts[0].operators_address;
    ask.send(address)
        .await
        .expect("the operators' port answers")
}

/// Returns the requests whose tasks have not ended.
async fn tasks(deployment: &Proxied) -> Option<u64> {
    let status = page(deployment, "/status").await;
    status.member("requests_in_progress").as_u64()
}

/// Returns the requests that the host's decisions are still about.
async fn undecided(deployment: &Proxied) -> u64 {
    let metrics = page(deployment, "/metrics").await.text;
    let gauge = metrics
        .lines()
        .find_map(|line| line.strip_prefix("toucancleat_requests_in_progress "));
    gauge.expect("the gauge").parse().expect("a number")
}

/// Lets callers leave while their requests wait for the look at the target.
///
/// Returns whether all of them were held at once: a look without an answer ends after some
/// seconds, and on a slow machine the first requests may be refused before the last has
/// come. Such a try shows nothing.
async fn callers_left_while_held(deployment: &Proxied) -> bool {
    let address = deployment.callers(0);
    let link = &deployment.engines[0].proxy;
    deployment.hosts[0].signal(Signal::Stop);
    link.set_faults(|faults| faults.to_upstream.stall = true);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| async move {
            Told::read(
                &Ask::draft("draft", &format!("caller {caller}"), 5),
                address,
            )
            .await
        })
        .map(tokio::spawn)
        .collect();
    let paused = Instant::now();
    wait_until("the pause is long", async || paused.elapsed() >= PAUSE).await;
    deployment.hosts[0].signal(Signal::Continue);
    let is_answered = || callers.iter().any(|caller| caller.is_finished());
    wait_until("the host holds each request", async || {
        undecided(deployment).await == CALLERS as u64 || is_answered()
    })
    .await;
    let were_held = !is_answered();
    for caller in &callers {
        caller.abort();
    }
    wait_until("the host has seen the callers leave", async || {
        tasks(deployment).await == Some(0)
    })
    .await;
    link.set_faults(|faults| faults.to_upstream.stall = false);
    wait_until("nothing of them is left", async || {
        undecided(deployment).await == 0
    })
    .await;
    were_held
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_was_found_for_nobody_is_given_back() {
    let deployment = Proxied::start(Shape {
        engines: 1,
        services: 0,
        host_zones: &["upp-a"],
        values: json!({}),
    })
    .await;
    let address = deployment.callers(0);

    let mut tries = 0;
    while !callers_left_while_held(&deployment).await {
        tries += 1;
        assert!(tries < TRIES, "the host never held all requests at once");
    }
    wait_until("the target has room again", async || {
        Told::read(&Ask::draft("draft", "after them", 5), address)
            .await
            .whole
    })
    .await;
}
