//! A deployment in which every link of entry hosts to the platform and to targets passes
//! through a fault proxy.

use std::net::SocketAddr;

use http::Method;
use serde_json::Value;
use toucancleat_core::settings::Tree;
use toucancleat_entry::platform::PlatformClient;
use toucancleat_standin::{
    Engine, EngineConfig, EngineFaults, FaultProxy, FaultProxyConfig, Platform,
    PlatformConfig, PlatformFaults, ProxyFaults, Service, ServiceConfig, ServiceFaults,
};

use super::client::Request;
use super::deployment::is_ready;
use super::process::HostProcess;
use super::{settings, wait_until};

/// Factor by which the engines' time runs faster than the clock.
const TIME_SCALE: f64 = 4.0;

/// The parts and settings of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentConfig {
    pub engines: usize,
    pub services: usize,
    /// The zone of each entry host; targets are in the first one.
    pub host_zones: &'static [&'static str],
    /// Values of the fleet that differ from the defaults of the tests.
    pub values: Value,
}

/// A stand-in with the proxy in front of it.
#[derive(Debug)]
pub struct ProxiedStandIn<T> {
    pub standin: T,
    pub proxy: FaultProxy,
}

/// Stand-ins behind fault proxies, and the entry hosts that connect through them.
#[derive(Debug)]
pub struct ProxiedDeployment {
    pub platform: Platform,
    /// One link to the platform for each entry host.
    pub platform_links: Vec<FaultProxy>,
    pub engines: Vec<ProxiedStandIn<Engine>>,
    pub services: Vec<ProxiedStandIn<Service>>,
    pub hosts: Vec<HostProcess>,
    /// Engines that were killed and replaced, whose records are kept.
    pub dead_engines: Vec<Engine>,
    host_zones: &'static [&'static str],
}

impl ProxiedDeployment {
    /// Starts a deployment and waits until the entry hosts are ready.
    pub async fn start(config: DeploymentConfig) -> ProxiedDeployment {
        let mut engines = Vec::new();
        for _ in 0..config.engines {
            let engine = start_engine().await;
            engines.push(start_proxy(engine.address(), engine).await);
        }
        let mut services = Vec::new();
        for _ in 0..config.services {
            let service = Service::start(ServiceConfig::default())
                .await
                .expect("a service");
            services.push(start_proxy(service.address(), service).await);
        }
        let platform = Platform::start(PlatformConfig::default())
            .await
            .expect("a platform");
        let tree = tree(&config, &engines, &services);
        let client = PlatformClient::new(platform.address());
        settings::commit(&client, &Tree::default(), &tree).await;
        let mut deployment = ProxiedDeployment {
            platform,
            platform_links: Vec::new(),
            engines,
            services,
            hosts: Vec::new(),
            dead_engines: Vec::new(),
            host_zones: config.host_zones,
        };
        for _ in 0..config.host_zones.len() {
            deployment.add_host().await;
        }
        deployment.wait_until_settled().await;
        deployment
    }

    /// Returns the address at which callers of an entry host connect.
    pub fn callers_address(&self, host: usize) -> SocketAddr {
        self.hosts[host].callers_address
    }

    /// Removes all faults, replaces killed engines and restarts dead entry hosts.
    pub async fn heal(&mut self) {
        self.platform
            .set_faults(|faults| *faults = PlatformFaults::default());
        for service in &self.services {
            service
                .standin
                .set_faults(|faults| *faults = ServiceFaults::default());
        }
        for proxy in self.proxies() {
            proxy.set_faults(|faults| *faults = ProxyFaults::default());
        }
        for index in 0..self.engines.len() {
            self.heal_engine(index).await;
        }
        for index in 0..self.hosts.len() {
            self.heal_host(index).await;
        }
    }

    /// Waits until the entry hosts of each zone know each other and their shares of the
    /// limits are settled: until then a first request may wait longer than a test allows.
    async fn wait_until_settled(&self) {
        for (index, zone) in self.host_zones.iter().enumerate() {
            let count = self
                .host_zones
                .iter()
                .filter(|other| *other == zone)
                .count();
            wait_until("the entry hosts know each other", async || {
                let request = Request {
                    method: Method::GET,
                    ..Request::post("/status", "")
                };
                let Ok(reply) = request.send(self.hosts[index].operators_address).await
                else {
                    return false;
                };
                reply.member("zone_hosts").as_u64() == Some(count as u64)
                    && reply.member("limits_settled") == true
            })
            .await;
        }
    }

    /// Returns true if an entry host admits every target.
    pub async fn all_targets_admitted(&self, host: usize) -> bool {
        let request = Request {
            method: Method::GET,
            ..Request::post("/targets", "")
        };
        let Ok(reply) = request.send(self.hosts[host].operators_address).await else {
            return false;
        };
        let targets = reply.member("targets");
        let is_admitted = |target: &serde_json::Value| target["admission"] == "Yes";
        targets
            .as_array()
            .is_some_and(|list| list.iter().all(is_admitted))
    }

