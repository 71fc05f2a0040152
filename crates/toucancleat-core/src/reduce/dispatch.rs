//! Dispatches requests to the chosen targets.

use super::choice::fingerprint_of;
use super::requests::apply;
use super::{claims, crash_marks, observations};
use crate::claims::Event as ClaimEvent;
use crate::crash_marks::Event as MarkEvent;
use crate::effect::{Dispatch, Effect};
use crate::prelude::*;
use crate::refusal::RETRY_AFTER_NO_TARGET_MS;
use crate::requests::{self, Arrival, Outcome};
use crate::state::State;
use crate::targets::Admission;
use crate::timeline::{Entry, RecordKind};

/// Dispatches a request, or defers it until its target has been observed.
pub(super) fn dispatch(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    mut dispatch: Dispatch,
    effects: &mut Vec<Effect>,
) {
    let request = arrival.request;
    let is_leaving = state.targets.peek(now_ms, &dispatch.target) == Admission::Leaving;
    let address = address_of(state, &dispatch.target).filter(|_| !is_leaving);
    let Some(address) = address else {
        // The target was removed from the settings since it was chosen, or its home chose
        // it before learning that it leaves.
        let event = requests::Event::AttemptEnded {
            request,
            attempt: dispatch.attempt,
            outcome: Outcome::NotBegun {
                retry_after_ms: is_leaving.then_some(RETRY_AFTER_NO_TARGET_MS),
            },
        };
        apply(state, now_ms, event, effects);
        return;
    };
    dispatch.address = address;
    if state.freshness.needs_observation(&dispatch.target) {
        let target = dispatch.target.clone();
        if state.freshness.defer(dispatch) {
            observations::observe_now(state, now_ms, &target, effects);
        }
        return;
    }
    send(state, now_ms, arrival, dispatch, effects);
}

/// Dispatches a deferred request if its target answered the observation and admits work.
pub(super) fn dispatch_deferred(
    state: &mut State,
    now_ms: u64,
    dispatch: Dispatch,
    is_answered: bool,
    effects: &mut Vec<Effect>,
) {
    let request = dispatch.request;
    let Some(arrival) = state.requests.arrival(request).cloned() else {
        return;
    };
    let admission = state.targets.peek(now_ms, &dispatch.target);
    if is_answered && matches!(admission, Admission::Yes | Admission::Trial) {
        send(state, now_ms, &arrival, dispatch, effects);
        return;
    }
    let event = requests::Event::AttemptEnded {
        request,
        attempt: dispatch.attempt,
        outcome: Outcome::NotBegun {
            retry_after_ms: Some(RETRY_AFTER_NO_TARGET_MS),
        },
    };
    apply(state, now_ms, event, effects);
}

fn send(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    mut dispatch: Dispatch,
    effects: &mut Vec<Effect>,
) {
    let request = dispatch.request;
    // N.B. the claim must record the dispatch before the first byte is sent.
    claims::apply(state, now_ms, ClaimEvent::Dispatched { request }, effects);
    let started = MarkEvent::Started {
        target: dispatch.target.clone(),
        fingerprint: fingerprint_of(arrival),
    };
    crash_marks::apply(state, now_ms, started, effects);
    let entry = Entry::new(RecordKind::RequestDispatched)
        .request(request)
        .generation(dispatch.generation)
        .organisation(&arrival.organisation)
        .target(&dispatch.target)
        .field("attempt", u64::from(dispatch.attempt));
    state.timeline.record(now_ms, entry);
    *state
        .outstanding
        .entry(dispatch.target.clone())
        .or_insert(0) += 1;
    dispatch.chosen_ms = now_ms;
    effects.push(Effect::Dispatch(dispatch));
}

fn address_of(state: &State, target: &TargetName) -> Option<String> {
    let settings = state.settings.as_ref()?;
    let (_, _, found) = settings.target(target)?;
    Some(found.address.clone())
}
