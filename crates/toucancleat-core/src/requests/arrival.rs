//! A request that has been read and authorised, with the settings in force for it.

use std::sync::Arc;

use crate::claims::BodyHash;
use crate::prelude::*;
use crate::settings::{Effective, TargetClass};

/// A request that has been read and authorised, with the settings in force for it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// When the request arrived, by the wall clock.
    pub arrived_unix_ms: u64,
    /// The live event that the request belongs to.
    pub live_event: LiveEventName,
    /// When that event starts, used to order waiting requests by slack.
    pub live_event_starts_unix_ms: u64,
    /// When that event ends, which bounds how long an idempotency key is kept.
    pub live_event_ends_unix_ms: u64,
    /// The organisation that sent the request.
    pub organisation: OrganisationName,
    /// The request kind.
    pub kind: KindName,
    /// The class of the targets that serve the request.
    pub class: TargetClass,
    /// The revision of the settings, which applies until the request ends.
    pub revision: Revision,
    /// The settings values in force for the request.
    pub values: Arc<Effective>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// SHA-256 of method, path and body, which distinguishes a repetition of the request from
    /// another request with the same key.
    pub body_sha256: BodyHash,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_output_tokens: u32,
    /// Hashes of prefixes of the prompt, see [`crate::routing::prefix_hashes`].
    pub prefix_hashes: Vec<u64>,
}

impl Arrival {
    /// Returns when the idempotency key expires.
    pub fn key_expires_unix_ms(&self) -> u64 {
        self.live_event_ends_unix_ms + self.values.key_retention_ms
    }

    /// Returns true if the request must be claimed in the platform's table before it runs.
    pub fn needs_claim(&self) -> bool {
        !self.values.idempotent && !self.values.target_deduplicates
    }
}
