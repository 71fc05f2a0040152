//! How an attempt at a target ended.

use std::sync::Arc;

use crate::claims::Answer;
use crate::prelude::*;

/// How an attempt at a target ended, as reported by the relay.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Outcome {
    /// The target completed its answer.
    Finished {
        /// Length of the answer in tokens; 0 for a plain service.
        tokens: u32,
        /// Time from the dispatch to the first token or byte.
        first_token_ms: u64,
        /// The answer, if the claim stores it for repetitions of the key.
        answer: Option<Arc<Answer>>,
    },
    /// The target provably did not begin the request: no byte reached it, or it reported so
    /// itself.
    NotBegun {
        /// Delay that the target requests before a retry.
        retry_after_ms: Option<u64>,
    },
    /// The attempt was interrupted before its answer was complete, and the target may have run
    /// the request.
    Interrupted {
        /// Why the attempt was interrupted.
        cause: InterruptionCause,
        /// Tokens that were already delivered to the caller.
        delivered_tokens: u32,
    },
    /// The caller disconnected, and the target was requested to cancel the attempt.
    CallerDisconnected,
}

impl Outcome {
    /// Returns what the outcome proves about whether the request ran.
    pub fn verdict(&self) -> Verdict {
        match self {
            Outcome::Finished { .. } => Verdict::Ran,
            Outcome::NotBegun { .. } => Verdict::NotRun,
            Outcome::Interrupted { .. } | Outcome::CallerDisconnected => {
                Verdict::MayHaveRun
            }
        }
    }
}

/// Why an attempt was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum InterruptionCause {
    /// The connection was lost.
    Disconnected,
    /// Nothing arrived for longer than the stall timeout.
    Stalled,
    /// The target violated its protocol: wrong generation, skipped index or malformed frame.
    ProtocolViolation,
    /// The request's timeout expired.
    TimedOut,
    /// The answer exceeded the size limit for buffering until it is complete.
    AnswerTooLarge,
}

impl InterruptionCause {
    /// Returns the name used in logs, metrics and problem details.
    pub fn as_str(self) -> &'static str {
        match self {
            InterruptionCause::Disconnected => "disconnected",
            InterruptionCause::Stalled => "stalled",
            InterruptionCause::ProtocolViolation => "protocol_violation",
            InterruptionCause::TimedOut => "timed_out",
            InterruptionCause::AnswerTooLarge => "answer_too_large",
        }
    }
}
