//! The clock of all decisions: milliseconds since the machine started, suspended time
//! included.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since the machine started, suspended time included.
///
/// The age of known state is measured with this clock: the monotonic clock stops while the
/// machine is suspended, and the wall clock may jump.
pub fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanoseconds / 1_000_000
}

/// Waits until the clock reads `at_ms`.
///
/// Timers use the monotonic clock, so a suspension of the machine prolongs the wait.
pub async fn sleep_until(at_ms: u64) {
    tokio::time::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms()))).await;
}
