//! Events and effects of tracking the targets.

use super::Message;
use crate::prelude::*;

/// An event of tracking the targets.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The live peers of the zone have changed.
    PeersChanged {
        /// Names of the live peers, without this host.
        peers: Vec<HostName>,
    },
    /// A target was observed. A higher epoch than the known one means that the target was
    /// replaced, which resets its known state.
    Observed {
        /// The target.
        target: TargetName,
        /// The pool of the target.
        pool: PoolName,
        /// Number that rises with each start of the target; zero while it is unknown.
        epoch: u64,
    },
    /// The settings no longer contain the target.
    Removed {
        /// The target.
        target: TargetName,
    },
    /// The target or the platform has announced that the target leaves.
    TargetLeaving {
        /// The target.
        target: TargetName,
        /// The epoch that leaves.
        epoch: u64,
    },
    /// A request of this host at the target has ended.
    RequestEnded {
        /// The target.
        target: TargetName,
        /// The epoch that the request ran in.
        epoch: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// A message from a peer was received.
    MessageReceived {
        /// The sender.
        from: HostName,
        /// The message.
        message: Message,
    },
}

/// How a request ended, as far as it bears on the health of the target.
#[derive(Clone, Copy, Debug, PartialEq)]
#[non_exhaustive]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// Time to the first token or byte, in milliseconds.
        first_token_ms: f64,
    },
    /// An error occurred, or the connection was refused or lost.
    Failed,
    /// The target sent nothing for longer than the stall timeout.
    Stalled,
}

/// Whether a target takes a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Admission {
    /// The target takes the request.
    Yes,
    /// The target takes the request as the one trial in progress.
    Trial,
    /// The target leaves for good.
    Leaving,
    /// The breaker of the target is open.
    Out {
        /// Time until the next trial may start.
        retry_after_ms: u64,
    },
    /// The target is unknown.
    Unknown,
}

/// An effect of tracking the targets.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Effect {
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: HostName,
        /// The message.
        message: Message,
    },
    /// A target no longer takes new work.
    TargetUnavailable {
        /// The target.
        target: TargetName,
        /// The reason.
        reason: Reason,
    },
    /// A target takes new work again.
    TargetAvailable {
        /// The target.
        target: TargetName,
    },
}

/// Why a target takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Reason {
    /// The target leaves.
    Leaving,
    /// Requests of this host failed at the target.
    Failed,
    /// Requests of this host stalled at the target.
    Stalled,
    /// The target is far slower than its pool.
    Slow,
    /// Enough hosts have reported the target as unavailable.
    Reported,
}
