//! Size and speed of a modelled engine.

/// Size and speed of an engine; docs/STANDINS.md gives the sources of the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelConfig {
    /// Number of tokens in one block of the KV cache.
    pub block_tokens: u32,
    /// Number of blocks of the KV cache.
    pub blocks_total: u32,
    /// Number of blocks that admission leaves free, so that running sequences can grow
    /// before one has to be preempted.
    pub spare_blocks: u32,
    /// Maximum number of sequences in the batch.
    pub max_batch: u32,
    /// Maximum number of prompt tokens that one step computes.
    pub prefill_chunk_tokens: u32,
    /// Fixed part of the duration of a step.
    pub step_base_ms: f64,
    /// Duration that each sequence adds to a step.
    pub step_per_sequence_ms: f64,
    /// Duration that each prompt token adds to a step.
    pub step_per_prefill_token_ms: f64,
    /// Duration that reading a thousand tokens of the KV cache adds to a step.
    pub step_per_1000_context_tokens_ms: f64,
}

impl ModelConfig {
    /// Returns the number of tokens that the KV cache can hold.
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
