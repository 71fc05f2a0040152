//! Bounds how often a repeated event is logged.

/// Minimum time between two log lines about the same kind of event.
pub const LOG_INTERVAL_MS: u64 = 10_000;

/// The log lines about one kind of event.
#[derive(Clone, Debug, Default)]
pub struct LogInterval {
    logged_ms: Option<u64>,
    unlogged: u64,
}

impl LogInterval {
    /// Records an event. If a line is due, returns the number of events since the last one.
    pub fn record(&mut self, now_ms: u64) -> Option<u64> {
        self.unlogged += 1;
        let is_due = self
            .logged_ms
            .is_none_or(|logged_ms| now_ms.saturating_sub(logged_ms) >= LOG_INTERVAL_MS);
        is_due.then(|| {
            self.logged_ms = Some(now_ms);
            std::mem::take(&mut self.unlogged)
        })
    }
}
