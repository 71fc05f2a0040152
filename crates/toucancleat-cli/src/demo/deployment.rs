//! Runs the stand-ins and entry hosts of the demonstration on loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use serde_json::{Map, Value, json};
use tokio::time::Instant;
use toucancleat_core::settings::{Tree, api_key_sha256, check};
use toucancleat_entry::platform::PlatformClient;
use toucancleat_entry::{Config, EntryHost};
use toucancleat_standin::{
    Engine, EngineConfig, GenerationState, Platform, PlatformConfig, Service,
    ServiceConfig,
};

use crate::error::Error;
use crate::output::Output;
use crate::settings;

const ZONES: [&str; 2] = ["upp-a", "upp-b"];
const ENGINES_PER_ZONE: usize = 2;
const ENGINE_MEMORY_TOKENS: u64 = 65_536;
const ENGINE_MAX_BATCH: u32 = 16;
const SERVICE_RUN_MS: u64 = 20;
/// Time limit for the entry hosts to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(20);

/// The API keys of the two organisations of the demonstration.
pub(super) const API_KEYS: [&str; 2] =
    ["uppland-transit-demo-key", "fyris-coaches-demo-key"];

/// The running stand-ins and entry hosts.
pub(super) struct Deployment {
    platform: Platform,
    engines: Vec<Engine>,
    services: Vec<Service>,
    hosts: Vec<EntryHost>,
}

impl Deployment {
    /// Starts the stand-ins, commits the settings, starts the entry hosts and waits until they
    /// are ready.
    pub(super) async fn start() -> Result<Self, Error> {
        let platform = Platform::start(PlatformConfig::default()).await?;
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for _ in ZONES {
            for _ in 0..ENGINES_PER_ZONE {
                engines.push(Engine::start(EngineConfig::default()).await?);
            }
            let config = ServiceConfig {
                run_ms: SERVICE_RUN_MS,
                ..ServiceConfig::default()
            };
            services.push(Service::start(config).await?);
        }
        let tree = settings_tree(&engines, &services)?;
        settings::commit_tree(&PlatformClient::new(platform.address()), "demo", tree)
            .await?;
        let mut hosts = Vec::new();
        for (index, zone) in ZONES.iter().enumerate() {
            let name = format!("entry-{}", index + 1);
            let config = Config::loopback(&name, zone, platform.address());
            let host = EntryHost::start(config).await;
            hosts.push(host.map_err(|error| Error::unreachable(error.to_string()))?);
        }
        let deployment = Deployment {
            platform,
            engines,
            services,
            hosts,
        };
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns a text that describes the deployment.
    pub(super) fn describe(&self) -> String {
        format!(
            "a stand-in platform, {} engines, {} services and {} entry hosts in {} availability \
             zones, all in this process on loopback",
            self.engines.len(),
            self.services.len(),
            self.hosts.len(),
            ZONES.len(),
        )
    }

    /// Returns the callers' addresses of the entry hosts.
    pub(super) fn callers_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(EntryHost::callers_address).collect()
    }

    /// Stops the busiest engine abruptly, like a crash of its process.
    ///
    /// Returns the number of generations it was running, or `None`, without stopping an
    /// engine, if no generation is running.
    pub(super) fn stop_busiest_engine(&mut self) -> Option<usize> {
        let running = self.engines.iter().map(running_generations);
        let (busiest, running) =
            running.enumerate().max_by_key(|(_, running)| *running)?;
        if running == 0 {
            return None;
        }
        self.engines.remove(busiest);
        Some(running)
    }

    /// Returns the number of runs of each booking, over all services.
    pub(super) fn booking_runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for service in &self.services {
            for (key, count) in service.records().run_counts_by_key() {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }

    /// Keeps everything running until the operator presses Ctrl-C.
    pub(super) async fn wait_for_interrupt(&self, output: &Output) -> Result<(), Error> {
        output.write_notice(&format!(
            "the deployment runs until Ctrl-C; try in another shell:\n\
             \x20 export TOUCANCLEAT_PLATFORM={}\n\
             \x20 toucancleat hosts\n\
             \x20 toucancleat settings set /fleet/values/priority 7 --wait\n\
             \x20 toucancleat timeline --kind request_refused",
            self.platform.address()
        ))?;
        tokio::signal::ctrl_c().await?;
        Ok(())
    }

    /// Drains the entry hosts, and then stops the stand-ins.
    pub(super) async fn stop(self) {
        join_all(self.hosts.into_iter().map(EntryHost::drain)).await;
    }

    async fn wait_until_ready(&self) -> Result<(), Error> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.hosts.iter().all(EntryHost::is_ready) {
            if Instant::now() >= deadline {
                let message = "the entry hosts weren't all ready in time".to_owned();
                return Err(Error::unreachable(message));
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Ok(())
    }
}

fn running_generations(engine: &Engine) -> usize {
    let generations = engine.records().generations;
    let running = generations
        .iter()
        .filter(|generation| generation.state == GenerationState::Running);
    running.count()
}

fn settings_tree(engines: &[Engine], services: &[Service]) -> Result<Tree, Error> {
    let engines = engines.iter().map(Engine::address);
    let services = services.iter().map(Service::address);
    let organisation = |api_key: &str, share_weight: f64| {
        json!({
            "api_key_sha256": [api_key_sha256(api_key)],
            "level": {"values": {"share_weight": share_weight}},
        })
    };
    let tree = json!({
        "zones": ZONES,
        "pools": {
            "plan-llm": {
                "class": "model_engine", "targets": targets_json("plan-llm", engines, ENGINES_PER_ZONE),
            },
            "roster-api": {"class": "service", "targets": targets_json("roster-api", services, 1)},
        },
        "fleet": {"kinds": {
            "timetable-draft": {"pool": "plan-llm", "priority": 6},
            "stop-pair-check": {"pool": "plan-llm", "delivery": "whole", "priority": 7},
            "roster-lookup": {"pool": "roster-api"},
            "coach-booking": {"pool": "roster-api", "idempotent": false},
        }},
        "live_events": {"closure-weekend": {
            "starts_at_unix_ms": 4_000_000_000_000_u64,
            "ends_at_unix_ms": 4_000_200_000_000_u64,
            "organisations": {
                "uppland-transit": organisation(API_KEYS[0], 3.0),
                "fyris-coaches": organisation(API_KEYS[1], 1.0),
            },
        }},
    });
    let tree: Tree = serde_json::from_value(tree).map_err(|error| {
        Error::invalid_settings(format!(
            "could not decode the demonstration's settings: {error}"
        ))
    })?;
    match check(&tree).first() {
        Some(problem) => Err(Error::invalid_settings(format!(
            "the demonstration's settings have a problem: {problem}"
        ))),
        None => Ok(tree),
    }
}

fn targets_json(
    pool: &str,
    addresses: impl Iterator<Item = SocketAddr>,
    per_zone: usize,
) -> Value {
    let targets = addresses.enumerate().map(|(index, address)| {
        let target = json!({
            "zone": ZONES[index / per_zone],
            "address": address.to_string(),
            "memory_tokens": ENGINE_MEMORY_TOKENS,
            "max_batch": ENGINE_MAX_BATCH,
        });
        (format!("{pool}-{}", index + 1), target)
    });
    Value::Object(targets.collect::<Map<String, Value>>())
}