    /// Kills an engine, whose records are kept.
    pub async fn kill_engine(&mut self, index: usize) {
        self.engines[index].standin.kill().await;
    }

    /// Returns the index of the first engine that has received a prompt.
    pub fn engine_of_prompt(&self, prompt: &str) -> Option<usize> {
        let prompt = toucancleat_standin::fingerprint(prompt.as_bytes());
        self.engines.iter().position(|engine| {
            let records = engine.standin.records();
            let mut generations = records.generations.iter();
            generations.any(|generation| generation.prompt_fingerprint == prompt)
        })
    }

    /// Changes the faults of every engine.
    pub fn set_engine_faults(&self, change: impl Fn(&mut EngineFaults)) {
        for engine in &self.engines {
            engine.standin.set_faults(&change);
        }
    }

    /// Returns the number of runs that the services recorded for a key.
    pub fn runs_of(&self, key: &str) -> usize {
        let runs = self.services.iter().map(|service| {
            let by_key = service.standin.records().run_counts_by_key();
            by_key.get(key).copied().unwrap_or(0)
        });
        runs.sum()
    }

    /// Returns the number of runs that the services recorded.
    pub fn service_runs(&self) -> u64 {
        let services = self.services.iter();
        services
            .map(|service| service.standin.records().runs.len() as u64)
            .sum()
    }

    /// Returns the number of requests that arrived at the services.
    pub fn service_arrivals(&self) -> u64 {
        let services = self.services.iter();
        services
            .map(|service| service.standin.records().arrivals)
            .sum()
    }

    fn proxies(&self) -> impl Iterator<Item = &FaultProxy> {
        let engines = self.engines.iter().map(|engine| &engine.proxy);
        let services = self.services.iter().map(|service| &service.proxy);
        engines.chain(services).chain(&self.platform_links)
    }

    async fn heal_engine(&mut self, index: usize) {
        let proxied = &mut self.engines[index];
        if proxied.standin.is_stopped() {
            let replacement = start_engine().await;
            proxied.proxy.set_upstream(replacement.address());
            let dead = std::mem::replace(&mut proxied.standin, replacement);
            self.dead_engines.push(dead);
        }
        proxied
            .standin
            .set_faults(|faults| *faults = EngineFaults::default());
    }

    async fn heal_host(&mut self, index: usize) {
        if self.hosts[index].exit_status().is_some() {
            let platform = self.platform_links[index].address();
            let zone = self.host_zones[index];
            let name = format!("entry-{index}");
            self.hosts[index] = HostProcess::start(&name, zone, platform);
        }
        let address = self.callers_address(index);
        wait_until("the entry host is ready", || is_ready(address)).await;
    }

    async fn add_host(&mut self) {
        let index = self.hosts.len();
        let link = FaultProxy::start(FaultProxyConfig::new(self.platform.address()))
            .await
            .expect("a proxy");
        let name = format!("entry-{index}");
        let host = HostProcess::start(&name, self.host_zones[index], link.address());
        let address = host.callers_address;
        self.platform_links.push(link);
        self.hosts.push(host);
        wait_until("the entry host is ready", || is_ready(address)).await;
    }
}

async fn start_engine() -> Engine {
    let config = EngineConfig {
        time_scale: TIME_SCALE,
        ping_ms: 100,
        ..EngineConfig::default()
    };
    Engine::start(config).await.expect("an engine")
}

async fn start_proxy<T>(address: SocketAddr, standin: T) -> ProxiedStandIn<T> {
    let proxy = FaultProxy::start(FaultProxyConfig::new(address))
        .await
        .expect("a proxy");
    ProxiedStandIn { standin, proxy }
}

/// Returns the default tree of the tests with the proxies as targets, all in the first
/// zone.
fn tree(
    config: &DeploymentConfig,
    engines: &[ProxiedStandIn<Engine>],
    services: &[ProxiedStandIn<Service>],
) -> Tree {
    let zone = config.host_zones[0];
    let target = |pool: &str, index: usize, proxy: &FaultProxy| {
        (format!("{pool}-{index}"), zone.to_owned(), proxy.address())
    };
    let engines: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| target("plan-llm", index, &engine.proxy))
        .collect();
    let services: Vec<_> = services
        .iter()
        .enumerate()
        .map(|(index, service)| target("roster-api", index, &service.proxy))
        .collect();
    let tree = settings::tree(&engines, &services);
    let mut tree = serde_json::to_value(tree).expect("a tree is JSON");
    let values = tree["fleet"]["values"].as_object_mut().expect("values");
    values.extend(config.values.as_object().cloned().unwrap_or_default());
    serde_json::from_value(tree).expect("the tree is well formed")
}
