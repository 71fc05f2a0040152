//! A leaving target receives no new work after a few seconds, and the requests that it
//! has begun are finished.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::json;
use support::client::Request;
use support::process::Signal;
use support::proxied::{DeploymentConfig, ProxiedDeployment};
use support::received_answer::ReceivedAnswer;
use support::wait_until;
use toucancleat_entry::platform::{ListedHost, PlatformClient};

/// The time after which a leaving target receives no new work.
const NO_WORK_AFTER_MS: u64 = 3_000;
/// How long the test continues to send requests after that.
const WATCHED_MS: u64 = 2_000;
/// Requests that wait at a paused host and are all dispatched when it continues.
const SENDERS_TO_PAUSED: usize = 16;
/// Tokens of an answer that is running when its target begins to leave.
const TOKENS: u32 = 40;
/// Tokens that its caller has received by then.
const TOKENS_BEFORE: u32 = 5;

/// How the entry hosts can detect that a target is leaving, and under which fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    ReportedByTarget,
    ReportedByHostListOnly,
    PlatformUnreachable,
    /// The second host is paused; it is not the home of the targets.
    HostPaused,
    /// The first host is paused, which is the home of the targets.
    HomePaused,
}

impl Case {
    fn paused_host(self) -> Option<usize> {
        match self {
            Case::HostPaused => Some(1),
            Case::HomePaused => Some(0),
            _ => None,
        }
    }
}

fn config() -> DeploymentConfig {
    DeploymentConfig {
        engines: 2,
        services: 2,
        host_zones: &["upp-a", "upp-a"],
        values: json!({}),
    }
}

/// Makes the first engine and the first service leave.
async fn begin_to_leave(case: Case, deployment: &ProxiedDeployment) {
    let hides_leaving = case == Case::ReportedByHostListOnly;
    deployment.engines[0].standin.set_faults(|faults| {
        faults.leaving = true;
        faults.hides_leaving = hides_leaving;
    });
    deployment.services[0].standin.set_faults(|faults| {
        faults.leaving = true;
        faults.hides_leaving = hides_leaving;
    });
    if case == Case::ReportedByHostListOnly {
        list_as_leaving(deployment).await;
    }
}

async fn list_as_leaving(deployment: &ProxiedDeployment) {
    let platform = PlatformClient::new(deployment.platform.address());
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

fn cut_platform(deployment: &ProxiedDeployment) {
    for link in &deployment.platform_links {
        link.set_faults(|faults| faults.refuse = true);
        link.reset_connections();
    }
}

/// Sends drafts and lookups to one host until a deadline.
async fn send_requests_until(address: SocketAddr, name: String, deadline: Instant) {
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        let draft = Request::draft("draft", &format!("{name} {number}"), 2);
        ReceivedAnswer::read(&draft, address).await;
        let lookup = Request::service("roster", &format!("drivers/{number}"), "{}");
        // The test checks where requests arrive, not how they end.
        let _ = lookup.send(address).await;
    }
}

/// Returns how long after the leaving targets began to leave their last request arrived.
fn last_arrivals_ms(deployment: &ProxiedDeployment) -> [Option<u64>; 2] {
    let generations = deployment.engines[0].standin.records().generations;
    let engine = generations
        .iter()
        .filter_map(|g| g.arrived_after_leaving_ms);
    let runs = deployment.services[0].standin.records().runs;
    let service = runs.iter().filter_map(|run| run.arrived_after_leaving_ms);
    [engine.max(), service.max()]
}

/// Starts an answer at the first engine, which is frozen at a known token.
async fn start_at_first_engine(
    deployment: &ProxiedDeployment,
) -> tokio::task::JoinHandle<ReceivedAnswer> {
    deployment.engines[0]
        .standin
        .set_faults(|faults| faults.freeze_at_token = Some(TOKENS_BEFORE));
    deployment.engines[1]
        .standin
        .set_faults(|faults| faults.reject = true);
    let request = Request::draft("draft", "already running", TOKENS);
    let address = deployment.callers_address(0);
    let reader =
        tokio::spawn(async move { ReceivedAnswer::read(&request, address).await });
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
    reader
}

async fn run(case: Case) {
    let deployment = ProxiedDeployment::start(config()).await;
    let running = start_at_first_engine(&deployment).await;
    if case == Case::PlatformUnreachable {
        cut_platform(&deployment);
    }
    let paused = case.paused_host();
    if let Some(host) = paused {
        deployment.hosts[host].signal(Signal::Stop);
    }
    begin_to_leave(case, &deployment).await;
    deployment.engines[0]
        .standin
        .set_faults(|faults| faults.freeze_at_token = None);
    let deadline = Instant::now() + Duration::from_millis(NO_WORK_AFTER_MS + WATCHED_MS);
    let mut senders_to_running = Vec::new();
    let mut senders_to_paused = Vec::new();
    for host in 0..2 {
        let is_paused = paused == Some(host);
        let senders = if is_paused { SENDERS_TO_PAUSED } else { 1 };
        for sender in 0..senders {
            let name = format!("host {host}, sender {sender}");
            let sending =
                send_requests_until(deployment.callers_address(host), name, deadline);
            let tasks = if is_paused {
                &mut senders_to_paused
            } else {
                &mut senders_to_running
            };
            tasks.push(tokio::spawn(sending));
        }
    }
    for sender in senders_to_running {
        sender.await.expect("joined");
    }
    if let Some(host) = paused {
        deployment.hosts[host].signal(Signal::Continue);
    }
    for sender in senders_to_paused {
        sender.await.expect("joined");
    }

    let received = running.await.expect("joined");
    received.check_records("already running", "already running", &deployment);
    assert!(
        received.is_whole,
        "interrupted at a leaving engine: {received:?}"
    );
    for last in last_arrivals_ms(&deployment).into_iter().flatten() {
        assert!(
            last <= NO_WORK_AFTER_MS,
            "{case:?}: new work after {last} ms"
        );
    }
    assert_served(&deployment).await;
}

/// Asserts that the remaining targets serve requests at both hosts.
async fn assert_served(deployment: &ProxiedDeployment) {
    for host in 0..2 {
        let address = deployment.callers_address(host);
        let lookup = Request::service("roster", "drivers/1", "{}")
            .send(address)
            .await;
        assert_eq!(lookup.expect("a reply").status, StatusCode::OK);
        let draft = Request::draft("draft", "after all", 2);
        assert!(ReceivedAnswer::read(&draft, address).await.is_whole);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_reports_leaving_gets_no_new_work() {
    run(Case::ReportedByTarget).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_leaving_by_the_host_list_alone_gets_no_new_work() {
    run(Case::ReportedByHostListOnly).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_work_without_the_platform() {
    run(Case::PlatformUnreachable).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_work_from_a_host_that_was_paused() {
    run(Case::HostPaused).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_work_when_its_home_is_paused() {
    run(Case::HomePaused).await;
}
