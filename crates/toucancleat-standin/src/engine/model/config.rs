//! The numbers of an engine.

/// The size and speed of an engine; docs/STANDINS.md says where the defaults come from.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelConfig {
    /// The tokens that one block of cache memory holds.
    pub block_tokens: u32,
    /// The blocks of cache memory.
    pub blocks_total: u32,
    /// The blocks that an admission leaves free, so that the batch can grow for a while
    /// before it has to preempt.
    pub spare_blocks: u32,
    /// The largest number of sequences in the batch.
    pub max_batch: u32,
    /// The prompt tokens that one step computes at most.
    pub prefill_chunk_tokens: u32,
    /// The time of a step before anything is computed.
    pub step_base_ms: f64,
    /// The time that each sequence adds to a step.
    pub step_per_sequence_ms: f64,
    /// The time that each prompt token adds to a step.
    pub step_per_prefill_token_ms: f64,
    /// The time that reading a thousand tokens of cache memory adds to a step.
    pub step_per_1000_context_tokens_ms: f64,
}

impl ModelConfig {
    /// Returns the tokens for which there is memory.
    pub(super) fn capacity_tokens(&self) -> u32 {
        self.block_tokens * self.blocks_total
    }
}

impl Default for ModelConfig {
    fn default() -> ModelConfig {
        ModelConfig {
            block_tokens: 16,
            blocks_total: 2_048,
            spare_blocks: 20,
            max_batch: 64,
            prefill_chunk_tokens: 512,
            step_base_ms: 12.0,
            step_per_sequence_ms: 0.12,
            step_per_prefill_token_ms: 0.015,
            step_per_1000_context_tokens_ms: 0.1,
        }
    }
}
