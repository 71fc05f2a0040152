//! Applies the end of an attempt to all modules that track it.

use super::choice::{end_isolation, fingerprint_of};
use super::{accounts, crash_marks, observations, targets};
use crate::accounts::{Event as AccountEvent, Outcome as AccountOutcome};
use crate::crash_marks::Event as MarkEvent;
use crate::effect::Effect;
use crate::prelude::*;
use crate::requests::{Arrival, InterruptionCause, Outcome, generation_of};
use crate::settings::TargetClass;
use crate::state::State;
use crate::targets::{Event as TargetEvent, Outcome as TargetOutcome};
use crate::timeline::{Entry, RecordKind};

/// Settles an attempt at a target by its outcome.
pub(super) fn settle_attempt(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    target: TargetName,
    attempt: u32,
    outcome: &Outcome,
    effects: &mut Vec<Effect>,
) {
    if let Some(count) = state.outstanding.get_mut(&target) {
        *count = count.saturating_sub(1);
    }
    let generation = generation_of(arrival.request, attempt);
    record_attempt_end(state, now_ms, arrival, &target, generation, outcome);
    let stopped = MarkEvent::Stopped {
        target: target.clone(),
        fingerprint: fingerprint_of(arrival),
        finished: matches!(outcome, Outcome::Finished { .. }),
    };
    crash_marks::apply(state, now_ms, stopped, effects);
    end_isolation(state, now_ms, generation, effects);
    if arrival.class == TargetClass::ModelEngine {
        let event = AccountEvent::GenerationFinished {
            generation,
            tokens: answer_tokens(outcome),
            outcome: account_outcome(arrival, outcome),
        };
        accounts::apply(state, now_ms, event, effects);
    }
    if matches!(
        outcome,
        Outcome::Interrupted {
            cause: InterruptionCause::Disconnected,
            ..
        }
    ) {
        observations::observe_now(state, now_ms, &target, effects);
    }
    let epoch = state.targets.epoch(&target);
    if let (Some(outcome), Some(epoch)) = (target_outcome(outcome), epoch) {
        let event = TargetEvent::RequestEnded {
            target,
            epoch,
            outcome,
        };
        targets::apply(state, now_ms, event, effects);
    }
}

/// Records the end of an attempt, or of its resumed part, in the timeline.
pub(super) fn record_attempt_end(
    state: &mut State,
    now_ms: u64,
    arrival: &Arrival,
    target: &TargetName,
    generation: GenerationId,
    outcome: &Outcome,
) {
    let (kind, reason) = match outcome {
        Outcome::Finished { .. } => (RecordKind::RequestFinished, "the answer is whole"),
        Outcome::NotBegun { .. } => (
            RecordKind::AttemptFailed,
            "the target did not begin the request",
        ),
        Outcome::Interrupted { cause, .. } => (RecordKind::AttemptFailed, cause.as_str()),
        Outcome::CallerDisconnected => (RecordKind::CallerGone, "the caller has gone"),
    };
    let entry = Entry::new(kind)
        .request(arrival.request)
        .generation(generation)
        .organisation(&arrival.organisation)
        .target(target)
        .field("tokens", u64::from(answer_tokens(outcome)))
        .reason(reason);
    state.timeline.record(now_ms, entry);
}

fn answer_tokens(outcome: &Outcome) -> u32 {
    match outcome {
        Outcome::Finished { tokens, .. } => *tokens,
        Outcome::Interrupted {
            delivered_tokens, ..
        } => *delivered_tokens,
        _ => 0,
    }
}

fn account_outcome(arrival: &Arrival, outcome: &Outcome) -> AccountOutcome {
    match outcome {
        Outcome::Finished { tokens, .. } if *tokens >= arrival.max_output_tokens => {
            AccountOutcome::Truncated
        }
        Outcome::Finished { .. } => AccountOutcome::Completed,
        Outcome::NotBegun { .. } => AccountOutcome::NotRun,
        Outcome::Interrupted { .. } => AccountOutcome::Failed,
        Outcome::CallerDisconnected => AccountOutcome::Cancelled,
    }
}

/// Returns the outcome for the admission state of the target, or `None` if it proves nothing
/// about the target's health, such as a refusal by the target itself.
fn target_outcome(outcome: &Outcome) -> Option<TargetOutcome> {
    match outcome {
        Outcome::Finished { first_token_ms, .. } => Some(TargetOutcome::Answered {
            first_token_ms: *first_token_ms as f64,
        }),
        Outcome::NotBegun {
            retry_after_ms: None,
        } => Some(TargetOutcome::Failed),
        Outcome::Interrupted { cause, .. } => match cause {
            InterruptionCause::Disconnected | InterruptionCause::ProtocolViolation => {
                Some(TargetOutcome::Failed)
            }
            InterruptionCause::Stalled => Some(TargetOutcome::Stalled),
            InterruptionCause::TimedOut | InterruptionCause::AnswerTooLarge => None,
        },
        Outcome::NotBegun { .. } | Outcome::CallerDisconnected => None,
    }
}
