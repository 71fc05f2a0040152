//! A target that is leaving receives no new work after a few seconds, and what it has
//! begun is finished.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::json;
use support::client::Ask;
use support::process::Signal;
use support::proxied::{Proxied, Shape};
use support::received_answer::Told;
use support::wait_until;
use toucancleat_entry::platform::{ListedHost, Platform};

/// The time after which a leaving target gets no new work.
const NO_WORK_AFTER_MS: u64 = 3_000;
/// How long the test goes on sending after that.
const WATCHED_MS: u64 = 2_000;
/// Requests that wait at a paused host, and are all given to targets when it wakes.
const SENDERS_TO_PAUSED: usize = 16;
/// Tokens of an answer that runs when its target begins to leave.
const TOKENS: u32 = 40;
/// Tokens that its caller has by then.
const TOKENS_BEFORE: u32 = 5;

/// How the system can learn that a target is leaving, and what else is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    TargetSaysSo,
    OnlyHostListSaysSo,
    PlatformAway,
    /// The second host is paused; it is not the home of the targets.
    HostPausedMeanwhile,
    /// The first host is paused, which is the home of the targets.
    HomePausedMeanwhile,
}

impl Case {
    fn paused_host(self) -> Option<usize> {
        match self {
            Case::HostPausedMeanwhile => Some(1),
            Case::HomePausedMeanwhile => Some(0),
            _ => None,
        }
    }
}

fn shape() -> Shape {
    Shape {
        engines: 2,
        services: 2,
        host_zones: &["upp-a", "upp-a"],
        values: json!({}),
    }
}

/// Makes the first engine and the first service leave.
async fn begin_to_leave(case: Case, deployment: &Proxied) {
    let hides = case == Case::OnlyHostListSaysSo;
    deployment.engines[0].standin.set_faults(|faults| {
        faults.leaving = true;
        faults.hides_leaving = hides;
    });
    deployment.services[0].standin.set_faults(|faults| {
        faults.leaving = true;
        faults.hides_leaving = hides;
    });
    if case == Case::OnlyHostListSaysSo {
        list_as_leaving(deployment).await;
    }
}

async fn list_as_leaving(deployment: &Proxied) {
    let platform = Platform::new(deployment.platform.address());
    for name in ["plan-llm-0", "roster-api-0"] {
        let listed = ListedHost {
            name: name.to_owned(),
            zone: "upp-a".to_owned(),
            role: "target".to_owned(),
            state: "leaving".to_owned(),
            peer_address: None,
            operator_address: None,
            address: None,
        };
        platform.put_host(&listed).await.expect("the list changes");
    }
}

fn platform_away(deployment: &Proxied) {
    for link in &deployment.platform_links {
        link.set_faults(|faults| faults.refuse = true);
        link.cut();
    }
}

/// Sends drafts and lookups to one host until the time is over.
async fn send_until(address: SocketAddr, name: String, end: Instant) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let draft = Ask::draft("draft", &format!("{name} {number}"), 2);
        Told::read(&draft, address).await;
        let lookup = Ask::service("roster", &format!("drivers/{number}"), "{}");
        // What matters here is where requests arrive, not how they end.
        let _ = lookup.send(address).await;
    }
}

/// Returns how long after the first targets began to leave their last request arrived.
fn last_arrivals_ms(deployment: &Proxied) -> [Option<u64>; 2] {
    let generations = deployment.engines[0].standin.records().generations;
    let engine = generations
        .iter()
        .filter_map(|g| g.arrived_after_leaving_ms);
    let runs = deployment.services[0].standin.records().runs;
    let service = runs.iter().filter_map(|run| run.arrived_after_leaving_ms);
    [engine.max(), service.max()]
}

/// Begins an answer at the first engine, which then stops at a known token.
async fn begin_at_first_engine(deployment: &Proxied) -> tokio::task::JoinHandle<Told> {
    deployment.engines[0]
        .standin
        .set_faults(|faults| faults.freeze_at_token = Some(TOKENS_BEFORE));
    deployment.engines[1]
        .standin
        .set_faults(|faults| faults.reject = true);
    let ask = Ask::draft("draft", "already running", TOKENS);
    let address = deployment.callers(0);
    let reading = tokio::spawn(async move { Told::read(&ask, address).await });
    wait_until("the first engine runs the answer", async || {
        let generations = deployment.engines[0].standin.records().generations;
        generations
            .iter()
            .any(|generation| generation.produced_tokens == TOKENS_BEFORE)
    })
    .await;
    deployment.engines[1]
        .standin
        .set_faults(|faults| faults.reject = false);
    reading
}

async fn run(case: Case) {
    let deployment = Proxied::start(shape()).await;
    let running = begin_at_first_engine(&deployment).await;
    if case == Case::PlatformAway {
        platform_away(&deployment);
    }
    let paused = case.paused_host();
    if let Some(host) = paused {
        deployment.hosts[host].signal(Signal::Stop);
    }
    begin_to_leave(case, &deployment).await;
    deployment.engines[0]
        .standin
        .set_faults(|faults| faults.freeze_at_token = None);
    let end = Instant::now() + Duration::from_millis(NO_WORK_AFTER_MS + WATCHED_MS);
    let mut to_running = Vec::new();
    let mut to_paused = Vec::new();
    for host in 0..2 {
        let is_paused = paused == Some(host);
        let senders = if is_paused { SENDERS_TO_PAUSED } else { 1 };
        for sender in 0..senders {
            let name = format!("host {host}, sender {sender}");
            let sending = send_until(deployment.callers(host), name, end);
            let list = if is_paused {
                &mut to_paused
            } else {
                &mut to_running
            };
            list.push(tokio::spawn(sending));
        }
    }
    for sender in to_running {
        sender.await.expect("joined");
    }
    if let Some(host) = paused {
        deployment.hosts[host].signal(Signal::Continue);
    }
    for sender in to_paused {
        sender.await.expect("joined");
    }

    let told = running.await.expect("joined");
    told.check("already running", "already running", &deployment);
    assert!(told.whole, "cut off at a leaving engine: {told:?}");
    for last in last_arrivals_ms(&deployment).into_iter().flatten() {
        assert!(
            last <= NO_WORK_AFTER_MS,
            "{case:?}: new work after {last} ms"
        );
    }
    still_served(&deployment).await;
}

/// The targets that stay have taken the work over.
async fn still_served(deployment: &Proxied) {
    for host in 0..2 {
        let address = deployment.callers(host);
        let lookup = Ask::service("roster", "drivers/1", "{}")
            .send(address)
            .await;
        assert_eq!(lookup.expect("a reply").status, StatusCode::OK);
        let draft = Ask::draft("draft", "after all", 2);
        assert!(Told::read(&draft, address).await.whole);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_when_the_target_says_that_it_leaves() {
    run(Case::TargetSaysSo).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_when_only_the_host_list_says_so() {
    run(Case::OnlyHostListSaysSo).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_with_the_platform_away() {
    run(Case::PlatformAway).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_from_a_host_that_was_paused_meanwhile() {
    run(Case::HostPausedMeanwhile).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_with_the_home_of_the_targets_paused() {
    run(Case::HomePausedMeanwhile).await;
}
