//! One sequence in an engine's batch or queue.

use std::cmp::Reverse;

use super::blocks::BlockHash;

/// A sequence of one engine; later ones have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceId(pub u64);

/// A sequence to be computed.
#[derive(Clone, Debug)]
pub struct SequenceRequest {
    /// 0 is preempted first, 9 last.
    pub priority: u8,
    /// The hashes of the prompt's full blocks.
    pub prompt_blocks: Vec<BlockHash>,
    /// The prompt's length.
    pub prompt_tokens: u32,
    /// The length at which the output ends by itself.
    pub output_tokens: u32,
}

/// The order of sequences: the first is admitted first and preempted last.
///
/// It never changes while a sequence lives, so the first sequence of all always goes on,
/// and preemptions can't keep every sequence from its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    priority: Reverse<u8>,
    pub(super) id: SequenceId,
}

/// One sequence.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) rank: Rank,
    pub(super) request: SequenceRequest,
    pub(super) produced_tokens: u32,
    /// The tokens of prompt and output whose cache entries are computed.
    pub(super) computed_tokens: u32,
    pub(super) shared_blocks: Vec<BlockHash>,
    pub(super) private_blocks: u32,
    pub(super) started: bool,
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
            started: false,
        }
    }

    /// Returns the tokens that must be computed before the next one comes out.
    pub(super) fn context_tokens(&self) -> u32 {
        self.request.prompt_tokens + self.produced_tokens
    }

    /// Returns the tokens that the next steps have to compute; one when decoding.
    pub(super) fn pending_tokens(&self) -> u32 {
        self.context_tokens() - self.computed_tokens
    }

    /// Returns the blocks that it holds.
    pub(super) fn held_blocks(&self) -> u32 {
        self.shared_blocks.len() as u32 + self.private_blocks
    }

    /// Returns the cached blocks that it may reuse: never the whole context, because the
    /// last token has to be computed to get the next.
    pub(super) fn reusable_blocks(&self, block_tokens: u32) -> &[BlockHash] {
        let most = ((self.context_tokens() - 1) / block_tokens) as usize;
        let blocks = &self.request.prompt_blocks;
        &blocks[..blocks.len().min(most)]
    }

    /// Says whether all tokens are out.
    pub(super) fn is_finished(&self) -> bool {
        self.produced_tokens >= self.request.output_tokens
    }
}
