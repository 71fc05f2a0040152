//! Batching model of the stand-in engine, without I/O and clock.

mod blocks;
mod config;
mod sequence;

use std::collections::{BTreeSet, HashMap};

use self::blocks::BlockPool;
pub use self::blocks::{BlockHash, CacheChange};
pub use self::config::ModelConfig;
use self::sequence::{Rank, Sequence};
pub use self::sequence::{SequenceId, SequenceRequest};

/// Model of an engine with continuous batching and a paged KV cache.
///
/// Each [`step`](EngineModel::step) computes one token of each decoding sequence and, in
/// the same batch, chunks of prompts. See docs/STANDINS.md for the published behaviour
/// that each rule models.
#[derive(Debug)]
pub struct EngineModel {
    config: ModelConfig,
    pool: BlockPool,
    sequences: HashMap<SequenceId, Sequence>,
    running: BTreeSet<Rank>,
    waiting: BTreeSet<Rank>,
    last_id: u64,
    preemptions_total: u64,
    last_step_ms: f64,
}

/// Result of one step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Duration of the step in engine time.
    pub duration_ms: f64,
    /// Sequences that entered the batch for the first time.
    pub started: Vec<Started>,
    /// Sequences that lost their KV cache and returned to the queue.
    pub preempted: Vec<SequenceId>,
    /// Sequences that produced one token at the end of the step.
    pub produced: Vec<SequenceId>,
    /// Sequences among `produced` whose last token it was.
    pub finished: Vec<SequenceId>,
}

/// A sequence that entered the batch for the first time.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    /// Id of the sequence.
    pub id: SequenceId,
    /// Number of prompt tokens that the prefix cache held.
    pub cached_tokens: u32,
}

/// Current load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelLoad {
    /// Number of sequences in the batch.
    pub running: u32,
    /// Number of sequences in the queue.
    pub waiting: u32,
    /// Number of blocks that the batch holds; cached blocks without users don't count.
    pub blocks_used: u32,
    /// Number of preemptions since the start.
    pub preemptions_total: u64,
    /// Duration of the last step in engine time.
    pub step_ms: f64,
}

impl EngineModel {
    /// Creates an idle engine.
    pub fn new(config: ModelConfig) -> EngineModel {
        EngineModel {
            pool: BlockPool::new(config.blocks_total),
            config,
            sequences: HashMap::new(),
            running: BTreeSet::new(),
            waiting: BTreeSet::new(),
            last_id: 0,
            preemptions_total: 0,
            last_step_ms: 0.0,
        }
    }

    /// Queues a sequence. Returns `None` if it could never fit into the KV cache or has
    /// no output.
    pub fn add(&mut self, request: SequenceRequest) -> Option<SequenceId> {
        let longest = request.prompt_tokens.saturating_add(request.output_tokens);
        if longest > self.config.capacity_tokens() || request.output_tokens == 0 {
            return None;
        }
        self.last_id += 1;
        let id = SequenceId(self.last_id);
        let sequence = Sequence::new(id, request);
        self.waiting.insert(sequence.rank);
        self.sequences.insert(id, sequence);
        Some(id)
    }

    /// Removes a sequence, if it is still queued or running, and releases its blocks.
    pub fn cancel(&mut self, id: SequenceId) {
        if let Some(sequence) = self.sequences.remove(&id) {
            self.running.remove(&sequence.rank);
            self.waiting.remove(&sequence.rank);
            self.pool
                .release(&sequence.shared_blocks, sequence.private_blocks);
        }
    }

    /// Computes one step. Returns `None` if there is nothing to compute.
    pub fn step(&mut self) -> Option<Step> {
        let mut step = Step::default();
        self.reserve(&mut step);
        if step.preempted.is_empty() {
            self.admit(&mut step);
        }
        let chunks = self.plan_chunks();
        if chunks.is_empty() {
            return None;
        }
        step.duration_ms = self.duration_ms(&chunks);
        self.last_step_ms = step.duration_ms;
        for chunk in chunks {
            self.compute(chunk, &mut step);
        }
        Some(step)
    }

