//! The two clocks of a daemon.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A monotonic clock in milliseconds, started with the process.
///
/// The reducers see only this time; the wall clock is for what leaves the host.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock {
            started: Instant::now(),
        }
    }

    /// Returns the milliseconds since the start, beginning at 1.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// Returns the instant of a time of this clock.
    pub fn instant(&self, at_ms: u64) -> Instant {
        self.started + Duration::from_millis(at_ms.saturating_sub(1))
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn now_unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
