//! What happens to targets, and what follows from it.

use super::Message;
use crate::prelude::*;

/// What happens to targets.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed; expected every 100 ms.
    Tick,
    /// The other entry hosts of the zone that live.
    Hosts {
        /// Their names, without this host's.
        peers: Vec<HostName>,
    },
    /// A target is there. A higher epoch than before means that it was replaced, which
    /// clears whatever was known.
    Seen {
        /// The target.
        target: TargetName,
        /// The pool that it belongs to.
        pool: PoolName,
        /// Number that rises with each start of the target; zero while it isn't known.
        epoch: u64,
    },
    /// The settings no longer have the target.
    Removed {
        /// The target.
        target: TargetName,
    },
    /// The target or the platform has said that the target leaves.
    Leaving {
        /// The target.
        target: TargetName,
        /// The epoch that leaves.
        epoch: u64,
    },
    /// A request of this host at the target has ended.
    Ended {
        /// The target.
        target: TargetName,
        /// The epoch that the request ran in.
        epoch: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// A message has come from a peer.
    Received {
        /// The host that sent it.
        from: HostName,
        /// The message.
        message: Message,
    },
}

/// How a request ended, as far as it says something about the target.
#[derive(Clone, Copy, Debug, PartialEq)]
#[non_exhaustive]
pub enum Outcome {
    /// With an answer.
    Answered {
        /// Time to the first token or byte.
        first_token_ms: f64,
    },
    /// With an error, a refused connection or a lost one.
    Failed,
    /// By silence beyond the stall timeout.
    Stalled,
}

/// What the target may do for a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Admission {
    /// It takes the request.
    Yes,
    /// It takes the request as the one trial in progress.
    Trial,
    /// It leaves, for good.
    Leaving,
    /// It is taken out.
    Out {
        /// Time until the next trial may start.
        retry_after_ms: u64,
    },
    /// It isn't known.
    Unknown,
}

/// What the daemon is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Effect {
    /// Sends a message to a peer.
    Send {
        /// The receiver.
        to: HostName,
        /// The message.
        message: Message,
    },
    /// A target takes no new work any more.
    TakenOut {
        /// The target.
        target: TargetName,
        /// Why.
        reason: Reason,
    },
    /// A target takes new work again.
    PutBack {
        /// The target.
        target: TargetName,
    },
}

/// Why a target takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Reason {
    /// It leaves.
    Leaving,
    /// Requests of this host failed.
    Failed,
    /// Requests of this host stalled.
    Stalled,
    /// It is far slower than its pool.
    Slow,
    /// Other hosts have taken it out.
    Reported,
}
