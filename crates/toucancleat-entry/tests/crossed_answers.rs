//! Many concurrent callers over links that delay, stall and break: each receives the
//! whole answer to its own request, or a verdict.

mod support;

use serde_json::json;
use support::client::Request;
use support::process::Signal;
use support::proxied::{DeploymentConfig, ProxiedDeployment};
use support::received_answer::ReceivedAnswer;
use support::wait_until;
use toucancleat_standin::{ProxyFaults, StreamCut};

/// Concurrent callers.
const CALLERS: usize = 24;
/// Rounds of injecting faults while the answers run.
const ROUNDS: usize = 6;

/// A fault that is injected in every round while answers run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Delays,
    Cuts,
    StallsOfOneEngine,
    StreamsCutByEngines,
    HostPaused,
    EngineKilled,
}

/// Faults that are injected together.
const PAIRS: &[[Fault; 2]] = &[
    [Fault::Delays, Fault::Cuts],
    [Fault::Delays, Fault::EngineKilled],
    [Fault::Cuts, Fault::StallsOfOneEngine],
    [Fault::Cuts, Fault::HostPaused],
    [Fault::StreamsCutByEngines, Fault::HostPaused],
    [Fault::StreamsCutByEngines, Fault::EngineKilled],
    [Fault::StallsOfOneEngine, Fault::HostPaused],
    [Fault::StallsOfOneEngine, Fault::EngineKilled],
    [Fault::EngineKilled, Fault::HostPaused],
];

fn config() -> DeploymentConfig {
    DeploymentConfig {
        engines: 3,
        services: 0,
        host_zones: &["upp-a", "upp-a"],
        values: json!({ "stall_timeout_ms": 700, "first_token_timeout_ms": 5_000 }),
    }
}

fn prompt(case: &str, caller: usize) -> String {
    format!("{case}: caller {caller}")
}

/// Answers of different lengths, so that they end at different times.
fn tokens(caller: usize) -> u32 {
    20 + 5 * (caller as u32 % 8)
}

fn send_all(
    deployment: &ProxiedDeployment,
    case: &str,
) -> Vec<tokio::task::JoinHandle<ReceivedAnswer>> {
    (0..CALLERS)
        .map(|caller| {
            let address = deployment.callers_address(caller % deployment.hosts.len());
            let request = Request::draft("draft", &prompt(case, caller), tokens(caller));
            tokio::spawn(async move { ReceivedAnswer::read(&request, address).await })
        })
        .collect()
}

/// Waits until the engines have produced more tokens, or all callers have finished.
async fn wait_until_tokens_flow(
    deployment: &ProxiedDeployment,
    readers: &[tokio::task::JoinHandle<ReceivedAnswer>],
) {
    let produced = || -> u64 {
        let engines = deployment.engines.iter();
        let records = engines.flat_map(|engine| engine.standin.records().generations);
        records
            .map(|record| u64::from(record.produced_tokens))
            .sum()
    };
    let before = produced();
    wait_until(
        "tokens are produced or all callers have finished",
        async || produced() > before || readers.iter().all(|caller| caller.is_finished()),
    )
    .await;
}

async fn inject_fault(fault: Fault, round: usize, deployment: &mut ProxiedDeployment) {
    let engine = round % deployment.engines.len();
    match fault {
        Fault::Delays => {
            let delay_ms = 5 + 10 * round as u64;
            deployment.engines[engine].proxy.set_faults(|faults| {
                faults.to_client.delay_ms = delay_ms;
                faults.to_upstream.delay_ms = delay_ms;
            });
        }
        Fault::Cuts => deployment.engines[engine].proxy.reset_connections(),
        Fault::StallsOfOneEngine => {
            let is_stalled = round.is_multiple_of(2);
            deployment.engines[0].proxy.set_faults(|faults| {
                faults.to_client.stall = is_stalled;
                faults.to_upstream.stall = is_stalled;
            });
        }
        Fault::StreamsCutByEngines => {
            let cut = StreamCut { token: 3, times: 4 };
            deployment.set_engine_faults(|faults| faults.cut = Some(cut));
        }
        Fault::HostPaused => {
            let signal = if round.is_multiple_of(2) {
                Signal::Stop
            } else {
                Signal::Continue
            };
            deployment.hosts[1].signal(signal);
        }
        Fault::EngineKilled if round == 1 => deployment.kill_engine(2).await,
        Fault::EngineKilled => {}
    }
}

async fn run(deployment: &mut ProxiedDeployment, pair: [Fault; 2]) {
    let case = format!("{pair:?}");
    let readers = send_all(deployment, &case);
    for round in 0..ROUNDS {
        wait_until_tokens_flow(deployment, &readers).await;
        for fault in pair {
            inject_fault(fault, round, deployment).await;
        }
    }
    deployment.hosts[1].signal(Signal::Continue);
    for engine in &deployment.engines {
        engine
            .proxy
            .set_faults(|faults| *faults = ProxyFaults::default());
    }
    for (caller, received) in readers.into_iter().enumerate() {
        let received = received.await.expect("the caller reads to the end");
        let name = format!("{case}, caller {caller}");
        received.check_records(&name, &prompt(&case, caller), deployment);
        received.check_is_answered(&name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_its_own_answer_under_combined_faults() {
    for pair in PAIRS {
        // The state of the targets' circuit breakers after one pair must not affect the
        // next.
        let mut deployment = ProxiedDeployment::start(config()).await;
        run(&mut deployment, *pair).await;
    }
}
