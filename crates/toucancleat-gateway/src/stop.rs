//! The planned stop of the process, and the signals that it reacts to.

use std::path::PathBuf;
use std::rc::Rc;

use tokio::signal::unix::{Signal, SignalKind, signal};
use toucancleat_fleet::config::{EXIT_RESERVE_MS, FleetConfig};

use crate::host::Host;
use crate::settings::Settings;
use crate::{Error, logging};

/// Time after the request to stop at which idle connections are closed. The platform checks
/// the readiness of a host each second and stops sending callers to it after two failed
/// checks; until then new callers may still arrive.
pub const IDLE_CLOSE_DELAY_MS: u64 = 2_500;

/// Minimum time after the request to stop for which new connections are accepted: that of
/// the two failed readiness checks, and a second for connections that are being opened.
const ACCEPT_MIN_MS: u64 = 3_500;

/// Returns true if the process may exit.
///
/// It may once new connections have been accepted for long enough and nothing is in progress: no
/// request is being received, served or answered, or when only the time for an orderly exit is left
/// before the process is killed. An answer counts until its caller's socket has taken all of it.
pub fn can_exit(elapsed_ms: u64, in_progress: usize, config: &FleetConfig) -> bool {
    if elapsed_ms + EXIT_RESERVE_MS >= config.stop_grace_ms {
        return true;
    }
    elapsed_ms >= ACCEPT_MIN_MS && in_progress == 0
}

/// The signals that request a planned stop.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Starts to receive the signals.
    pub fn new() -> Result<Self, Error> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate()).map_err(Error::signal)?,
            interrupt: signal(SignalKind::interrupt()).map_err(Error::signal)?,
        })
    }

    /// Waits for one of the signals.
    pub async fn wait_for_stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Re-reads the settings at each SIGHUP.
///
/// Addresses and bounds are fixed until the process exits, so a change is only logged: it
/// takes effect at the next start.
pub async fn watch_reload_signals(path: PathBuf, host: Rc<Host>) {
    let mut reload = match signal(SignalKind::hangup()) {
        Ok(reload) => reload,
        Err(error) => {
            log::error!(error:% = error; "could not listen for SIGHUP; settings are not re-read");
            return;
        }
    };
    while reload.recv().await.is_some() {
        match Settings::read(&path) {
            Ok(settings) => {
                let is_changed = settings != host.settings;
                log::info!(is_changed; "settings re-read; changes take effect at the next start");
            }
            Err(error) => {
                log::error!(error:% = error; "could not re-read the settings; keeping the current ones")
            }
        }
        logging::flush();
    }
}
