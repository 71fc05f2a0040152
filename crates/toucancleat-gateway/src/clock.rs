//! The clock of all decisions.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since the machine started, suspended time included.
///
/// The steady clock stands still while a machine is suspended, and the time of day jumps;
/// knowledge ages in this one.
pub fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanoseconds / 1_000_000
}

/// Waits until a time of this clock, as far as timers see it.
pub async fn sleep_until(at_ms: u64) {
    tokio::time::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms()))).await;
}
