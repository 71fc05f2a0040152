//! Records of what reached an engine, against which tests check replies.

use serde::Serialize;

/// Records of what reached an engine since its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineRecords {
    /// Generations in the order of their arrival.
    pub generations: Vec<GenerationRecord>,
    /// Orders in the order of their arrival.
    pub orders: Vec<OrderRecord>,
    /// Number of times that a running sequence was preempted and lost its KV cache.
    pub preemptions_total: u64,
    /// Number of requests refused as not run.
    pub refused: u64,
    /// Number of requests refused because their id was that of an earlier generation.
    pub duplicate_generations: u64,
    /// Time at which the engine began to leave.
    pub leaving_unix_ms: Option<u64>,
}

/// Record of one generation.
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
    /// Time at which the request arrived.
    pub arrived_unix_ms: u64,
    /// Time from the beginning of the engine's leaving to the arrival; `None` if it
    /// wasn't leaving.
    pub arrived_after_leaving_ms: Option<u64>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that the prefix cache held.
    pub cached_tokens: u32,
    /// Number of tokens after which the generation finishes.
    pub output_tokens: u32,
    /// Number of tokens produced so far.
    pub produced_tokens: u32,
    /// Number of times that the generation lost its KV cache and was recomputed.
    pub preemptions: u32,
    /// Number of times that a stream of it was resumed.
    pub resumes: u32,
    /// State of the generation.
    pub state: GenerationState,
}

/// State of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum GenerationState {
    /// It is queued or running.
    Running,
    /// It produced its last token.
    Finished,
    /// It was cancelled by `DELETE`.
    Cancelled,
    /// It was ended because no stream read it for the orphan timeout.
    Orphaned,
}

/// Record of one order.
#[derive(Clone, Debug, Serialize)]
pub struct OrderRecord {
    /// The `order_id`.
    pub order_id: String,
    /// The kind of order.
    pub order: String,
    /// The model's or adapter's name.
    pub name: Option<String>,
    /// The version.
    pub version: Option<String>,
    /// The role.
    pub role: Option<String>,
    /// The fencing number.
    pub fencing_number: u64,
    /// Time at which the order arrived.
    pub arrived_unix_ms: u64,
    /// Whether it was executed.
    pub accepted: bool,
}
