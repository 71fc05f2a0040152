//! What is known of a request once it has been read and authorised.

use std::sync::Arc;

use crate::claims::BodyHash;
use crate::prelude::*;
use crate::settings::{Effective, TargetClass};

/// A request as the entry host hands it to the reducer.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// When the request arrived, by the wall clock.
    pub arrived_unix_ms: u64,
    /// The live event it belongs to.
    pub live_event: LiveEventName,
    /// When that event begins, which orders waiting requests by slack.
    pub live_event_starts_unix_ms: u64,
    /// When that event ends, which bounds how long an idempotency key is kept.
    pub live_event_ends_unix_ms: u64,
    /// Whose request it is.
    pub organisation: OrganisationName,
    /// What kind of request it is.
    pub kind: KindName,
    /// What kind of target serves it.
    pub class: TargetClass,
    /// The settings revision that the request keeps to its end.
    pub revision: Revision,
    /// The values in force for the request.
    pub values: Arc<Effective>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// SHA-256 of method, path and body, which tells a repeat from another request.
    pub body_sha256: BodyHash,
    /// Estimate of the prompt's length.
    pub prompt_tokens: u32,
    /// Most tokens the answer may have.
    pub max_output_tokens: u32,
    /// Hash of each leading block of the prompt, for prefix affinity.
    pub prefix_hashes: Vec<u64>,
}

impl Arrival {
    /// Returns when the idempotency key's life ends.
    pub fn key_expires_unix_ms(&self) -> u64 {
        self.live_event_ends_unix_ms + self.values.key_retention_ms
    }

    /// Says whether the request must be claimed in the platform's table before it runs.
    pub fn needs_claim(&self) -> bool {
        !self.values.idempotent && !self.values.target_deduplicates
    }
}
