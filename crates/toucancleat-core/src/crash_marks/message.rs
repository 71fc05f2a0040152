//! Messages about crash marks.

use super::Fingerprint;
use crate::prelude::*;

/// A one-way message; any of them may be lost, late, duplicated or out of order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Message {
    /// Requests that ran at a target when it crashed.
    Marked {
        /// Whether the receiver passes it on in its zone.
        relay: bool,
        /// The crash.
        crash: Crash,
        /// The requests.
        fingerprints: Vec<Fingerprint>,
    },
    /// Marks that no longer count, since their request has finished.
    Cleared {
        /// Whether the receiver passes it on in its zone.
        relay: bool,
        /// The requests with the crashes whose marks are cleared.
        cleared: Vec<CrashMarks>,
    },
    /// Asks the isolation home for the turn of an attempt.
    AskTurn {
        /// The request.
        fingerprint: Fingerprint,
        /// The attempt.
        attempt: GenerationId,
    },
    /// Gives the turn to an attempt.
    Turn {
        /// The attempt.
        attempt: GenerationId,
    },
    /// Tells an attempt to come back later.
    NoTurn {
        /// The attempt.
        attempt: GenerationId,
        /// Time to come back after.
        retry_after_ms: u64,
    },
    /// Gives the turn back.
    EndTurn {
        /// The attempt.
        attempt: GenerationId,
    },
}

/// One crash of a target, the same for every host that notices it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Crash {
    /// The target.
    pub target: TargetName,
    /// The epoch that ended with the crash.
    pub epoch: u64,
}

/// A request with crashes that have marked it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashMarks {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crashes.
    pub crashes: Vec<Crash>,
}
