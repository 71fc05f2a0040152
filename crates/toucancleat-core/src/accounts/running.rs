//! The generations that a host runs, and what it tells their homes.

use indexmap::IndexMap;

use crate::accounts::event::{Effect, Outcome, Request};
use crate::accounts::message::{Finished, Holding, Message, Progress, Reserve};
use crate::accounts::pending::reserve_of;
use crate::accounts::state::{Outbox, State};
use crate::prelude::*;

/// Growth since the last word to the home that is worth another: a quarter, and at
/// least a cache block or two.
const PROGRESS_GROWTH: f64 = 1.25;
const PROGRESS_MIN_TOKENS: u32 = 32;

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) reserve: Reserve,
    tokens: u32,
    told_tokens: u32,
    told_ms: u64,
}

/// Sends a request to a target and notes its generation.
pub(super) fn dispatch(
    state: &mut State,
    now_ms: u64,
    request: &Request,
    target: TargetName,
    priority: u8,
    outbox: &mut Outbox,
) {
    let run = Run {
        reserve: reserve_of(request, &target),
        tokens: 0,
        told_tokens: 0,
        told_ms: now_ms,
    };
    state.client.running.insert(request.generation, run);
    if let Some(view) = state.client.views.get_mut(&target) {
        view.outstanding += 1;
    }
    outbox.effects.push(Effect::Dispatch {
        request: request.request,
        generation: request.generation,
        target,
        priority,
    });
}

/// Notes how far a generation has come; its home is told with the next batch.
pub(super) fn progress(state: &mut State, generation: GenerationId, tokens: u32) {
    if let Some(run) = state.client.running.get_mut(&generation) {
        run.tokens = run.tokens.max(tokens);
    }
}

/// Tells the home that a generation has ended.
pub(super) fn finish(
    state: &mut State,
    generation: GenerationId,
    tokens: u32,
    outcome: Outcome,
    outbox: &mut Outbox,
) {
    let Some(run) = state.client.running.swap_remove(&generation) else {
        return;
    };
    let target = run.reserve.target;
    if let Some(view) = state.client.views.get_mut(&target) {
        view.outstanding = view.outstanding.saturating_sub(1);
    }
    if let Some(home) = state.zone.homes.get(&target) {
        let finished = Finished {
            generation,
            target,
            tokens,
            outcome,
        };
        outbox.send(home, Message::Finished(finished));
    }
}

/// Answers a new home with all that runs at its targets.
pub(super) fn rebuild(
    state: &State,
    from: &HostName,
    targets: Vec<TargetName>,
    outbox: &mut Outbox,
) {
    let running = state.client.running.values();
    let entries = running
        .filter(|run| targets.contains(&run.reserve.target))
        .map(|run| Holding {
            reserve: run.reserve.clone(),
            tokens: run.tokens,
        })
        .collect();
    outbox.send(from, Message::Holdings { targets, entries });
}

/// Tells each home which of its generations have moved.
pub(super) fn send_progress(state: &mut State, now_ms: u64, outbox: &mut Outbox) {
    let heartbeat_ms = state.config.reservation_timeout_ms / 3;
    let mut by_home: IndexMap<HostName, Vec<Progress>> = IndexMap::new();
    for (generation, run) in &mut state.client.running {
        if !run.is_news(now_ms, heartbeat_ms) {
            continue;
        }
        run.told_tokens = run.tokens;
        run.told_ms = now_ms;
        if let Some(home) = state.zone.homes.get(&run.reserve.target) {
            by_home.entry(home.clone()).or_default().push(Progress {
                generation: *generation,
                target: run.reserve.target.clone(),
                tokens: run.tokens,
            });
        }
    }
    for (home, entries) in by_home {
        outbox.send(&home, Message::Progress { entries });
    }
}

impl Run {
    fn is_news(&self, now_ms: u64, heartbeat_ms: u64) -> bool {
        let grown = f64::from(self.tokens)
            >= f64::from(self.told_tokens) * PROGRESS_GROWTH
            && self.tokens >= self.told_tokens + PROGRESS_MIN_TOKENS;
        grown || now_ms >= self.told_ms + heartbeat_ms
    }
}
