//! Messages that disseminate crash marks and grant turns for isolated runs.

use super::Fingerprint;
use crate::prelude::*;

/// A one-way message, which may be lost, delayed, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Message {
    /// Marks the requests that ran at a target when it crashed.
    Marked {
        /// True if the receiver forwards the message within its zone.
        relay: bool,
        /// The crash.
        crash: Crash,
        /// The requests.
        fingerprints: Vec<Fingerprint>,
    },
    /// Clears marks that no longer count, since their requests have finished.
    Cleared {
        /// True if the receiver forwards the message within its zone.
        relay: bool,
        /// The requests with the crashes whose marks are cleared.
        cleared: Vec<CrashMarks>,
    },
    /// Requests the turn for an attempt from the isolation home.
    RequestTurn {
        /// The request.
        fingerprint: Fingerprint,
        /// The attempt.
        attempt: GenerationId,
    },
    /// Grants the turn to an attempt.
    GrantTurn {
        /// The attempt.
        attempt: GenerationId,
    },
    /// Denies the turn to an attempt.
    DenyTurn {
        /// The attempt.
        attempt: GenerationId,
        /// Time after which to request the turn again, in milliseconds.
        retry_after_ms: u64,
    },
    /// Releases the turn.
    ReleaseTurn {
        /// The attempt.
        attempt: GenerationId,
    },
}

/// A crash of a target, identified alike by every host that detects it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Crash {
    /// The target.
    pub target: TargetName,
    /// The epoch that ended with the crash.
    pub epoch: u64,
}

/// A request and crashes that have marked it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashMarks {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crashes.
    pub crashes: Vec<Crash>,
}
