//! Events and effects of the crash marks.

use super::{Crash, Fingerprint, Message};
use crate::prelude::*;

/// An event of the crash marks.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed.
    Tick,
    /// This host has dispatched a request to a target.
    Started {
        /// The target.
        target: TargetName,
        /// The request.
        fingerprint: Fingerprint,
    },
    /// A request of this host has stopped running at a target.
    Stopped {
        /// The target.
        target: TargetName,
        /// The request.
        fingerprint: Fingerprint,
        /// True if the request finished, which shows that it didn't crash the target.
        finished: bool,
    },
    /// A target has crashed.
    Crashed {
        /// The target and the epoch that the crash ended.
        crash: Crash,
    },
    /// A request that must run alone requires a turn from the zone's isolation home.
    IsolationRequested {
        /// The isolation home.
        home: HostName,
        /// The request.
        fingerprint: Fingerprint,
        /// The attempt, unique across hosts.
        attempt: GenerationId,
    },
    /// An isolated run has ended.
    IsolationEnded {
        /// The isolation home.
        home: HostName,
        /// The attempt.
        attempt: GenerationId,
    },
    /// A message has arrived from a peer.
    MessageReceived {
        /// The sender.
        from: HostName,
        /// The message.
        message: Message,
    },
}

/// An effect of the crash marks.
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
    TurnGranted {
        /// The attempt.
        attempt: GenerationId,
    },
    /// An isolated attempt has not run and must request its turn again later.
    TurnDenied {
        /// The attempt.
        attempt: GenerationId,
        /// Time after which to request the turn again, in milliseconds.
        retry_after_ms: u64,
    },
    /// A crash has marked a request.
    Marked {
        /// The request.
        fingerprint: Fingerprint,
        /// Number of its marks that count, including the new one.
        marks: usize,
    },
}
