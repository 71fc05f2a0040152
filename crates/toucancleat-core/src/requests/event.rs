//! Events of requests and the effects that their reducer returns.

use std::sync::Arc;

use super::{Arrival, Outcome};
use crate::claims::RequestOutcome;
use crate::prelude::*;
use crate::refusal::Refusal;

/// An event of a request.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// A request was read and authorised.
    Arrived(Arc<Arrival>),
    /// The organisation's limit admits the request.
    PermitGranted {
        /// The request.
        request: RequestId,
    },
    /// The organisation has reached its limit.
    PermitRefused {
        /// The request.
        request: RequestId,
        /// The refusal that the caller receives.
        refusal: Refusal,
    },
    /// The key is claimed, so the request may be dispatched.
    Claimed {
        /// The request.
        request: RequestId,
    },
    /// The claim was refused.
    ClaimRefused {
        /// The request.
        request: RequestId,
        /// The refusal that the caller receives.
        refusal: Refusal,
    },
    /// The key belongs to an earlier request, whose stored answer the caller receives.
    ClaimReplayed {
        /// The request.
        request: RequestId,
    },
    /// Capacity for the request was reserved at a target.
    ReservationGranted {
        /// The request.
        request: RequestId,
        /// The target.
        target: TargetName,
        /// Priority of the request at the engine.
        priority: u8,
    },
    /// No target can take the request.
    ReservationRefused {
        /// The request.
        request: RequestId,
        /// The refusal that the caller receives, with its verdict raised to the highest one of
        /// the attempts so far.
        refusal: Refusal,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// The caller disconnected before an attempt began.
    CallerDisconnected {
        /// The request.
        request: RequestId,
    },
    /// Time has passed.
    Tick,
}

/// An effect of the requests.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Effect {
    /// Acquire a permit of the organisation's limit.
    AcquirePermit {
        /// The request.
        arrival: Arc<Arrival>,
    },
    /// Release a permit of the organisation's limit.
    ReleasePermit {
        /// The organisation.
        organisation: OrganisationName,
    },
    /// Claim the request's key in the platform's table.
    Claim {
        /// The request.
        arrival: Arc<Arrival>,
    },
    /// Settle a claim by how its request ended.
    SettleClaim {
        /// The request.
        request: RequestId,
        /// Whether the request was ever dispatched.
        is_dispatched: bool,
        /// How it ended.
        outcome: RequestOutcome,
    },
    /// Reserve capacity at a target.
    Reserve {
        /// The request.
        arrival: Arc<Arrival>,
        /// Number of the attempt, from 1; those after the first count against the retry
        /// budget.
        attempt: u32,
        /// Targets that earlier attempts have tried.
        excluded: Vec<TargetName>,
    },
    /// Withdraw the reservation of a request.
    Withdraw {
        /// The request.
        request: RequestId,
    },
    /// Dispatch the request to a target.
    Dispatch {
        /// The request.
        arrival: Arc<Arrival>,
        /// The target.
        target: TargetName,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Priority of the request at the engine.
        priority: u8,
        /// When the answer must be complete.
        deadline_ms: u64,
    },
    /// Settle an attempt by how it ended.
    SettleAttempt {
        /// The request.
        arrival: Arc<Arrival>,
        /// The target.
        target: TargetName,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// Refuse the request, or end its stream if the answer has begun.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal that the caller receives.
        refusal: Refusal,
    },
}
