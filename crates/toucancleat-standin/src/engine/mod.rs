//! Stand-in for a model engine.

mod config;
mod faults;
mod generation;
mod incoming_request;
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
pub use self::faults::{EngineFaults, InvalidEvent, InvalidEventKind, StreamCut};
use self::generation::Generation;
pub use self::records::{EngineRecords, GenerationRecord, GenerationState, OrderRecord};
use self::state::State;
use crate::server::{ServerThread, StopSignal};

/// A running stand-in for a model engine, which stops when this is dropped.
#[derive(Debug)]
pub struct Engine {
    server: ServerThread,
    shared: Arc<Shared>,
}

impl Engine {
    /// Binds and starts an engine.
    ///
    /// Returns an error if the address can't be bound or the thread can't be started.
    pub async fn start(config: EngineConfig) -> io::Result<Engine> {
        let bind = config.bind;
        let shared = Arc::new(Shared::new(config));
        let routed = Arc::clone(&shared);
        let server = ServerThread::start(bind, shared.stop.clone(), move || {
            tokio::spawn(stepper::run_steps(Arc::clone(&routed)));
            tokio::spawn(stepper::report_loads(Arc::clone(&routed)));
            routes::router(&routed)
        })?;
        Ok(Engine { server, shared })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the engine as killing its process would; its records stay readable.
    pub async fn kill(&self) {
        self.server.stop();
        self.server.wait_until_stopped().await;
    }

    /// Returns true if the engine has stopped.
    pub fn is_stopped(&self) -> bool {
        self.server.is_stopped()
    }

    /// Waits until the engine has stopped, by [`kill`](Engine::kill) or by a fault.
    pub async fn wait_until_stopped(&self) {
        self.server.wait_until_stopped().await;
    }

    /// Updates the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        self.shared.update_faults(change);
    }

    /// Returns the records of what reached the engine, also after it has stopped.
    pub fn records(&self) -> EngineRecords {
        self.shared.state().records()
    }
}

/// State that the engine's handle, routes and tasks share.
#[derive(Debug)]
struct Shared {
    config: EngineConfig,
    stop: StopSignal,
    /// Notified when a generation is queued.
    work_added: Notify,
    state: Mutex<State>,
}

impl Shared {
    fn new(config: EngineConfig) -> Shared {
        Shared {
            stop: StopSignal::new(),
            work_added: Notify::new(),
            state: Mutex::new(State::new(&config)),
            config,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        let mut state = self.state();
        change(&mut state.faults);
        state.update_leaving_time();
    }

    /// Ends a generation as orphaned after the timeout, unless a stream reads it by then.
    fn schedule_orphan_timeout(self: &Arc<Self>, generation: &Arc<Generation>) {
        // N.B. stopping the engine drops its streams outside the runtime.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let shared = Arc::clone(self);
        let generation = Arc::clone(generation);
        runtime.spawn(async move {
            let timeout = Duration::from_millis(shared.config.orphan_timeout_ms);
            tokio::time::sleep(timeout).await;
            if !generation.has_readers() {
                shared.state().end(&generation, GenerationState::Orphaned);
            }
        });
    }
}
