//! A poison request, which crashes every target that runs it, is isolated and then
//! refused by its content at every entry host of the zone, and other requests are served
//! again.

mod support;

use http::Method;
use serde_json::json;
use support::client::{Reply, Request};
use support::process::HostProcess;
use support::received_answer::ReceivedAnswer;
use support::settings;
use support::wait_until;
use toucancleat_core::settings::Tree;
use toucancleat_entry::platform::PlatformClient;
use toucancleat_standin::{Engine, EngineConfig, Platform, PlatformConfig, fingerprint};

/// The text that crashes an engine.
const MARKER: &str = "crash the engine";
/// Crashes after which the content is refused.
const CRASHES_MAX: usize = 3;
/// How often the caller sends the request.
const REPEATS: usize = 8;
const ENGINES: usize = 5;

/// A deployment without proxies: a proxy would hide from the entry hosts that nothing
/// listens at the port of a dead engine.
struct DirectDeployment {
    _platform: Platform,
    engines: Vec<Engine>,
    crashed: Vec<Engine>,
    hosts: Vec<HostProcess>,
}

impl DirectDeployment {
    async fn start() -> DirectDeployment {
        let platform = Platform::start(PlatformConfig::default())
            .await
            .expect("a platform");
        let mut engines = Vec::new();
        let mut targets = Vec::new();
        for index in 0..ENGINES {
            let engine = start_engine(EngineConfig::default()).await;
            let name = format!("plan-llm-{index}");
            targets.push((name, "upp-a".to_owned(), engine.address()));
            engines.push(engine);
        }
        let tree = serde_json::to_value(settings::tree(&targets, &[]));
        let mut tree = tree.expect("a tree is JSON");
        tree["fleet"]["values"] = json!({ "stall_timeout_ms": 1_000 });
        let tree: Tree = serde_json::from_value(tree).expect("well formed");
        let client = PlatformClient::new(platform.address());
        settings::commit(&client, &Tree::default(), &tree).await;
        let mut hosts = Vec::new();
        for index in 0..2 {
            let name = format!("entry-{index}");
            let host = HostProcess::start(&name, "upp-a", platform.address());
            let address = host.callers_address;
            wait_until("the host is ready", || {
                support::deployment::is_ready(address)
            })
            .await;
            hosts.push(host);
        }
        wait_until("the hosts know each other", async || {
            let mut all_known = true;
            for host in &hosts {
                all_known &= live_hosts(host).await == hosts.len();
            }
            all_known
        })
        .await;
        DirectDeployment {
            _platform: platform,
            engines,
            crashed: Vec::new(),
            hosts,
        }
    }

    /// Replaces the engines that crashed, and waits until both hosts serve again.
    async fn replace_crashed(&mut self) {
        for index in 0..self.engines.len() {
            if self.engines[index].is_stopped() {
                let bind = self.engines[index].address();
                let config = EngineConfig {
                    bind,
                    ..EngineConfig::default()
                };
                let replaced = start_engine(config).await;
                let crashed = std::mem::replace(&mut self.engines[index], replaced);
                self.crashed.push(crashed);
            }
        }
        for host in &self.hosts {
            let address = host.callers_address;
            wait_until("an answer to another request is whole", async || {
                ReceivedAnswer::read(&other_request(), address)
                    .await
                    .is_whole
            })
            .await;
        }
    }

    /// Returns how often an engine began the poison request.
    fn runs(&self) -> usize {
        let prompt = fingerprint(MARKER.as_bytes());
        let engines = self.engines.iter().chain(&self.crashed);
        let generations = engines.flat_map(|engine| engine.records().generations);
        let marked = generations.filter(|record| record.prompt_fingerprint == prompt);
        marked.count()
    }
}

/// Reads a page of a host's operators' port.
async fn page(host: &HostProcess, path: &str) -> Reply {
    let request = Request {
        method: Method::GET,
        ..Request::post(path, "")
    };
    let reply = request.send(host.operators_address).await;
    reply.expect("the operators' port answers")
}

/// Returns the number of entry hosts of the zone that a host considers alive.
async fn live_hosts(host: &HostProcess) -> usize {
    let hosts = page(host, "/hosts").await.member("hosts");
    let is_alive = |host: &&serde_json::Value| host["status"] == "alive";
    hosts
        .as_array()
        .map_or(0, |list| list.iter().filter(is_alive).count())
}

/// Waits until every host has received the crash marks.
async fn wait_until_marked(hosts: &[HostProcess]) {
    for host in hosts {
        wait_until("the host has received the crash marks", async || {
            let status = page(host, "/status").await;
            status.member("marked_requests").as_u64() > Some(0)
        })
        .await;
    }
}

async fn start_engine(config: EngineConfig) -> Engine {
    let config = EngineConfig {
        time_scale: 4.0,
        ..config
    };
    let engine = Engine::start(config).await.expect("an engine");
    engine.set_faults(|faults| faults.crash_marker = Some(MARKER.to_owned()));
    engine
}

fn other_request() -> Request {
    Request::draft("draft", "another request", 2)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_is_refused_at_every_host() {
    let mut deployment = DirectDeployment::start().await;
    let mut is_refused = false;
    for repeat in 0..REPEATS {
        // The caller sends it under another key each time, to the hosts in turn.
        let request = Request::draft("draft", MARKER, 10)
            .header("idempotency-key", &format!("try-{repeat}"));
        let address = deployment.hosts[repeat % 2].callers_address;
        let received = ReceivedAnswer::read(&request, address).await;
        let name = format!("repeat {repeat}");
        received.check_is_answered(&name);
        assert!(!received.is_whole, "{name}: {received:?}");
        is_refused = received.status == Some(422);
        if is_refused {
            break;
        }
        wait_until_marked(&deployment.hosts).await;
        deployment.replace_crashed().await;
    }
    assert!(is_refused, "the poison request was never refused");
    let runs = deployment.runs();
    assert!(runs <= CRASHES_MAX, "it ran {runs} times");

    for host in &deployment.hosts {
        let address = host.callers_address;
        wait_until("the host refuses the content", async || {
            let received =
                ReceivedAnswer::read(&Request::draft("draft", MARKER, 10), address).await;
            received.status == Some(422)
        })
        .await;
        assert!(
            ReceivedAnswer::read(&other_request(), address)
                .await
                .is_whole
        );
    }
    assert_eq!(deployment.runs(), runs, "it ran again after it was refused");
}
