//! How a stand-in engine behaves without faults.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::model::ModelConfig;

/// How a stand-in engine behaves without faults.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The address to bind; port 0 takes a free port.
    pub bind: SocketAddr,
    /// The size and speed of the engine.
    pub model: ModelConfig,
    /// The engine's time runs this much faster than the clock; it applies to every time
    /// below that is called a time of the engine, and to steps.
    pub time_scale: f64,
    /// The models that are loaded at the start.
    pub models: Vec<String>,
    /// The role at the start.
    pub role: String,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Requests that may wait; more are refused as not run. `None` takes all.
    pub max_waiting: Option<u32>,
    /// After this time without an event, a comment keeps a stream alive.
    pub ping_ms: u64,
    /// A generation that no stream reads for this long is given up.
    pub orphan_timeout_ms: u64,
    /// The time of the engine between two load reports.
    pub load_period_ms: f64,
    /// The time of the engine after which a load report is seen.
    pub load_lag_ms: f64,
    /// The time of the engine after which a cache event is seen.
    pub cache_event_lag_ms: f64,
    /// How many of a thousand cache events are lost.
    pub cache_event_loss_per_1000: u32,
}

impl EngineConfig {
    /// Returns the real time of a time of the engine.
    pub(super) fn real(&self, engine_ms: f64) -> Duration {
        Duration::from_secs_f64(engine_ms / 1_000.0 / self.time_scale)
    }
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            bind: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            model: ModelConfig::default(),
            time_scale: 1.0,
            models: vec!["plan-llm".to_owned()],
            role: "generate".to_owned(),
            checks_fencing: true,
            max_waiting: None,
            ping_ms: 1_000,
            orphan_timeout_ms: 10_000,
            load_period_ms: 250.0,
            load_lag_ms: 250.0,
            cache_event_lag_ms: 500.0,
            cache_event_loss_per_1000: 20,
        }
    }
}
