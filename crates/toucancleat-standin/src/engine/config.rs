//! Configuration of a stand-in engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::model::ModelConfig;

/// Behaviour of a stand-in engine without faults.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Address to bind; port 0 selects a free port.
    pub bind: SocketAddr,
    /// Size and speed of the engine.
    pub model: ModelConfig,
    /// Ratio of engine time to wall-clock time. It applies to steps and to the times
    /// below that are in engine time.
    pub time_scale: f64,
    /// Models that are loaded at startup.
    pub models: Vec<String>,
    /// Role at startup.
    pub role: String,
    /// Whether orders with a stale fencing number are refused.
    pub checks_fencing: bool,
    /// Maximum number of queued requests; more are refused as not run. `None` is no
    /// limit.
    pub max_waiting: Option<u32>,
    /// Time without an event after which a comment is sent to keep a stream alive.
    pub ping_ms: u64,
    /// Time without a reading stream after which a generation is ended as orphaned.
    pub orphan_timeout_ms: u64,
    /// Interval between load reports, in engine time.
    pub load_period_ms: f64,
    /// Delay until a load report becomes visible, in engine time.
    pub load_lag_ms: f64,
    /// Delay until a cache event becomes visible, in engine time.
    pub cache_event_lag_ms: f64,
    /// Number of cache events in a thousand that are lost.
    pub cache_event_loss_per_1000: u32,
}

impl EngineConfig {
    /// Converts milliseconds of engine time to a wall-clock duration.
    pub(super) fn real_duration(&self, engine_ms: f64) -> Duration {
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
