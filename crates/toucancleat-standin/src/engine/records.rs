//! What an engine records for the proofs.

use serde::Serialize;

/// What reached an engine since its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineRecords {
    /// Generations in the order of their arrival.
    pub generations: Vec<GenerationRecord>,
    /// Orders in the order of their arrival.
    pub orders: Vec<OrderRecord>,
    /// Times that a sequence lost its memory in the middle.
    pub preemptions_total: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that carried the id of an earlier generation.
    pub duplicate_generations: u64,
    /// When the engine began to leave.
    pub leaving_unix_ms: Option<u64>,
}

/// One generation.
#[derive(Clone, Debug, Serialize)]
pub struct GenerationRecord {
    /// The `X-Generation-Id`.
    pub generation_id: String,
    /// The body's [`fingerprint`](crate::fingerprint()).
    pub body_fingerprint: String,
    /// The prompt's [`fingerprint`](crate::fingerprint()).
    pub prompt_fingerprint: String,
    /// The `X-Priority`.
    pub priority: u8,
    /// The `X-Deadline-Unix-Ms`.
    pub deadline_unix_ms: Option<u64>,
    /// When the request arrived.
    pub arrived_unix_ms: u64,
    /// How long after the engine began to leave the request arrived.
    pub arrived_after_leaving_ms: Option<u64>,
    /// The prompt's length.
    pub prompt_tokens: u32,
    /// The prompt tokens that the prefix cache held.
    pub cached_tokens: u32,
    /// The length at which the generation ends by itself.
    pub output_tokens: u32,
    /// The tokens produced so far.
    pub produced_tokens: u32,
    /// How often the generation lost its memory and was computed again.
    pub preemptions: u32,
    /// How often a stream of it was resumed.
    pub resumes: u32,
    /// Where it stands.
    pub state: GenerationState,
}

/// Where a generation stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum GenerationState {
    /// Waits or runs.
    Running,
    /// Produced its last token.
    Finished,
    /// Was cancelled by `DELETE`.
    Cancelled,
    /// Was given up because no stream read it for long.
    Orphaned,
}

/// One order.
#[derive(Clone, Debug, Serialize)]
pub struct OrderRecord {
    /// The `order_id`.
    pub order_id: String,
    /// The order's name.
    pub order: String,
    /// The model's or adapter's name.
    pub name: Option<String>,
    /// The version.
    pub version: Option<String>,
    /// The role.
    pub role: Option<String>,
    /// The fencing number.
    pub fencing_number: u64,
    /// When the order arrived.
    pub arrived_unix_ms: u64,
    /// Whether it was carried out.
    pub accepted: bool,
}
