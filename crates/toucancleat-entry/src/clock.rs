//! The clock of a daemon.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A clock in milliseconds since the Unix epoch that never goes back.
///
/// It takes the wall clock once, at the start, and goes on monotonically from there: a
/// wall clock that is set back must not prolong a lease or a timeout.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix_ms: u64,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock {
            started: Instant::now(),
            started_unix_ms: wall_unix_ms(),
        }
    }

    /// Returns the present time.
    pub fn now_ms(&self) -> u64 {
        self.started_unix_ms + self.started.elapsed().as_millis() as u64
    }

    /// Returns when the clock was started.
    pub fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }

    /// Returns the instant of a time of this clock.
    pub fn instant(&self, at_ms: u64) -> Instant {
        let elapsed_ms = at_ms.saturating_sub(self.started_unix_ms);
        self.started + Duration::from_millis(elapsed_ms)
    }
}

/// Returns the wall clock, for logs.
pub(crate) fn wall_unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
