//! Messages between the host of a request and the home of a target.
//!
//! Each message identifies its request or generation, so a duplicate changes nothing, and
//! the next [`Progress`] or a retry repairs a loss.

use crate::accounts::event::{Outcome, RefusalReason};
use crate::prelude::*;
use crate::settings::RoutingPolicy;

/// A one-way message to a peer of the same zone, which may be lost, delayed, duplicated or
/// reordered.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Message {
    /// Requests memory from the home of a target.
    Reserve(ReservationRequest),
    /// The memory is reserved, and the request may be sent to the target.
    Granted(ReservationGrant),
    /// The request waits at the home.
    Queued(QueueNotice),
    /// The target can't take the request in time.
    Refused(ReservationRefusal),
    /// The request no longer needs this target, whether it was queued or granted.
    Withdraw {
        /// The request that was withdrawn.
        request: RequestId,
        /// The generation that the reservation was for.
        generation: GenerationId,
        /// The target of the reservation.
        target: TargetName,
    },
    /// Progress of the generations of one host, in one message for each home.
    Progress {
        /// One entry for each generation whose progress is due.
        entries: Vec<Progress>,
    },
    /// A generation has ended.
    Finished(FinishedGeneration),
    /// The home requests the generations that the recipient runs at these targets, to
    /// rebuild their accounts.
    HoldingsRequest {
        /// The targets whose accounts are being rebuilt.
        targets: Vec<TargetName>,
    },
    /// The generations that the sender runs at the requested targets. It is sent also if
    /// there are none.
    Holdings {
        /// The targets for which the list is complete.
        targets: Vec<TargetName>,
        /// The generations of the sender at those targets.
        entries: Vec<RunningGeneration>,
    },
    /// Summaries of the sender's accounts.
    AccountSummaries {
        /// One entry for each target that the sender is home of.
        entries: Vec<AccountSummary>,
    },
}

/// A requested reservation of memory at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct ReservationRequest {
    /// The request, which identifies the reservation.
    pub id: RequestId,
    /// The generation that will run.
    pub generation: GenerationId,
    /// The requested target.
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
    /// When the answer must be complete.
    pub deadline_unix_ms: u64,
    /// Priority from the settings, 0 (preempted first) to 9.
    pub priority: u8,
    /// The organisation's weight in the queue.
    pub weight: f64,
    /// Bounds from the settings.
    pub limits: Limits,
}

/// Bounds that the settings put on the admission of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Highest probability that the batch outgrows the target's memory.
    pub outgrow_chance_max: f64,
    /// Highest step time after the admission, in milliseconds.
    pub step_time_max_ms: f64,
    /// Longest wait in the queue.
    pub queue_timeout_ms: u64,
    /// The policy of admission: by accounts, or by a reservation of the maximum length.
    pub policy: RoutingPolicy,
}

/// A grant of a reservation.
#[derive(Clone, Debug, PartialEq)]
pub struct ReservationGrant {
    /// The request.
    pub request: RequestId,
    /// The generation that the reservation is for.
    pub generation: GenerationId,
    /// The target that may be used.
    pub target: TargetName,
    /// Priority that the engine is given.
    pub priority: u8,
}

/// Notice that a request waits in the home's queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueNotice {
    /// The request.
    pub request: RequestId,
    /// The target for which it waits.
    pub target: TargetName,
    /// The expected wait.
    pub wait_ms: u64,
}

/// A refusal of a reservation.
#[derive(Clone, Debug, PartialEq)]
pub struct ReservationRefusal {
    /// The request.
    pub request: RequestId,
    /// The target that refused.
    pub target: TargetName,
    /// Why it refused.
    pub reason: RefusalReason,
    /// Time after which the caller may retry.
    pub retry_after_ms: u64,
}

/// The progress of a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    /// The generation.
    pub generation: GenerationId,
    /// The target at which it runs.
    pub target: TargetName,
    /// Tokens generated so far.
    pub tokens: u32,
}

/// The end of a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedGeneration {
    /// The generation.
    pub generation: GenerationId,
    /// The target at which it ran.
    pub target: TargetName,
    /// Tokens generated.
    pub tokens: u32,
    /// How it ended.
    pub outcome: Outcome,
}

/// A running generation, as known to its host.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningGeneration {
    /// The reservation under which it was dispatched.
    pub request: ReservationRequest,
    /// Tokens generated so far.
    pub tokens: u32,
}

/// A summary of an account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSummary {
    /// The target.
    pub target: TargetName,
    /// Number of running generations.
    pub running: u32,
    /// Number of requests that wait at the home.
    pub queued: u32,
    /// The expected wait of a new request.
    pub wait_ms: u64,
    /// Memory in use, as a share of its size.
    pub used_share: f64,
}
