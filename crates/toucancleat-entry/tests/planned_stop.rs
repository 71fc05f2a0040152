//! A planned stop cuts off no request that is in progress, whatever else goes wrong.

mod support;

use http::StatusCode;
use serde_json::json;
use support::client::Ask;
use support::process::Signal;
use support::proxied::{Proxied, Shape};
use support::received_answer::Told;
use support::wait_until;

/// Drafts that run when the host is told to stop.
const DRAFTS: usize = 12;
/// Bookings that run when the host is told to stop.
const BOOKINGS: usize = 4;
/// Tokens of each draft.
const TOKENS: u32 = 40;
/// Tokens that each engine has produced by then.
const TOKENS_BEFORE: u32 = 5;

/// What goes wrong while the host finishes its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    Nothing,
    EngineLinksCut,
    EngineLinksSlow,
    PlatformAway,
    PausedMeanwhile,
}

const CAUSES: &[Cause] = &[
    Cause::Nothing,
    Cause::EngineLinksCut,
    Cause::EngineLinksSlow,
    Cause::PlatformAway,
    Cause::PausedMeanwhile,
];

fn prompt(draft: usize) -> String {
    format!("draft {draft}")
}

fn key(booking: usize) -> String {
    format!("booking-{booking}")
}

async fn bring_about(cause: Cause, deployment: &Proxied) {
    match cause {
        Cause::Nothing => {}
        Cause::EngineLinksCut => {
            for engine in &deployment.engines {
                engine.proxy.cut();
            }
        }
        Cause::EngineLinksSlow => {
            for engine in &deployment.engines {
                engine.proxy.set_faults(|faults| {
                    faults.to_client.delay_ms = 50;
                    faults.to_upstream.delay_ms = 50;
                });
            }
        }
        Cause::PlatformAway => {
            let link = &deployment.platform_links[0];
            link.set_faults(|faults| faults.refuse = true);
            link.listening(false).await;
            link.cut();
        }
        Cause::PausedMeanwhile => {
            deployment.hosts[0].signal(Signal::Stop);
            thaw(deployment);
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

fn thaw(deployment: &Proxied) {
    deployment.set_engine_faults(|faults| faults.freeze_at_token = None);
}

/// Begins drafts and bookings, and waits until all of them run at their targets.
async fn begin(
    deployment: &Proxied,
) -> (
    Vec<tokio::task::JoinHandle<Told>>,
    Vec<tokio::task::JoinHandle<StatusCode>>,
) {
    let address = deployment.callers(0);
    deployment.set_engine_faults(|faults| faults.freeze_at_token = Some(TOKENS_BEFORE));
    for service in &deployment.services {
        service.standin.set_faults(|faults| faults.slow_ms = 300);
    }
    let drafts = (0..DRAFTS)
        .map(|draft| async move {
            Told::read(&Ask::draft("draft", &prompt(draft), TOKENS), address).await
        })
        .map(tokio::spawn)
        .collect();
    let bookings = (0..BOOKINGS)
        .map(|booking| async move {
            let ask = Ask::service("booking", "coaches", "{}")
                .header("idempotency-key", &key(booking));
            let reply = ask.send(address).await;
            reply.expect("the host answers").status
        })
        .map(tokio::spawn)
        .collect();
    wait_until("everything runs at its target", async || {
        let engines = deployment.engines.iter();
        let records = engines.map(|engine| engine.standin.records().generations.len());
        records.sum::<usize>() == DRAFTS
            && deployment.service_arrivals() >= BOOKINGS as u64
    })
    .await;
    (drafts, bookings)
}

async fn run(cause: Cause) {
    let mut deployment = Proxied::start(Shape {
        engines: 2,
        services: 1,
        host_zones: &["upp-a", "upp-a"],
        values: json!({}),
    })
    .await;
    let (drafts, bookings) = begin(&deployment).await;
    deployment.hosts[0].signal(Signal::Terminate);
    wait_until("the host takes no new work", async || {
        !support::deployment::ready(deployment.callers(0)).await
    })
    .await;
    bring_about(cause, &deployment).await;
    thaw(&deployment);
    for (draft, told) in drafts.into_iter().enumerate() {
        let told = told.await.expect("the caller reads to the end");
        let name = format!("{cause:?}, draft {draft}");
        told.check(&name, &prompt(draft), &deployment);
        assert!(told.whole, "{name}: {told:?}");
    }
    for (booking, status) in bookings.into_iter().enumerate() {
        let status = status.await.expect("the caller has its reply");
        assert_eq!(status, StatusCode::OK, "{cause:?}, booking {booking}");
        assert_eq!(deployment.runs_of(&key(booking)), 1, "{cause:?}");
    }
    let host = std::sync::Mutex::new(&mut deployment.hosts[0]);
    wait_until("the process has ended", async || {
        host.lock().expect("not poisoned").ended().is_some()
    })
    .await;
    let status = deployment.hosts[0].ended().expect("an exit status");
    assert!(status.success(), "{cause:?}: {status}");
    let after = Ask::draft("draft", "after the stop", 2);
    assert!(
        Told::read(&after, deployment.callers(1)).await.whole,
        "{cause:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn everything_in_progress_ends_well() {
    for cause in CAUSES {
        run(*cause).await;
    }
}
