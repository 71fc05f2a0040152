//! How an attempt at a target ended.

use std::sync::Arc;

use crate::claims::Answer;
use crate::prelude::*;

/// How an attempt at a target ended, as the relay saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Outcome {
    /// The target gave its whole answer.
    Finished {
        /// Tokens of the answer; 0 for a plain service.
        tokens: u32,
        /// Time from the dispatch to the first token or byte.
        first_token_ms: u64,
        /// The answer, where its claim keeps it for a repeat of the key.
        answer: Option<Arc<Answer>>,
    },
    /// It is proved that the target did not begin the request: no byte reached it, or it
    /// said so itself.
    NotBegun {
        /// When the target asks to come back.
        retry_after_ms: Option<u64>,
    },
    /// The answer broke off or never came, and the target may have run the request.
    Lost {
        /// Why.
        cause: LossCause,
        /// Tokens that went to the caller and can't be taken back.
        delivered_tokens: u32,
    },
    /// The caller went away; the target was told to cancel.
    CallerGone,
}

impl Outcome {
    /// Returns what the outcome proves about the request having run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Outcome::Finished { .. } => Verdict::Ran,
            Outcome::NotBegun { .. } => Verdict::NotRun,
            Outcome::Lost { .. } | Outcome::CallerGone => Verdict::MayHaveRun,
        }
    }
}

/// Why an answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum LossCause {
    /// The connection broke.
    Disconnected,
    /// Nothing was heard for longer than the stall timeout.
    Stalled,
    /// The target broke its protocol: wrong generation, skipped index, unreadable frame.
    ProtocolViolation,
    /// The request's time ran out.
    TimedOut,
    /// The answer outgrew the bound of whole delivery.
    AnswerTooLarge,
}

impl LossCause {
    /// Returns the word used in logs, metrics and details.
    pub fn as_str(self) -> &'static str {
        match self {
            LossCause::Disconnected => "disconnected",
            LossCause::Stalled => "stalled",
            LossCause::ProtocolViolation => "protocol_violation",
            LossCause::TimedOut => "timed_out",
            LossCause::AnswerTooLarge => "answer_too_large",
        }
    }
}
