//! Collects what runs show about the requests that crash targets, and refuses those that do.

use toucancleat_core::prelude::*;

use super::requests::refuse;
use crate::event::{Effect, LogEvent};
use crate::poison_parts::{
    CrashedTarget, PartChange, PartScope, SOUND_AFTER_MS, target_key,
};
use crate::poison_verdict;
use crate::request::{IncomingRequest, Reason, Request, RequestNumber};
use crate::state::{State, random_unit};

/// Returns for how long a request is refused since its parts crash targets, in milliseconds, or
/// `None` if it may be sent.
pub(super) fn refused_for_ms(
    state: &State,
    now_ms: u64,
    incoming: &IncomingRequest,
) -> Option<u64> {
    let trial_delay_ms = || {
        let hosts_before = state.peers.live_before(now_ms, &state.identity.host);
        poison_verdict::trial_delay_ms(hosts_before)
    };
    let parts = &incoming.shared_parts;
    let parts_ms = state
        .poison_parts
        .refused_for_ms(now_ms, parts, trial_delay_ms);
    let content = [incoming.content()];
    let request_ms =
        state
            .poison_requests
            .refused_for_ms(now_ms, &content, trial_delay_ms);
    parts_ms.max(request_ms)
}

/// Returns the time after which the caller of a refused request should retry.
pub(super) fn retry_after_ms(state: &mut State, refused_ms: u64) -> u64 {
    poison_verdict::retry_after_ms(refused_ms, random_unit(&mut state.rng_state))
}

/// Returns true if a request is refused since its parts crash targets, except as a trial.
pub(super) fn is_refused(state: &State, now_ms: u64, incoming: &IncomingRequest) -> bool {
    state
        .poison_parts
        .is_refused(now_ms, &incoming.shared_parts)
        || state
            .poison_requests
            .is_refused(now_ms, &[incoming.content()])
}

/// Records that a request is sent. If its parts are refused, it is a trial of them, of which peers
/// have to know before they begin one.
pub(super) fn begin_trial(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    if !is_refused(state, now_ms, &request.incoming) {
        return;
    }
    let Some(request) = state.requests.get_mut(&request_number) else {
        return;
    };
    request.is_trial = true;
    let incoming = &request.incoming;
    state
        .poison_parts
        .begin_trial(now_ms, &incoming.shared_parts);
    state
        .poison_requests
        .begin_trial(now_ms, &[incoming.content()]);
    state.must_broadcast = true;
    effects.push(Effect::Log(LogEvent::PartTrialBegan {
        attempt_id: incoming.attempt_id.clone(),
        shared_parts: incoming.shared_parts.clone(),
        content: incoming.content(),
    }));
}

/// Records the end of an attempt that may have been a trial.
pub(super) fn end_trial(state: &mut State, request_number: RequestNumber) {
    let Some(request) = state.requests.get_mut(&request_number) else {
        return;
    };
    if std::mem::take(&mut request.is_trial) {
        let incoming = &request.incoming;
        state.poison_parts.end_trial(&incoming.shared_parts);
        state.poison_requests.end_trial(&[incoming.content()]);
        state.must_broadcast = true;
    }
}

/// Records that the run of a request has been answering for a while, or was answered completely.
pub(super) fn record_answer(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    let incoming = &request.incoming;
    let changes = state
        .poison_parts
        .record_answer(now_ms, &incoming.shared_parts);
    log_part_changes(PartScope::Prompt, &changes, effects);
    let changes = state
        .poison_requests
        .record_answer(now_ms, &[incoming.content()]);
    log_part_changes(PartScope::Request, &changes, effects);
}

/// Returns for how long the run of a request has been answering, or `None` before its first event.
fn answered_ms(now_ms: u64, request: &Request) -> Option<u64> {
    let since_ms = request.answering_since_ms?;
    Some(now_ms.saturating_sub(since_ms))
}

/// Returns true if a request may have crashed the target that runs it, should that end now.
///
/// A request that crashes targets does so when they begin to run it. A run that has been answering for a while
/// ends with a target that crashes for another reason, along with all others there.
fn may_have_crashed_target(now_ms: u64, request: &Request) -> bool {
    answered_ms(now_ms, request).is_none_or(|answered_ms| answered_ms < SOUND_AFTER_MS)
}

/// Records that the run of a request was interrupted at its target. If the target had hardly
/// begun to answer, it may have crashed under the request.
pub(super) fn handle_interruption(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    let Some((target, _)) = &request.placement else {
        return;
    };
    let incoming = &request.incoming;
    let has_shared_parts = !incoming.shared_parts.is_empty();
    if has_shared_parts {
        effects.push(Effect::Log(LogEvent::RunInterrupted {
            attempt_id: incoming.attempt_id.clone(),
            target: target.clone(),
            answered_ms: answered_ms(now_ms, request),
            shared_parts: incoming.shared_parts.clone(),
        }));
    }
    if !may_have_crashed_target(now_ms, request) {
        return;
    }
    let crashed = CrashedTarget {
        key: target_key(target, request.target_started_unix_ms),
        unreached_ms: state
            .health
            .unreached_ms(target)
            .filter(|unreached_ms| *unreached_ms < request.dispatched_ms),
    };
    let changes =
        state
            .poison_parts
            .record_crash(now_ms, crashed, &incoming.shared_parts);
    log_part_changes(PartScope::Prompt, &changes, effects);
    let content = [incoming.content()];
    let changes = state
        .poison_requests
        .record_crash(now_ms, crashed, &content);
    log_part_changes(PartScope::Request, &changes, effects);
    state.must_broadcast |= has_shared_parts || !changes.is_empty();
}

/// Handles the interruption of a run of which there is a copy: it resumes there, unless it
/// would crash that target too.
pub(super) fn handle_interruption_with_copy(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    handle_interruption(state, now_ms, request_number, effects);
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    let Some(refused_ms) = refused_for_ms(state, now_ms, &request.incoming) else {
        effects.push(Effect::ResumeFromCopy { request_number });
        return;
    };
    if let Some(request) = state.requests.get_mut(&request_number) {
        request.verdict = request.verdict.max(Verdict::MayHaveRun);
    }
    let reason = Reason::CrashesTargets;
    let retry_after_ms = Some(retry_after_ms(state, refused_ms));
    refuse(state, request_number, reason, retry_after_ms, effects);
}

/// Logs what has changed about parts of prompts or whole requests.
pub(super) fn log_part_changes(
    scope: PartScope,
    changes: &[PartChange],
    effects: &mut Vec<Effect>,
) {
    let events = changes.iter().map(|change| match *change {
        PartChange::Poison(part, crashed_targets) => LogEvent::PartRefused {
            scope,
            part,
            crashed_targets,
        },
        PartChange::Confirmed(part, pause_ms) => LogEvent::PartConfirmed {
            scope,
            part,
            pause_ms,
        },
        PartChange::Sound(part) => LogEvent::PartAccepted { scope, part },
    });
    effects.extend(events.map(Effect::Log));
}
