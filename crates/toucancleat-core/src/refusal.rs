//! The refusals that callers receive.

use std::fmt;

use crate::prelude::*;

/// Time after which a caller may retry if no target can take its request.
pub(crate) const RETRY_AFTER_NO_TARGET_MS: u64 = 1_000;

/// A refusal: what went wrong, whether the request may have run, and when to retry.
///
/// A refusal is sent as soon as it is decided. Delaying it until shortly before the caller's
/// deadline would only hide the load; see docs/DESIGN.md, "Refusals".
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What went wrong.
    pub problem: Problem,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time after which the caller may retry; `None` if a retry can't succeed.
    pub retry_after_ms: Option<u64>,
    /// A human-readable explanation of this occurrence.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(problem: Problem, detail: impl Into<String>) -> Self {
        Refusal {
            problem,
            verdict: Verdict::NotRun,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Replaces the verdict.
    pub fn with_verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ({}): {}",
            self.problem.title(),
            self.verdict,
            self.detail
        )
    }
}

macro_rules! problems {
    ($($(#[$doc:meta])* $name:ident, $status:literal, $slug:literal, $title:literal;)*) => {
        /// A kind of problem that a refusal can report.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[non_exhaustive]
        pub enum Problem {
            $($(#[$doc])* $name,)*
        }

        impl Problem {
            /// Every problem, in the order of docs/PROBLEMS.md.
            pub const ALL: &'static [Problem] = &[$(Problem::$name),*];

            /// Returns the HTTP status.
            pub fn status(self) -> u16 {
                match self { $(Problem::$name => $status,)* }
            }

            /// Returns the last part of the problem's type URI.
            pub fn slug(self) -> &'static str {
                match self { $(Problem::$name => $slug,)* }
            }

            /// Returns the title, which is the same for every occurrence.
            pub fn title(self) -> &'static str {
                match self { $(Problem::$name => $title,)* }
            }
        }
    };
}

problems! {
    /// A head, body or parameter could not be understood.
    Malformed, 400, "malformed", "The request is malformed";
    /// The organisation takes part in several live events and the request names none of them.
    LiveEventNeeded, 400, "live-event-needed", "The request must name its live event";
    /// A request that isn't idempotent has no idempotency key.
    KeyNeeded, 400, "idempotency-key-needed", "The request needs an idempotency key";
    /// The `Last-Event-ID` isn't a cursor that this system issued.
    CursorInvalid, 400, "cursor-invalid", "The cursor is not valid";
    /// No valid credential was given.
    Unauthorised, 401, "unauthorised", "The credential is missing or unknown";
    /// The kind, path or live event does not exist.
    Unknown, 404, "unknown", "There is no such request kind";
    /// The method isn't offered at this path.
    MethodNotAllowed, 405, "method-not-allowed", "The method is not offered here";
    /// The body was not received in time.
    BodyTimeout, 408, "body-timeout", "The body was not received in time";
    /// The idempotency key was used before and its request may have run.
    KeyInUse, 409, "idempotency-key-in-use", "A request with this key may have run";
    /// The generation that the cursor names can no longer be resumed.
    GenerationGone, 410, "generation-gone", "The generation can no longer be resumed";
    /// The body is larger than the kind permits.
    TooLarge, 413, "too-large", "The body is too large";
    /// The idempotency key was used before with another body.
    KeyReused, 422, "idempotency-key-reused", "The key belongs to another request";
    /// The request is a poison request: its content has crashed targets before.
    CrashesTargets, 422, "crashes-targets", "The request has crashed the targets that ran it";
    /// The organisation is over its limit.
    OverLimit, 429, "over-limit", "The organisation is over its limit";
    /// A target failed during the answer or violated its protocol.
    TargetFault, 502, "target-fault", "The target failed";
    /// The host is stopping or has no settings yet.
    NotReady, 503, "not-ready", "This entry host takes no new requests";
    /// Every target is at capacity, or the answer can't be complete before its deadline.
    Crowded, 503, "crowded", "The targets are full";
    /// No target of the kind can be reached.
    NoTarget, 503, "no-target", "No target is available";
    /// The platform's table did not answer, so at-most-once execution can't be guaranteed.
    ClaimsUnavailable, 503, "claims-unavailable", "The platform's table is not available";
    /// The answer was not complete within the request's timeout.
    TimedOut, 504, "timed-out", "The answer did not come in time";
}
