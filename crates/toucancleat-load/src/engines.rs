//! Starts the stand-in engines of a run on loopback and reads their load.

use std::io;
use std::net::SocketAddr;

use serde::Deserialize;
use toucancleat_core::accounts::{LoadReport, TargetSpec};
use toucancleat_core::prelude::*;
use toucancleat_standin::model::ModelConfig;
use toucancleat_standin::{Engine, EngineConfig};
use volo_http::client::Client;
use volo_http::http::Method;

use crate::spec::Spec;

/// Pool of all engines of a run.
pub const POOL: &str = "engines";

/// The stand-in engines of a run.
#[derive(Debug)]
pub struct Engines {
    engines: Vec<Engine>,
    /// Listening address of each engine.
    pub addresses: Vec<SocketAddr>,
    /// Description of each engine, as it would stand in the settings.
    pub specs: Vec<TargetSpec>,
}

#[derive(Debug, Deserialize)]
struct Load {
    measured_unix_ms: u64,
    running: u32,
    waiting: u32,
    blocks_used: u64,
    blocks_total: u64,
    block_tokens: u64,
    preemptions_total: u64,
    step_ms: f64,
}

impl Engines {
    /// Starts the engines that the spec describes.
    pub async fn start(spec: &Spec) -> io::Result<Engines> {
        let mut started = Engines {
            engines: Vec::new(),
            addresses: Vec::new(),
            specs: Vec::new(),
        };
        for index in 0..spec.engines.count {
            let engine = Engine::start(engine_config(spec)).await?;
            started.addresses.push(engine.address());
            started.engines.push(engine);
            started.specs.push(TargetSpec {
                name: TargetName::new(&format!("engine-{index}")),
                pool: PoolName::new(POOL),
                memory_tokens: spec.engines.memory_tokens,
                max_batch: spec.engines.max_batch,
            });
        }
        Ok(started)
    }

    /// Kills an engine and interrupts every stream that it serves.
    pub async fn kill(&self, index: usize) {
        if let Some(engine) = self.engines.get(index) {
            engine.kill().await;
        }
    }

    /// Returns the number of preemptions at all engines since their start.
    pub fn preemptions(&self) -> u64 {
        let records = self.engines.iter().map(Engine::records);
        records.map(|records| records.preemptions_total).sum()
    }
}

/// Reads an engine's load. Returns `None` if it doesn't answer or the answer is malformed.
pub async fn read_load(client: &Client, address: SocketAddr) -> Option<LoadReport> {
    let uri = format!("http://{address}/v1/load");
    let response = client.request(Method::GET, uri).send().await.ok()?;
    let body = response.into_parts().1;
    let bytes = http_body_util::BodyExt::collect(body)
        .await
        .ok()?
        .to_bytes();
    let load: Load = serde_json::from_slice(&bytes).ok()?;
    Some(LoadReport {
        measured_unix_ms: load.measured_unix_ms,
        running: load.running,
        waiting: load.waiting,
        used_tokens: load.blocks_used * load.block_tokens,
        memory_tokens: load.blocks_total * load.block_tokens,
        preemptions_total: load.preemptions_total,
        step_ms: load.step_ms,
    })
}

fn engine_config(spec: &Spec) -> EngineConfig {
    let defaults = ModelConfig::default();
    let block_tokens = u64::from(defaults.block_tokens);
    let blocks_total = spec.engines.memory_tokens / block_tokens;
    EngineConfig {
        time_scale: spec.time_scale,
        model: ModelConfig {
            blocks_total: u32::try_from(blocks_total).unwrap_or(u32::MAX),
            max_batch: spec.engines.max_batch,
            step_base_ms: spec.engines.step_base_ms,
            step_per_sequence_ms: spec.engines.step_sequence_ms,
            step_per_prefill_token_ms: spec.engines.step_prefill_token_ms,
            step_per_1000_context_tokens_ms: spec.engines.step_1000_context_tokens_ms,
            ..defaults
        },
        ..EngineConfig::default()
    }
}
