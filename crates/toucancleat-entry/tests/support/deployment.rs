//! A deployment of stand-ins and entry hosts without proxies.

use std::net::SocketAddr;

use http::Method;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::Tree;
use toucancleat_entry::platform::PlatformClient;
use toucancleat_standin::{
    Engine, EngineConfig, Platform, PlatformConfig, Service, ServiceConfig,
};

use super::client::Request;
use super::process::HostProcess;
use super::{settings, wait_until};

/// The zones of the deployment.
pub const ZONES: [&str; 2] = ["upp-a", "upp-b"];

/// A platform, engines, services and entry hosts.
pub struct Deployment {
    pub platform: Platform,
    pub client: PlatformClient,
    pub engines: Vec<Engine>,
    pub services: Vec<Service>,
    pub hosts: Vec<HostProcess>,
    pub tree: Tree,
}

impl Deployment {
    /// Starts stand-ins in alternating zones, commits the settings, starts one entry host
    /// in each zone and waits until they are ready.
    pub async fn start(engines: usize, services: usize) -> Deployment {
        Deployment::start_with(engines, services, |_| {}).await
    }

    /// Starts a deployment whose settings are changed before the first commit.
    pub async fn start_with(
        engines: usize,
        services: usize,
        change: impl FnOnce(&mut Tree),
    ) -> Deployment {
        let mut deployment = Deployment::without_hosts(engines, services).await;
        change(&mut deployment.tree);
        let tree = deployment.tree.clone();
        settings::commit(&deployment.client, &Tree::default(), &tree).await;
        for (index, zone) in ZONES.iter().enumerate() {
            deployment.add_host(&format!("entry-{index}"), zone).await;
        }
        deployment
    }

    /// Starts only the stand-ins.
    pub async fn without_hosts(engines: usize, services: usize) -> Deployment {
        let platform = Platform::start(PlatformConfig::default())
            .await
            .expect("a platform");
        let mut engine_list = Vec::new();
        let mut engine_targets = Vec::new();
        for index in 0..engines {
            let engine = Engine::start(EngineConfig::default())
                .await
                .expect("an engine");
            engine_targets.push(target("plan-llm", index, engine.address()));
            engine_list.push(engine);
        }
        let mut service_list = Vec::new();
        let mut service_targets = Vec::new();
        for index in 0..services {
            let service = Service::start(ServiceConfig::default())
                .await
                .expect("a service");
            service_targets.push(target("roster-api", index, service.address()));
            service_list.push(service);
        }
        Deployment {
            client: PlatformClient::new(platform.address()),
            platform,
            engines: engine_list,
            services: service_list,
            hosts: Vec::new(),
            tree: settings::tree(&engine_targets, &service_targets),
        }
    }

    /// Starts another entry host and waits until it is ready.
    pub async fn add_host(&mut self, name: &str, zone: &str) {
        let host = HostProcess::start(name, zone, self.platform.address());
        let address = host.callers_address;
        self.hosts.push(host);
        wait_until("the entry host is ready", || is_ready(address)).await;
    }

    /// Returns the address at which callers of an entry host connect.
    pub fn callers_address(&self, host: usize) -> SocketAddr {
        self.hosts[host].callers_address
    }

    /// Waits until an entry host knows a number of live entry hosts in its zone.
    pub async fn wait_for_members(&self, host: usize, count: usize) {
        let request = Request {
            method: Method::GET,
            ..Request::post("/hosts", "")
        };
        let address = self.hosts[host].operators_address;
        wait_until("the entry hosts of the zone know each other", async || {
            let Ok(reply) = request.send(address).await else {
                return false;
            };
            let hosts = reply.member("hosts");
            let is_alive = |host: &&serde_json::Value| host["status"] == "alive";
            hosts
                .as_array()
                .map_or(0, |list| list.iter().filter(is_alive).count())
                == count
        })
        .await;
    }

    /// Returns a number of an entry host's status; `None` if the host doesn't reply.
    pub async fn status_number(&self, host: usize, name: &str) -> Option<u64> {
        let request = Request {
            method: Method::GET,
            ..Request::post("/status", "")
        };
        let reply = request
            .send(self.hosts[host].operators_address)
            .await
            .ok()?;
        reply.member(name).as_u64()
    }

    /// Returns the number of runs that the services recorded for a key.
    pub fn runs_of(&self, key: &str) -> usize {
        let runs = |service: &Service| {
            service
                .records()
                .run_counts_by_key()
                .get(key)
                .copied()
                .unwrap_or_default()
        };
        self.services.iter().map(runs).sum()
    }

    /// Sets a value of a request kind and returns the new revision.
    pub async fn set_kind_value(
        &self,
        kind: &str,
        name: &str,
        value: serde_json::Value,
    ) -> Revision {
        let path = format!("/fleet/kinds/{kind}/{name}");
        let edit = toucancleat_core::settings::Edit::set(&path, value);
        settings::commit_edits(&self.client, vec![edit]).await
    }
}

/// Returns true if an entry host is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    let request = Request {
        method: Method::GET,
        ..Request::post("/readyz", "")
    };
    request
        .send(address)
        .await
        .is_ok_and(|reply| reply.status.is_success())
}

fn target(pool: &str, index: usize, address: SocketAddr) -> (String, String, SocketAddr) {
    (
        format!("{pool}-{index}"),
        ZONES[index % ZONES.len()].to_owned(),
        address,
    )
}
