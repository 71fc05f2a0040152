//! Sequences in an engine's batch or queue.

use std::cmp::Reverse;

use super::blocks::BlockHash;

/// Id of a sequence of one engine; later sequences have higher ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceId(pub u64);

/// Request to compute a sequence.
#[derive(Clone, Debug)]
pub struct SequenceRequest {
    /// Priority from 0, which is preempted first, to 9.
    pub priority: u8,
    /// Hashes of the full blocks of the prompt.
    pub prompt_blocks: Vec<BlockHash>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of output tokens after which the sequence finishes.
    pub output_tokens: u32,
}

/// Position in the order of sequences: the first is admitted first and preempted last.
///
/// It is fixed for the lifetime of a sequence, so the first sequence always makes
/// progress and preemptions can't keep all sequences from finishing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    priority: Reverse<u8>,
    pub(super) id: SequenceId,
}

/// A sequence with its progress and blocks.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) rank: Rank,
    pub(super) request: SequenceRequest,
    pub(super) produced_tokens: u32,
    /// Number of prompt and output tokens whose KV cache entries are computed.
    pub(super) computed_tokens: u32,
    pub(super) shared_blocks: Vec<BlockHash>,
    pub(super) private_blocks: u32,
    pub(super) has_started: bool,
}

impl Sequence {
    pub(super) fn new(id: SequenceId, request: SequenceRequest) -> Sequence {
        Sequence {
            rank: Rank {
                priority: Reverse(request.priority),
                id,
            },
            request,
            produced_tokens: 0,
            computed_tokens: 0,
            shared_blocks: Vec::new(),
            private_blocks: 0,
            has_started: false,
        }
    }

    /// Returns the number of tokens that must be computed before the next is produced.
    pub(super) fn context_tokens(&self) -> u32 {
        self.request.prompt_tokens + self.produced_tokens
    }

    /// Returns the number of tokens still to be computed before the next is produced; one
    /// when decoding.
    pub(super) fn pending_tokens(&self) -> u32 {
        self.context_tokens() - self.computed_tokens
    }

    /// Returns the number of blocks that it holds.
    pub(super) fn held_blocks(&self) -> u32 {
        self.shared_blocks.len() as u32 + self.private_blocks
    }

    /// Returns the blocks that may be reused from the cache. They never cover the whole
    /// context, because producing a token requires computing the one before it.
    pub(super) fn reusable_blocks(&self, block_tokens: u32) -> &[BlockHash] {
        let max_blocks = ((self.context_tokens() - 1) / block_tokens) as usize;
        let blocks = &self.request.prompt_blocks;
        &blocks[..blocks.len().min(max_blocks)]
    }

    /// Returns true if all output tokens are produced.
    pub(super) fn is_finished(&self) -> bool {
        self.produced_tokens >= self.request.output_tokens
    }
}