    /// Returns the current load.
    pub fn load(&self) -> ModelLoad {
        ModelLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            blocks_used: self.pool.used(),
            preemptions_total: self.preemptions_total,
            step_ms: self.last_step_ms,
        }
    }

    /// Returns the changes of the prefix cache since the last call.
    pub fn take_cache_changes(&mut self) -> Vec<CacheChange> {
        self.pool.take_changes()
    }

    /// Returns true if each block is accounted for exactly once; for tests.
    pub fn is_consistent(&self) -> bool {
        let held: u32 = self.sequences.values().map(|s| s.private_blocks).sum();
        self.pool.is_consistent() && held <= self.pool.used()
    }

    /// Reserves the block for the next token of each running sequence, preempting the
    /// lowest-ranked ones if there are too few.
    fn reserve(&mut self, step: &mut Step) {
        let ranks: Vec<Rank> = self.running.iter().copied().collect();
        for rank in ranks {
            while self.running.contains(&rank) && !self.try_reserve(rank.id) {
                self.preempt_last(step);
            }
        }
    }

    /// Reserves the blocks for the next token of a sequence; returns false if there are
    /// too few.
    fn try_reserve(&mut self, id: SequenceId) -> bool {
        let Some(sequence) = self.sequences.get_mut(&id) else {
            return true;
        };
        let needed = sequence.context_tokens().div_ceil(self.config.block_tokens);
        let missing = needed.saturating_sub(sequence.held_blocks());
        let is_reserved = self.pool.allocate(missing);
        if is_reserved {
            sequence.private_blocks += missing;
        }
        is_reserved
    }

    /// Returns the lowest-ranked running sequence to the queue and releases its blocks.
    fn preempt_last(&mut self, step: &mut Step) {
        let Some(rank) = self.running.pop_last() else {
            return;
        };
        if let Some(sequence) = self.sequences.get_mut(&rank.id) {
            let shared = std::mem::take(&mut sequence.shared_blocks);
            let private_blocks = std::mem::take(&mut sequence.private_blocks);
            sequence.computed_tokens = 0;
            self.pool.release(&shared, private_blocks);
        }
        self.waiting.insert(rank);
        self.preemptions_total += 1;
        step.preempted.push(rank.id);
    }

    /// Moves sequences from the queue into the batch while limits and blocks allow it.
    fn admit(&mut self, step: &mut Step) {
        let mut prefill_tokens: u32 = self.prefilling_tokens();
        while self.running.len() < self.config.max_batch as usize
            && prefill_tokens < self.config.prefill_chunk_tokens
            && let Some(rank) = self.waiting.first().copied()
            && let Some(cached_tokens) = self.allocate_context(rank.id)
        {
            self.waiting.remove(&rank);
            self.running.insert(rank);
            let Some(sequence) = self.sequences.get_mut(&rank.id) else {
                continue;
            };
            prefill_tokens += sequence.pending_tokens();
            if !sequence.has_started {
                sequence.has_started = true;
                step.started.push(Started {
                    id: rank.id,
                    cached_tokens,
                });
            }
        }
    }

    /// Returns the number of pending tokens of the running sequences in prefill.
    fn prefilling_tokens(&self) -> u32 {
        let running = self
            .running
            .iter()
            .filter_map(|r| self.sequences.get(&r.id));
        running
            .map(Sequence::pending_tokens)
            .filter(|pending| *pending > 1)
            .sum()
    }

    /// Allocates the blocks of the whole context of a queued sequence, reusing cached
    /// ones, and returns the number of cached tokens. Returns `None` if there are too few
    /// blocks.
    fn allocate_context(&mut self, id: SequenceId) -> Option<u32> {
        let block_tokens = self.config.block_tokens;
        let sequence = self.sequences.get_mut(&id)?;
        let reusable = sequence.reusable_blocks(block_tokens);
        let cached = self.pool.cached_prefix(reusable);
        let reused = reusable[..cached].to_vec();
        let needed = sequence.context_tokens().div_ceil(block_tokens) - cached as u32;
        let spare = match self.running.is_empty() {
            true => 0,
            false => self.config.spare_blocks,
        };
        let available = self.pool.available() - self.pool.unused_among(&reused);
        if needed + spare > available {
            return None;
        }
        self.pool.share(&reused);
        let allocated = self.pool.allocate(needed);
        debug_assert!(allocated, "available blocks must be allocatable");
        sequence.private_blocks = needed;
        sequence.shared_blocks = reused;
        sequence.computed_tokens = cached as u32 * block_tokens;
        Some(sequence.computed_tokens)
    }

    /// Plans the tokens that each running sequence computes in this step.
    fn plan_chunks(&self) -> Vec<Chunk> {
        let mut budget_tokens = self.config.prefill_chunk_tokens;
        let running = self
            .running
            .iter()
            .filter_map(|r| self.sequences.get(&r.id));
        let mut chunks = Vec::with_capacity(self.running.len());
        for sequence in running {
            let pending = sequence.pending_tokens();
            let tokens = if pending > 1 {
                pending.min(budget_tokens)
            } else {
                pending
            };
            if pending > 1 {
                budget_tokens -= tokens;
            }
            if tokens > 0 {
                chunks.push(Chunk {
                    id: sequence.rank.id,
                    tokens,
                    context_tokens: sequence.computed_tokens + tokens,
                });
            }
        }
        chunks
    }

    fn duration_ms(&self, chunks: &[Chunk]) -> f64 {
        let prefill: u32 = chunks.iter().map(|c| c.tokens).filter(|t| *t > 1).sum();
        let context: u32 = chunks.iter().map(|c| c.context_tokens).sum();
        self.config.step_base_ms
            + self.config.step_per_sequence_ms * chunks.len() as f64
            + self.config.step_per_prefill_token_ms * f64::from(prefill)
            + self.config.step_per_1000_context_tokens_ms * f64::from(context) / 1_000.0
    }

    fn compute(&mut self, chunk: Chunk, step: &mut Step) {
        let Some(sequence) = self.sequences.get_mut(&chunk.id) else {
            return;
        };
        sequence.computed_tokens += chunk.tokens;
        share_computed_blocks(&mut self.pool, sequence, self.config.block_tokens);
        if sequence.pending_tokens() > 0 {
            return;
        }
        sequence.produced_tokens += 1;
        step.produced.push(chunk.id);
        if sequence.is_finished() {
            step.finished.push(chunk.id);
            self.cancel(chunk.id);
        }
    }
}

/// Tokens of one sequence that one step computes.
#[derive(Clone, Copy, Debug)]
struct Chunk {
    id: SequenceId,
    tokens: u32,
    context_tokens: u32,
}

/// Shares the prompt blocks that are completely computed.
fn share_computed_blocks(
    pool: &mut BlockPool,
    sequence: &mut Sequence,
    block_tokens: u32,
) {
    let full = (sequence.computed_tokens / block_tokens) as usize;
    let first = sequence.shared_blocks.len();
    let last = full.min(sequence.request.prompt_blocks.len());
    for index in first..last {
        let hash = sequence.request.prompt_blocks[index];
        // If another sequence has shared the same block meanwhile, this block and all
        // later ones stay private, so that the shared blocks remain a prefix.
        if !pool.publish(hash) {
            return;
        }
        sequence.private_blocks -= 1;
        sequence.shared_blocks.push(hash);
    }
}
