//! The generations that this host has dispatched, and the messages about them to homes.

use indexmap::IndexMap;

use crate::accounts::event::{Effect, Outcome, Request};
use crate::accounts::message::{
    FinishedGeneration, Message, Progress, ReservationRequest, RunningGeneration,
};
use crate::accounts::pending::reservation_request;
use crate::accounts::state::{Outbox, State};
use crate::prelude::*;

/// Growth since the last progress message that makes another one due: a quarter, and at
/// least a cache block or two.
const PROGRESS_GROWTH: f64 = 1.25;
const PROGRESS_MIN_TOKENS: u32 = 32;

/// A generation that runs at a target.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) request: ReservationRequest,
    tokens: u32,
    reported_tokens: u32,
    reported_ms: u64,
}

/// Dispatches a request to a target, and records the generation as running.
pub(super) fn dispatch(
    state: &mut State,
    now_ms: u64,
    request: &Request,
    target: TargetName,
    priority: u8,
    outbox: &mut Outbox,
) {
    let run = Run {
        request: reservation_request(request, &target),
        tokens: 0,
        reported_tokens: 0,
        reported_ms: now_ms,
    };
    state.client.running.insert(request.generation, run);
    if let Some(known) = state.client.known_targets.get_mut(&target) {
        known.outstanding += 1;
    }
    outbox.effects.push(Effect::Dispatch {
        request: request.id,
        generation: request.generation,
        target,
        priority,
    });
}

/// Records the progress of a generation, which the next progress message reports to the
/// home.
pub(super) fn record_progress(state: &mut State, generation: GenerationId, tokens: u32) {
    if let Some(run) = state.client.running.get_mut(&generation) {
        run.tokens = run.tokens.max(tokens);
    }
}

/// Removes a generation that has ended, and notifies the home of its target.
pub(super) fn finish_run(
    state: &mut State,
    generation: GenerationId,
    tokens: u32,
    outcome: Outcome,
    outbox: &mut Outbox,
) {
    let Some(run) = state.client.running.swap_remove(&generation) else {
        return;
    };
    let target = run.request.target;
    if let Some(known) = state.client.known_targets.get_mut(&target) {
        known.outstanding = known.outstanding.saturating_sub(1);
    }
    if let Some(home) = state.zone.homes.get(&target) {
        let finished = FinishedGeneration {
            generation,
            target,
            tokens,
            outcome,
        };
        outbox.send(home, Message::Finished(finished));
    }
}

/// Sends a home all generations that this host runs at the requested targets.
pub(super) fn send_holdings(
    state: &State,
    home: &HostName,
    targets: Vec<TargetName>,
    outbox: &mut Outbox,
) {
    let running = state.client.running.values();
    let entries = running
        .filter(|run| targets.contains(&run.request.target))
        .map(|run| RunningGeneration {
            request: run.request.clone(),
            tokens: run.tokens,
        })
        .collect();
    outbox.send(home, Message::Holdings { targets, entries });
}

/// Sends each home the progress that is due of the generations at its targets.
pub(super) fn send_progress(state: &mut State, now_ms: u64, outbox: &mut Outbox) {
    let heartbeat_ms = state.config.reservation_timeout_ms / 3;
    let mut by_home: IndexMap<HostName, Vec<Progress>> = IndexMap::new();
    for (generation, run) in &mut state.client.running {
        if !run.is_progress_due(now_ms, heartbeat_ms) {
            continue;
        }
        run.reported_tokens = run.tokens;
        run.reported_ms = now_ms;
        if let Some(home) = state.zone.homes.get(&run.request.target) {
            by_home.entry(home.clone()).or_default().push(Progress {
                generation: *generation,
                target: run.request.target.clone(),
                tokens: run.tokens,
            });
        }
    }
    for (home, entries) in by_home {
        outbox.send(&home, Message::Progress { entries });
    }
}

impl Run {
    /// Returns true if the generation has grown enough, or its heartbeat is due.
    fn is_progress_due(&self, now_ms: u64, heartbeat_ms: u64) -> bool {
        let has_grown = f64::from(self.tokens)
            >= f64::from(self.reported_tokens) * PROGRESS_GROWTH
            && self.tokens >= self.reported_tokens + PROGRESS_MIN_TOKENS;
        has_grown || now_ms >= self.reported_ms + heartbeat_ms
    }
}
