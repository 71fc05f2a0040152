//! What an entry host is to do.

use std::sync::Arc;

use crate::prelude::*;
use crate::refusal::Refusal;
use crate::requests::Arrival;
use crate::settings::InForce;

/// An effect, as the daemon carries it out.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Effect {
    /// Give a request to a target.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The target.
        target: TargetName,
        /// Address of the target, IP and port.
        address: String,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Priority towards the engine.
        priority: u8,
        /// When the answer must be whole.
        deadline_ms: u64,
    },
    /// Refuse a request, or end its stream where the answer has begun.
    Refuse {
        /// The request.
        request: RequestId,
        /// What the caller is told.
        refusal: Refusal,
    },
    /// Claim the request's key in the platform's table.
    Claim {
        /// The request.
        arrival: Arc<Arrival>,
    },
    /// Give up the claim of a request that was never given to a target.
    AbandonClaim {
        /// The request.
        request: RequestId,
    },
    /// Let new requests be read under these settings.
    ApplySettings(Arc<InForce>),
}
