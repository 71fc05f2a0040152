//! The planned stop.

use std::path::PathBuf;
use std::rc::Rc;

use tokio::signal::unix::{Signal, SignalKind, signal};
use toucancleat_fleet::settings::{Config, END_RESERVE_MS};

use crate::host::Host;
use crate::settings::Settings;
use crate::{Error, logging};

/// Time after the request to stop at which idle connections are closed. The platform asks
/// each second whether a host is ready and takes it out after two misses; until then
/// callers may still be sent here.
pub const IDLE_CLOSE_MS: u64 = 2_500;

/// Time after the request to stop for which new connections are taken at least: the two
/// misses, and a second for connections that are on their way.
const ACCEPT_MIN_MS: u64 = 3_500;

/// Says whether the process may end.
pub fn is_over(passed_ms: u64, open_requests: usize, config: &Config) -> bool {
    if passed_ms + END_RESERVE_MS >= config.stop_grace_ms {
        return true;
    }
    passed_ms >= ACCEPT_MIN_MS && open_requests == 0
}

/// Signals that ask for a planned stop.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Begins to receive them.
    pub fn new() -> Result<Self, Error> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).map_err(Error::signal)?,
            interrupt: signal(SignalKind::interrupt()).map_err(Error::signal)?,
        })
    }

    /// Waits for one.
    pub async fn stop_requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Reads the settings again at each request to do so.
///
/// Addresses and bounds hold until the process ends; a change of them is logged, since it
/// needs a new start.
pub async fn watch_reload(path: PathBuf, host: Rc<Host>) {
    let mut reload = match signal(SignalKind::hangup()) {
        Ok(reload) => reload,
        Err(error) => {
            log::error!(error:% = error; "requests to reload can't be received");
            return;
        }
    };
    while reload.recv().await.is_some() {
        match Settings::read(&path) {
            Ok(settings) => {
                let is_changed = settings != host.settings;
                log::info!(is_changed; "settings were read again; a change takes effect at the next start");
            }
            Err(error) => log::error!(error:% = error; "settings can't be read again"),
        }
        logging::flush();
    }
}
