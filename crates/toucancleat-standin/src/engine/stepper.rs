//! The engine's steps and reports in real time.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Shared;

/// How often an engine without work looks for its death or the end of a fault.
const IDLE_MS: u64 = 10;

/// The most by which the engine may run late and still catch up, so that the mean step
/// time stays right although timers are coarse.
const CATCH_UP_MS: u64 = 20;

/// Steps the engine until its runtime ends.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut step_end = Instant::now();
    loop {
        if shared.state().leaving_in_ms() == Some(0) {
            shared.stop.die().await;
        }
        if !step_once(&shared, &mut step_end).await {
            let idle = Duration::from_millis(IDLE_MS);
            // A timeout is as good as new work: both mean to look again.
            let _ = tokio::time::timeout(idle, shared.work.notified()).await;
            step_end = Instant::now();
        }
    }
}

/// Says whether there was a step to compute.
async fn step_once(shared: &Shared, step_end: &mut Instant) -> bool {
    let step = {
        let mut state = shared.state();
        if state.is_frozen() {
            return false;
        }
        state.step()
    };
    let Some(step) = step else {
        return false;
    };
    if shared.state().starts_marked(&step) {
        shared.stop.die().await;
    }
    let earliest = Instant::now() - Duration::from_millis(CATCH_UP_MS);
    *step_end = (*step_end).max(earliest) + shared.config.real(step.duration_ms);
    tokio::time::sleep_until(*step_end).await;
    shared.state().publish(&step);
    true
}

/// Measures the load at regular times until the runtime ends.
pub(super) async fn report_loads(shared: Arc<Shared>) {
    let mut timer =
        tokio::time::interval(shared.config.real(shared.config.load_period_ms));
    loop {
        timer.tick().await;
        shared.state().report_load();
    }
}
