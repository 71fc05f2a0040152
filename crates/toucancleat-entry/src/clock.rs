//! The monotonic clock of a daemon, in Unix time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A monotonic clock in milliseconds since the Unix epoch.
///
/// It reads the wall clock once, at the start, and continues monotonically from there,
/// since a wall clock that is set back must not prolong a lease or a timeout.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix_ms: u64,
}

impl Clock {
    /// Starts a clock at the wall clock's current time.
    pub fn start() -> Self {
        Clock {
            started: Instant::now(),
            started_unix_ms: wall_unix_ms(),
        }
    }

    /// Returns the current time, in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.started_unix_ms + self.started.elapsed().as_millis() as u64
    }

    /// Returns when the clock was started, in milliseconds since the Unix epoch.
    pub fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }

    /// Converts a time of this clock to an instant; a time before its start becomes the
    /// start.
    pub fn instant(&self, at_ms: u64) -> Instant {
        let elapsed_ms = at_ms.saturating_sub(self.started_unix_ms);
        self.started + Duration::from_millis(elapsed_ms)
    }
}

/// Returns the wall clock's current time, in milliseconds since the Unix epoch.
pub(crate) fn wall_unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
