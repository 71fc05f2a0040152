//! The dispatch of a request to the target that was chosen.

use super::choice::{RETRY_AFTER_NO_TARGET_MS, fingerprint_of};
use super::requests::apply;
use super::{claims, crash_marks, observations};
use crate::claims::Event as ClaimEvent;
use crate::crash_marks::Event as MarkEvent;
use crate::effect::{Dispatch, Effect};
use crate::prelude::*;
use crate::requests::{self, Arrival, Outcome};
use crate::state::State;
use crate::targets::Admission;
use crate::timeline::{Entry, RecordKind};

/// Gives a request to its target, or keeps it until the target has been looked at.
pub(super) fn dispatch(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    mut wanted: Dispatch,
    effects: &mut Vec<Effect>,
) {
    let request = arrival.request;
    let leaves = state.targets.peek(now_ms, &wanted.target) == Admission::Leaving;
    let address = address_of(state, &wanted.target).filter(|_| !leaves);
    let Some(address) = address else {
        // The target left the settings between the choice and now, or its home chose it
        // without having heard that it leaves.
        let event = requests::Event::AttemptEnded {
            request,
            attempt: wanted.attempt,
            outcome: Outcome::NotBegun {
                retry_after_ms: leaves.then_some(RETRY_AFTER_NO_TARGET_MS),
            },
        };
        apply(state, now_ms, event, effects);
        return;
    };
    wanted.address = address;
    if state.freshness.must_look(&wanted.target) {
        let target = wanted.target.clone();
        if state.freshness.hold(wanted) {
            observations::observe_now(state, now_ms, &target, effects);
        }
        return;
    }
    send(state, now_ms, arrival, wanted, effects);
}

/// Gives a request to a target that was looked at, if it answered and takes work.
pub(super) fn dispatch_held(
    state: &mut State,
    now_ms: u64,
    wanted: Dispatch,
    answered: bool,
    effects: &mut Vec<Effect>,
) {
    let request = wanted.request;
    let Some(arrival) = state.requests.arrival(request).cloned() else {
        return;
    };
    let admission = state.targets.peek(now_ms, &wanted.target);
    if answered && matches!(admission, Admission::Yes | Admission::Trial) {
        send(state, now_ms, &arrival, wanted, effects);
        return;
    }
    let event = requests::Event::AttemptEnded {
        request,
        attempt: wanted.attempt,
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
    mut wanted: Dispatch,
    effects: &mut Vec<Effect>,
) {
    let request = wanted.request;
    // N.B. the claim must know before the first byte leaves.
    claims::apply(state, now_ms, ClaimEvent::Dispatched { request }, effects);
    let started = MarkEvent::Started {
        target: wanted.target.clone(),
        fingerprint: fingerprint_of(arrival),
    };
    crash_marks::apply(state, now_ms, started, effects);
    let entry = Entry::new(RecordKind::RequestDispatched)
        .request(request)
        .generation(wanted.generation)
        .organisation(&arrival.organisation)
        .target(&wanted.target)
        .field("attempt", u64::from(wanted.attempt));
    state.timeline.record(now_ms, entry);
    *state.outstanding.entry(wanted.target.clone()).or_insert(0) += 1;
    wanted.decided_ms = now_ms;
    effects.push(Effect::Dispatch(wanted));
}

fn address_of(state: &State, target: &TargetName) -> Option<String> {
    let settings = state.settings.as_ref()?;
    let (_, _, found) = settings.target(target)?;
    Some(found.address.clone())
}
