//! What happens to crash marks, and what follows from it.

use super::{Crash, Fingerprint, Message};
use crate::prelude::*;

/// What happens to marks.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed; expected every 100 ms.
    Tick,
    /// This host has begun a request at a target.
    Started {
        /// The target.
        target: TargetName,
        /// The request.
        fingerprint: Fingerprint,
    },
    /// A request of this host no longer runs at a target.
    Stopped {
        /// The target.
        target: TargetName,
        /// The request.
        fingerprint: Fingerprint,
        /// Whether it finished, which shows that it didn't crash the target.
        finished: bool,
    },
    /// A target has crashed.
    Crashed {
        /// The target and the epoch that ended.
        crash: Crash,
    },
    /// A request that is to run alone asks the zone's isolation home for its turn.
    Isolate {
        /// The home.
        home: HostName,
        /// The request.
        fingerprint: Fingerprint,
        /// This attempt, unique over all.
        attempt: GenerationId,
    },
    /// An isolated run has ended.
    IsolationEnded {
        /// The home.
        home: HostName,
        /// The attempt.
        attempt: GenerationId,
    },
    /// A message has come from a peer.
    Received {
        /// The host that sent it.
        from: HostName,
        /// The message.
        message: Message,
    },
}

/// What the daemon is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Effect {
    /// Sends a message to a peer; the receiver may be this host itself.
    Send {
        /// The receiver.
        to: HostName,
        /// The message.
        message: Message,
    },
    /// Sends a message to every other entry host of the zone.
    Broadcast {
        /// The message.
        message: Message,
    },
    /// Sends a message to one delegate of each other zone.
    SendToZones {
        /// The message.
        message: Message,
    },
    /// An isolated attempt may run now.
    Turn {
        /// The attempt.
        attempt: GenerationId,
    },
    /// An isolated attempt must come back later; it has not run.
    NoTurn {
        /// The attempt.
        attempt: GenerationId,
        /// Time to come back after.
        retry_after_ms: u64,
    },
    /// A request has got a mark.
    Marked {
        /// The request.
        fingerprint: Fingerprint,
        /// How many it has now.
        marks: usize,
    },
}
