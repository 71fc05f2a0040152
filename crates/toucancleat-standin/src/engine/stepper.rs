//! Tasks that run an engine's steps and load reports in real time.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Shared;

/// Interval at which an idle engine checks for its planned crash or a cleared fault.
const IDLE_MS: u64 = 10;

/// Largest delay that later steps make up for, so that the mean step time is correct
/// although timers are coarse.
const CATCH_UP_MS: u64 = 20;

/// Computes steps until the runtime ends.
pub(super) async fn run_steps(shared: Arc<Shared>) {
    let mut step_end = Instant::now();
    loop {
        if shared.state().leaving_in_ms() == Some(0) {
            shared.stop.crash().await;
        }
        if !step_once(&shared, &mut step_end).await {
            let idle = Duration::from_millis(IDLE_MS);
            // The loop checks for work again after a notification and after a timeout.
            let _ = tokio::time::timeout(idle, shared.work_added.notified()).await;
            step_end = Instant::now();
        }
    }
}

/// Computes and publishes one step; returns false if there was none to compute.
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
    if shared.state().starts_crashing_generation(&step) {
        shared.stop.crash().await;
    }
    let earliest = Instant::now() - Duration::from_millis(CATCH_UP_MS);
    *step_end = (*step_end).max(earliest) + shared.config.real_duration(step.duration_ms);
    tokio::time::sleep_until(*step_end).await;
    shared.state().publish(&step);
    true
}

/// Measures the load at regular intervals until the runtime ends.
pub(super) async fn report_loads(shared: Arc<Shared>) {
    let mut timer =
        tokio::time::interval(shared.config.real_duration(shared.config.load_period_ms));
    loop {
        timer.tick().await;
        shared.state().report_load();
    }
}
