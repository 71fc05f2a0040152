//! The stand-in model engine.

mod arrival;
mod faults;
mod generation;
mod orders;
mod records;
mod request;
mod routes;
mod stepper;
mod stream;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;

pub use self::faults::{AtToken, EngineFaults, Nonsense, NonsenseKind};
use self::generation::Generation;
use self::orders::OrderState;
pub use self::records::{EngineRecords, GenerationRecord, GenerationState, OrderRecord};
use crate::clock::now_unix_ms;
use crate::server::{ServerThread, Stop};

/// A running stand-in of a model engine, which ends when this is dropped.
#[derive(Debug)]
pub struct Engine {
    server: ServerThread,
    shared: Arc<Shared>,
}

impl Engine {
    /// Binds and starts an engine.
    pub async fn start(config: EngineConfig) -> io::Result<Engine> {
        let bind = config.bind;
        let shared = Arc::new(Shared::new(config));
        let routed = Arc::clone(&shared);
        let server = ServerThread::start(bind, shared.stop.clone(), move || {
            tokio::spawn(stepper::run(Arc::clone(&routed)));
            routes::router(&routed)
        })?;
        Ok(Engine { server, shared })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Waits until the engine has ended, by its owner or by a fault.
    pub async fn stopped(&self) {
        self.server.stopped().await;
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        self.shared.change_faults(change);
    }

    /// Returns what reached the engine; also after its death.
    pub fn records(&self) -> EngineRecords {
        self.shared.records()
    }
}

/// How a stand-in engine behaves without faults.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The address to bind; port 0 takes a free port.
    pub bind: SocketAddr,
    /// The models that are loaded at the start.
    pub models: Vec<String>,
    /// The role at the start.
    pub role: String,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// The time of one step of the batch.
    pub step_ms: f64,
    /// After this time without an event, a comment keeps the stream alive.
    pub ping_ms: u64,
    /// A generation that no stream reads for this long is given up.
    pub orphan_timeout_ms: u64,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            bind: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            models: vec!["plan-llm".to_owned()],
            role: "generate".to_owned(),
            checks_fencing: true,
            step_ms: 2.0,
            ping_ms: 1_000,
            orphan_timeout_ms: 10_000,
        }
    }
}

#[derive(Debug)]
struct Shared {
    config: EngineConfig,
    stop: Stop,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: EngineFaults,
    records: EngineRecords,
    orders: OrderState,
    generations: IndexMap<String, Arc<Generation>>,
}

impl Shared {
    fn new(config: EngineConfig) -> Shared {
        let models = config
            .models
            .iter()
            .map(|name| (name.clone(), String::new()));
        let orders = OrderState {
            models: models.collect(),
            adapters: IndexMap::new(),
            role: config.role.clone(),
            fencing_number: 0,
        };
        Shared {
            config,
            stop: Stop::new(),
            state: Mutex::new(State {
                faults: EngineFaults::default(),
                records: EngineRecords::default(),
                orders,
                generations: IndexMap::new(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the faults and notes when the engine began to leave.
    fn change_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        let mut state = self.state();
        change(&mut state.faults);
        if !state.faults.leaving {
            state.records.leaving_unix_ms = None;
        } else if state.records.leaving_unix_ms.is_none() {
            state.records.leaving_unix_ms = Some(now_unix_ms());
        }
    }

    /// Returns the records with the progress of each generation as of now.
    fn records(&self) -> EngineRecords {
        let state = self.state();
        let mut records = state.records.clone();
        for record in &mut records.generations {
            if let Some(generation) = state.generations.get(&record.generation_id) {
                let progress = generation.progress();
                record.produced_tokens = progress.produced_tokens;
                record.state = progress.state;
            }
        }
        records
    }

    /// Gives a generation up, unless a stream reads it again before the timeout.
    fn orphaned(&self, generation: &Arc<Generation>) {
        let generation = Arc::clone(generation);
        let timeout = std::time::Duration::from_millis(self.config.orphan_timeout_ms);
        // N.B. the engine's death drops its streams outside the runtime.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            tokio::time::sleep(timeout).await;
            if !generation.is_read() {
                generation.end(GenerationState::Orphaned);
            }
        });
    }
}
