//! The engine's steps in real time.

use std::sync::Arc;
use std::time::Duration;

use super::Shared;
use super::generation::Generation;
use super::records::GenerationState;
use crate::clock::now_unix_ms;

/// Steps the engine until its runtime ends.
pub(super) async fn run(shared: Arc<Shared>) {
    let step = Duration::from_secs_f64(shared.config.step_ms / 1_000.0);
    let mut timer = tokio::time::interval(step);
    loop {
        timer.tick().await;
        if must_die(&shared) {
            shared.stop.set();
            return;
        }
        for generation in running(&shared) {
            let progress = generation.progress();
            generation.advance(progress.produced_tokens + 1);
        }
    }
}

fn must_die(shared: &Shared) -> bool {
    let state = shared.state();
    let Some(after_ms) = state.faults.dies_after_leaving_ms else {
        return false;
    };
    let Some(leaving_unix_ms) = state.records.leaving_unix_ms else {
        return false;
    };
    now_unix_ms() >= leaving_unix_ms + after_ms
}

fn running(shared: &Shared) -> Vec<Arc<Generation>> {
    let state = shared.state();
    if state.faults.freeze_steps {
        return Vec::new();
    }
    let generations = state.generations.values();
    generations
        .filter(|generation| generation.progress().state == GenerationState::Running)
        .cloned()
        .collect()
}
