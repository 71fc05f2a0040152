//! Messages between the host of a request and the home of a target.
//!
//! Any of them may be lost, repeated, late or out of order. Each names its request or
//! generation, so that a repeat changes nothing and a loss is mended by the next
//! [`Progress`] or by asking again.

use crate::accounts::event::{Outcome, RefuseReason};
use crate::prelude::*;
use crate::settings::RoutingPolicy;

/// A message to a peer of the same zone.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Message {
    /// Asks the home of a target for memory.
    Reserve(Reserve),
    /// The memory is reserved, and the request may go to the target.
    Granted(Granted),
    /// The request waits at the home.
    Queued(Queued),
    /// The target can't take the request in time.
    Refused(Refused),
    /// The request isn't wanted at this target any more, whether queued or granted.
    Withdraw {
        /// The request that was withdrawn.
        request: RequestId,
        /// The generation that the reservation was for.
        generation: GenerationId,
        /// The target of the reservation.
        target: TargetName,
    },
    /// How far the generations of one host have come, batched for each home.
    Progress {
        /// One entry for each generation that moved.
        entries: Vec<Progress>,
    },
    /// A generation has ended.
    Finished(Finished),
    /// A new home asks what the receiver runs at these targets.
    Rebuild {
        /// The targets whose account is being rebuilt.
        targets: Vec<TargetName>,
    },
    /// What the sender runs at the asked targets; an empty list is an answer, too.
    Holdings {
        /// The targets that the list is complete for.
        targets: Vec<TargetName>,
        /// The generations of the sender at those targets.
        entries: Vec<Holding>,
    },
    /// The state of the sender's accounts, in brief.
    Loads {
        /// One entry for each target that the sender is home of.
        entries: Vec<Load>,
    },
}

/// Asks the home of a target for memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Reserve {
    /// The request, which names the reservation.
    pub request: RequestId,
    /// The generation that will run.
    pub generation: GenerationId,
    /// The target that is asked for.
    pub target: TargetName,
    /// Organisation of the caller.
    pub organisation: OrganisationName,
    /// Kind of the request.
    pub kind: KindName,
    /// Tokens of the prompt, as estimated by the entry host.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub max_output_tokens: u32,
    /// Hashes of the prompt's growing prefixes, see [`crate::routing::prefix_hashes`].
    pub prefix_hashes: Vec<u64>,
    /// When the answer must have ended.
    pub deadline_unix_ms: u64,
    /// Priority from the settings, 0 (preempted first) to 9.
    pub priority: u8,
    /// The organisation's weight in the queue.
    pub weight: f64,
    /// What the settings allow for this request.
    pub limits: Limits,
}

/// Bounds that the settings put on an admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Highest chance that the batch outgrows the target's memory.
    pub outgrow_chance_max: f64,
    /// Highest step time after the admission.
    pub step_time_max_ms: f64,
    /// Longest wait in the queue.
    pub queue_timeout_ms: u64,
    /// The rule of admission: accounts, or the full maximum reserved.
    pub policy: RoutingPolicy,
}

/// The memory is reserved.
#[derive(Clone, Debug, PartialEq)]
pub struct Granted {
    /// The request.
    pub request: RequestId,
    /// The generation that the reservation is for.
    pub generation: GenerationId,
    /// The target that may be used.
    pub target: TargetName,
    /// Priority to hand to the engine.
    pub priority: u8,
}

/// The request waits at the home.
#[derive(Clone, Debug, PartialEq)]
pub struct Queued {
    /// The request.
    pub request: RequestId,
    /// The target it waits for.
    pub target: TargetName,
    /// The wait that the home expects.
    pub wait_ms: u64,
}

/// The target can't take the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused {
    /// The request.
    pub request: RequestId,
    /// The target that refused.
    pub target: TargetName,
    /// Why it refused.
    pub reason: RefuseReason,
    /// When to come back.
    pub retry_after_ms: u64,
}

/// How far a generation has come.
#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    /// The generation.
    pub generation: GenerationId,
    /// The target it runs at.
    pub target: TargetName,
    /// Tokens generated so far.
    pub tokens: u32,
}

/// A generation has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Finished {
    /// The generation.
    pub generation: GenerationId,
    /// The target it ran at.
    pub target: TargetName,
    /// Tokens generated.
    pub tokens: u32,
    /// How it ended.
    pub outcome: Outcome,
}

/// A generation that runs at a target, as its host knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    /// The reservation that it was dispatched under.
    pub reserve: Reserve,
    /// Tokens generated so far.
    pub tokens: u32,
}

/// An account in brief.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The target.
    pub target: TargetName,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the home.
    pub queued: u32,
    /// The wait that a new request may expect.
    pub wait_ms: u64,
    /// Memory in use, as a share of the whole.
    pub used_share: f64,
}
