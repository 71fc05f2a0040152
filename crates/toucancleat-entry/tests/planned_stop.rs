//! A planned stop interrupts no request in progress, even under further faults.

mod support;

use http::StatusCode;
use serde_json::json;
use support::client::Request;
use support::process::Signal;
use support::proxied::{DeploymentConfig, ProxiedDeployment};
use support::received_answer::ReceivedAnswer;
use support::wait_until;

/// Drafts that are running when the planned stop begins.
const DRAFTS: usize = 12;
/// Bookings that are running when the planned stop begins.
const BOOKINGS: usize = 4;
/// Tokens of each draft.
const TOKENS: u32 = 40;
/// Tokens that each engine has produced by then.
const TOKENS_BEFORE: u32 = 5;

/// A fault while the host finishes its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    EngineLinksCut,
    EngineLinksSlow,
    PlatformUnreachable,
    HostPaused,
}

const FAULTS: &[Fault] = &[
    Fault::None,
    Fault::EngineLinksCut,
    Fault::EngineLinksSlow,
    Fault::PlatformUnreachable,
    Fault::HostPaused,
];

fn prompt(draft: usize) -> String {
    format!("draft {draft}")
}

fn key(booking: usize) -> String {
    format!("booking-{booking}")
}

async fn inject_fault(fault: Fault, deployment: &ProxiedDeployment) {
    match fault {
        Fault::None => {}
        Fault::EngineLinksCut => {
            for engine in &deployment.engines {
                engine.proxy.reset_connections();
            }
        }
        Fault::EngineLinksSlow => {
            for engine in &deployment.engines {
                engine.proxy.set_faults(|faults| {
                    faults.to_client.delay_ms = 50;
                    faults.to_upstream.delay_ms = 50;
                });
            }
        }
        Fault::PlatformUnreachable => {
            let link = &deployment.platform_links[0];
            link.set_faults(|faults| faults.refuse = true);
            link.wait_until_listening(false).await;
            link.reset_connections();
        }
        Fault::HostPaused => {
            deployment.hosts[0].signal(Signal::Stop);
            unfreeze(deployment);
            wait_until("the engines have finished", async || {
                let engines = deployment.engines.iter();
                let mut records =
                    engines.flat_map(|engine| engine.standin.records().generations);
                records.all(|record| record.produced_tokens == record.output_tokens)
            })
            .await;
            deployment.hosts[0].signal(Signal::Continue);
        }
    }
}

fn unfreeze(deployment: &ProxiedDeployment) {
    deployment.set_engine_faults(|faults| faults.freeze_at_token = None);
}

/// Starts drafts and bookings, and waits until all of them run at their targets.
async fn start_requests(
    deployment: &ProxiedDeployment,
) -> (
    Vec<tokio::task::JoinHandle<ReceivedAnswer>>,
    Vec<tokio::task::JoinHandle<StatusCode>>,
) {
    let address = deployment.callers_address(0);
    deployment.set_engine_faults(|faults| faults.freeze_at_token = Some(TOKENS_BEFORE));
    for service in &deployment.services {
        service.standin.set_faults(|faults| faults.slow_ms = 300);
    }
    let drafts = (0..DRAFTS)
        .map(|draft| async move {
            ReceivedAnswer::read(
                &Request::draft("draft", &prompt(draft), TOKENS),
                address,
            )
            .await
        })
        .map(tokio::spawn)
        .collect();
    let bookings = (0..BOOKINGS)
        .map(|booking| async move {
            let request = Request::service("booking", "coaches", "{}")
                .header("idempotency-key", &key(booking));
            let reply = request.send(address).await;
            reply.expect("the host answers").status
        })
        .map(tokio::spawn)
        .collect();
    wait_until("every request runs at its target", async || {
        let engines = deployment.engines.iter();
        let records = engines.map(|engine| engine.standin.records().generations.len());
        records.sum::<usize>() == DRAFTS
            && deployment.service_arrivals() >= BOOKINGS as u64
    })
    .await;
    (drafts, bookings)
}

async fn run(fault: Fault) {
    let mut deployment = ProxiedDeployment::start(DeploymentConfig {
        engines: 2,
        services: 1,
        host_zones: &["upp-a", "upp-a"],
        values: json!({}),
    })
    .await;
    let (drafts, bookings) = start_requests(&deployment).await;
    deployment.hosts[0].signal(Signal::Terminate);
    wait_until("the host is no longer ready", async || {
        !support::deployment::is_ready(deployment.callers_address(0)).await
    })
    .await;
    inject_fault(fault, &deployment).await;
    unfreeze(&deployment);
    for (draft, received) in drafts.into_iter().enumerate() {
        let received = received.await.expect("the caller reads to the end");
        let name = format!("{fault:?}, draft {draft}");
        received.check_records(&name, &prompt(draft), &deployment);
        assert!(received.is_whole, "{name}: {received:?}");
    }
    for (booking, status) in bookings.into_iter().enumerate() {
        let status = status.await.expect("the caller receives a reply");
        assert_eq!(status, StatusCode::OK, "{fault:?}, booking {booking}");
        assert_eq!(deployment.runs_of(&key(booking)), 1, "{fault:?}");
    }
    let host = std::sync::Mutex::new(&mut deployment.hosts[0]);
    wait_until("the process has exited", async || {
        host.lock().expect("not poisoned").exit_status().is_some()
    })
    .await;
    let status = deployment.hosts[0].exit_status().expect("an exit status");
    assert!(status.success(), "{fault:?}: {status}");
    let after = Request::draft("draft", "after the stop", 2);
    assert!(
        ReceivedAnswer::read(&after, deployment.callers_address(1))
            .await
            .is_whole,
        "{fault:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_every_request_in_progress() {
    for fault in FAULTS {
        run(*fault).await;
    }
}
