//! Connects the crash marks of poison requests to the other modules.

use super::{choice, membership, peers, requests};
use crate::crash_marks::{self, Message};
use crate::effect::Effect;
use crate::prelude::*;
use crate::refusal::{Problem, Refusal};
use crate::requests::Event as RequestEvent;
use crate::state::State;
use crate::timeline::{Entry, RecordKind};

/// Applies an event of the crash marks and executes its effects.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: crash_marks::Event,
    effects: &mut Vec<Effect>,
) {
    let mut pending = Vec::new();
    crash_marks::reduce(&mut state.crash_marks, now_ms, event, &mut pending);
    for effect in pending {
        execute(state, now_ms, effect, effects);
    }
}

fn execute(
    state: &mut State,
    now_ms: u64,
    effect: crash_marks::Effect,
    effects: &mut Vec<Effect>,
) {
    match effect {
        crash_marks::Effect::Send { to, message } => {
            send(state, now_ms, &to, message, effects);
        }
        crash_marks::Effect::Broadcast { message } => {
            for to in membership::zone_peers(state) {
                send(state, now_ms, &to, message.clone(), effects);
            }
        }
        crash_marks::Effect::SendToZones { message } => {
            for to in membership::other_zone_delegates(state) {
                send(state, now_ms, &to, message.clone(), effects);
            }
        }
        crash_marks::Effect::TurnGranted { attempt } => {
            if let Some(request) = state.isolated.get(&attempt).copied() {
                choice::run_isolated(state, now_ms, request, attempt, effects);
            }
        }
        crash_marks::Effect::TurnDenied {
            attempt,
            retry_after_ms,
        } => {
            let Some(request) = state.isolated.swap_remove(&attempt) else {
                return;
            };
            let detail = "another request that may crash targets runs alone just now";
            let refusal = Refusal::not_run(Problem::Crowded, detail)
                .with_retry_after_ms(retry_after_ms);
            let event = RequestEvent::ReservationRefused { request, refusal };
            requests::apply(state, now_ms, event, effects);
        }
        crash_marks::Effect::Marked { marks, .. } => {
            let entry = Entry::new(RecordKind::RequestIsolated)
                .field("marks", marks as u64)
                .reason("the target that ran a request crashed");
            state.timeline.record(now_ms, entry);
        }
    }
}

/// Sends a message, or applies it directly if it is addressed to this host.
fn send(
    state: &mut State,
    now_ms: u64,
    to: &HostName,
    message: Message,
    effects: &mut Vec<Effect>,
) {
    if *to != state.identity.host {
        peers::send(state, now_ms, to, message, effects);
        return;
    }
    let from = to.clone();
    let event = crash_marks::Event::MessageReceived { from, message };
    apply(state, now_ms, event, effects);
}
