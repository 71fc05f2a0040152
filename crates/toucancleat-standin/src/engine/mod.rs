//! The stand-in model engine.

mod arrival;
mod config;
mod faults;
mod generation;
pub mod model;
mod orders;
mod records;
mod reports;
mod request;
mod routes;
mod state;
mod stepper;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::Notify;

pub use self::config::EngineConfig;
pub use self::faults::{AtToken, EngineFaults, Nonsense, NonsenseKind};
use self::generation::Generation;
pub use self::records::{EngineRecords, GenerationRecord, GenerationState, OrderRecord};
use self::state::State;
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
            tokio::spawn(stepper::report_loads(Arc::clone(&routed)));
            routes::router(&routed)
        })?;
        Ok(Engine { server, shared })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ends the engine as a kill would; its records stay readable.
    pub async fn kill(&self) {
        self.server.stop();
        self.server.stopped().await;
    }

    /// Says whether the engine has ended.
    pub fn is_stopped(&self) -> bool {
        self.server.is_stopped()
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
        self.shared.state().records()
    }
}

#[derive(Debug)]
struct Shared {
    config: EngineConfig,
    stop: Stop,
    work: Notify,
    state: Mutex<State>,
}

impl Shared {
    fn new(config: EngineConfig) -> Shared {
        Shared {
            stop: Stop::new(),
            work: Notify::new(),
            state: Mutex::new(State::new(&config)),
            config,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        let mut state = self.state();
        change(&mut state.faults);
        state.note_leaving();
    }

    /// Gives a generation up, unless a stream reads it again before the timeout.
    fn orphaned(self: &Arc<Self>, generation: &Arc<Generation>) {
        // N.B. the engine's death drops its streams outside the runtime.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let shared = Arc::clone(self);
        let generation = Arc::clone(generation);
        runtime.spawn(async move {
            let timeout = Duration::from_millis(shared.config.orphan_timeout_ms);
            tokio::time::sleep(timeout).await;
            if !generation.is_read() {
                shared.state().end(&generation, GenerationState::Orphaned);
            }
        });
    }
}
