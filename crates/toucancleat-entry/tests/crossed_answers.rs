//! Many callers at once over links that delay, stall and break: each gets the whole answer
//! to its own request, or is told how it ended.

mod support;

use serde_json::json;
use support::client::Ask;
use support::process::Signal;
use support::proxied::{Proxied, Shape};
use support::received_answer::Told;
use support::wait_until;
use toucancleat_standin::{AtToken, ProxyFaults};

/// Callers at once.
const CALLERS: usize = 24;
/// Rounds of breaking the links while the answers run.
const ROUNDS: usize = 6;

/// What happens to the links, again and again, while answers run.
#[derive(Clone, Copy, Debug)]
enum Cause {
    Delays,
    Cuts,
    StallsOfOneEngine,
    StreamsCutByEngines,
    HostPaused,
    EngineKilled,
}

/// Causes that come together.
const PAIRS: &[[Cause; 2]] = &[
    [Cause::Delays, Cause::Cuts],
    [Cause::Delays, Cause::EngineKilled],
    [Cause::Cuts, Cause::StallsOfOneEngine],
    [Cause::Cuts, Cause::HostPaused],
    [Cause::StreamsCutByEngines, Cause::HostPaused],
    [Cause::StreamsCutByEngines, Cause::EngineKilled],
    [Cause::StallsOfOneEngine, Cause::HostPaused],
    [Cause::StallsOfOneEngine, Cause::EngineKilled],
    [Cause::EngineKilled, Cause::HostPaused],
];

fn shape() -> Shape {
    Shape {
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

fn ask_all(deployment: &Proxied, case: &str) -> Vec<tokio::task::JoinHandle<Told>> {
    (0..CALLERS)
        .map(|caller| {
            let address = deployment.callers(caller % deployment.hosts.len());
            let ask = Ask::draft("draft", &prompt(case, caller), tokens(caller));
            tokio::spawn(async move { Told::read(&ask, address).await })
        })
        .collect()
}

/// Waits until the engines have produced more tokens, or nobody waits for any.
async fn until_tokens_flow(
    deployment: &Proxied,
    reading: &[tokio::task::JoinHandle<Told>],
) {
    let produced = || -> u64 {
        let engines = deployment.engines.iter();
        let records = engines.flat_map(|engine| engine.standin.records().generations);
        records
            .map(|record| u64::from(record.produced_tokens))
            .sum()
    };
    let before = produced();
    wait_until("tokens flow or all is over", async || {
        produced() > before || reading.iter().all(|caller| caller.is_finished())
    })
    .await;
}

async fn bring_about(cause: Cause, round: usize, deployment: &mut Proxied) {
    let engine = round % deployment.engines.len();
    match cause {
        Cause::Delays => {
            let delay_ms = 5 + 10 * round as u64;
            deployment.engines[engine].proxy.set_faults(|faults| {
                faults.to_client.delay_ms = delay_ms;
                faults.to_upstream.delay_ms = delay_ms;
            });
        }
        Cause::Cuts => deployment.engines[engine].proxy.cut(),
        Cause::StallsOfOneEngine => {
            let stalled = round.is_multiple_of(2);
            deployment.engines[0].proxy.set_faults(|faults| {
                faults.to_client.stall = stalled;
                faults.to_upstream.stall = stalled;
            });
        }
        Cause::StreamsCutByEngines => {
            let cut = AtToken { token: 3, times: 4 };
            deployment.set_engine_faults(|faults| faults.cut = Some(cut));
        }
        Cause::HostPaused => {
            let signal = if round.is_multiple_of(2) {
                Signal::Stop
            } else {
                Signal::Continue
            };
            deployment.hosts[1].signal(signal);
        }
        Cause::EngineKilled if round == 1 => deployment.kill_engine(2).await,
        Cause::EngineKilled => {}
    }
}

async fn run(deployment: &mut Proxied, pair: [Cause; 2]) {
    let case = format!("{pair:?}");
    let reading = ask_all(deployment, &case);
    for round in 0..ROUNDS {
        until_tokens_flow(deployment, &reading).await;
        for cause in pair {
            bring_about(cause, round, deployment).await;
        }
    }
    deployment.hosts[1].signal(Signal::Continue);
    for engine in &deployment.engines {
        engine
            .proxy
            .set_faults(|faults| *faults = ProxyFaults::default());
    }
    for (caller, told) in reading.into_iter().enumerate() {
        let told = told.await.expect("the caller reads to the end");
        let name = format!("{case}, caller {caller}");
        told.check(&name, &prompt(&case, caller), deployment);
        told.check_ended(&name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_its_own_answer_whatever_breaks_together() {
    for pair in PAIRS {
        // What one pair did to the judgement of targets must not reach into the next.
        let mut deployment = Proxied::start(shape()).await;
        run(&mut deployment, *pair).await;
    }
}
