//! A request that crashes each target that runs it is isolated and then refused by its
//! content, at every entry host of the zone, and harms no other request for long.

mod support;

use http::Method;
use serde_json::json;
use support::client::{Ask, Reply};
use support::process::HostProcess;
use support::received_answer::Told;
use support::settings;
use support::wait_until;
use toucancleat_core::settings::Tree;
use toucancleat_entry::platform::Platform as PlatformClient;
use toucancleat_standin::{Engine, EngineConfig, Platform, PlatformConfig, fingerprint};

/// The text that crashes an engine.
const MARKER: &str = "crash the engine";
/// Crashes after which the content is refused.
const CRASHES_MAX: usize = 3;
/// How often its caller sends the request again.
const REPEATS: usize = 8;
const ENGINES: usize = 5;

/// Entry hosts that reach their engines directly, since a proxy would hide from them that
/// nothing listens at a dead engine's port.
struct Direct {
    _platform: Platform,
    engines: Vec<Engine>,
    dead: Vec<Engine>,
    hosts: Vec<HostProcess>,
}

impl Direct {
    async fn start() -> Direct {
        let platform = Platform::start(PlatformConfig::default())
            .await
            .expect("a platform");
        let mut engines = Vec::new();
        let mut targets = Vec::new();
        for index in 0..ENGINES {
            let engine = engine(EngineConfig::default()).await;
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
            wait_until("the host is ready", || support::deployment::ready(address)).await;
            hosts.push(host);
        }
        wait_until("the hosts know each other", async || {
            let mut known = true;
            for host in &hosts {
                known &= live_hosts(host).await == hosts.len();
            }
            known
        })
        .await;
        Direct {
            _platform: platform,
            engines,
            dead: Vec::new(),
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
                let replaced = engine(config).await;
                let dead = std::mem::replace(&mut self.engines[index], replaced);
                self.dead.push(dead);
            }
        }
        for host in &self.hosts {
            let address = host.callers_address;
            wait_until("an innocent request is whole", async || {
                Told::read(&innocent(), address).await.whole
            })
            .await;
        }
    }

    /// Returns how often engines began the request that crashes them.
    fn runs(&self) -> usize {
        let prompt = fingerprint(MARKER.as_bytes());
        let engines = self.engines.iter().chain(&self.dead);
        let generations = engines.flat_map(|engine| engine.records().generations);
        let marked = generations.filter(|record| record.prompt_fingerprint == prompt);
        marked.count()
    }
}

/// Reads a page of a host's operators' port.
async fn page(host: &HostProcess, path: &str) -> Reply {
    let ask = Ask {
        method: Method::GET,
        ..Ask::post(path, "")
    };
    let reply = ask.send(host.operators_address).await;
    reply.expect("the operators' port answers")
}

/// Returns how many entry hosts of the zone a host takes to be alive.
async fn live_hosts(host: &HostProcess) -> usize {
    let hosts = page(host, "/hosts").await.member("hosts");
    let live = |host: &&serde_json::Value| host["status"] == "alive";
    hosts
        .as_array()
        .map_or(0, |list| list.iter().filter(live).count())
}

/// Waits until every host has heard of the crashes.
async fn wait_until_marked(hosts: &[HostProcess]) {
    for host in hosts {
        wait_until("the host has heard of the crashes", async || {
            let status = page(host, "/status").await;
            status.member("marked_requests").as_u64() > Some(0)
        })
        .await;
    }
}

async fn engine(config: EngineConfig) -> Engine {
    let config = EngineConfig {
        time_scale: 4.0,
        ..config
    };
    let engine = Engine::start(config).await.expect("an engine");
    engine.set_faults(|faults| faults.crash_marker = Some(MARKER.to_owned()));
    engine
}

fn innocent() -> Ask {
    Ask::draft("draft", "innocent", 2)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_its_targets_is_refused_at_every_host() {
    let mut deployment = Direct::start().await;
    let mut refused = false;
    for repeat in 0..REPEATS {
        // Its caller sends it under another key each time, here and there.
        let ask = Ask::draft("draft", MARKER, 10)
            .header("idempotency-key", &format!("try-{repeat}"));
        let address = deployment.hosts[repeat % 2].callers_address;
        let told = Told::read(&ask, address).await;
        let name = format!("repeat {repeat}");
        told.check_ended(&name);
        assert!(!told.whole, "{name}: {told:?}");
        refused = told.status == Some(422);
        if refused {
            break;
        }
        wait_until_marked(&deployment.hosts).await;
        deployment.replace_crashed().await;
    }
    assert!(refused, "the request was never refused");
    let runs = deployment.runs();
    assert!(runs <= CRASHES_MAX, "it ran {runs} times");

    for host in &deployment.hosts {
        let address = host.callers_address;
        wait_until("the host refuses the content", async || {
            let told = Told::read(&Ask::draft("draft", MARKER, 10), address).await;
            told.status == Some(422)
        })
        .await;
        assert!(Told::read(&innocent(), address).await.whole);
    }
    assert_eq!(deployment.runs(), runs, "it ran again after it was refused");
}
