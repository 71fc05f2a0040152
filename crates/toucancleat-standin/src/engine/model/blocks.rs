//! KV cache of an engine, in blocks with prefix reuse.

use std::collections::{BTreeMap, HashMap};

use sha2::{Digest, Sha256};

/// Hash of a prompt up to the end of one block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockHash(u128);

impl BlockHash {
    /// Returns the hash of each full block of a prompt. Each hash covers all blocks
    /// before it, so that equal hashes mean equal prompts up to the end of the block.
    pub fn chain(prompt: &[u8], block_bytes: usize) -> Vec<BlockHash> {
        let mut hashes = Vec::with_capacity(prompt.len() / block_bytes);
        let mut previous = 0;
        for block in prompt.chunks_exact(block_bytes) {
            previous = chain_hash(previous, block);
            hashes.push(BlockHash(previous));
        }
        hashes
    }
}

impl std::fmt::Display for BlockHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

fn chain_hash(previous: u128, block: &[u8]) -> u128 {
    let digest = Sha256::new()
        .chain_update(previous.to_be_bytes())
        .chain_update(block)
        .finalize();
    let mut head = [0; 16];
    head.copy_from_slice(&digest[..16]);
    u128::from_be_bytes(head)
}

/// A change of the contents of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// A block of a prompt was added and can be reused.
    Stored(BlockHash),
    /// A block of a prompt was evicted to free its memory.
    Evicted(BlockHash),
}

/// Allocator of an engine's blocks.
///
/// A block is free, private to one sequence, or shared under the hash of the prompt up to
/// its end. A shared block that no sequence uses stays cached until its memory is needed;
/// the least recently used one is evicted first.
#[derive(Debug)]
pub(super) struct BlockPool {
    total_blocks: u32,
    free_blocks: u32,
    private_blocks: u32,
    shared: HashMap<BlockHash, Shared>,
    /// Shared blocks without users, by release stamp: the least recently used is first.
    unused: BTreeMap<u64, BlockHash>,
    last_stamp: u64,
    changes: Vec<CacheChange>,
}

#[derive(Debug)]
struct Shared {
    users: u32,
    /// Key in `unused` while there are no users.
    stamp: u64,
}

impl BlockPool {
    /// Creates a pool of free blocks.
    pub(super) fn new(total_blocks: u32) -> BlockPool {
        BlockPool {
            total_blocks,
            free_blocks: total_blocks,
            private_blocks: 0,
            shared: HashMap::new(),
            unused: BTreeMap::new(),
            last_stamp: 0,
            changes: Vec::new(),
        }
    }

    /// Returns the number of blocks that sequences hold. Cached blocks without users
    /// don't count.
    pub(super) fn used(&self) -> u32 {
        self.total_blocks - self.available()
    }

    /// Returns the number of blocks that can be allocated now.
    pub(super) fn available(&self) -> u32 {
        self.free_blocks + self.unused.len() as u32
    }

    /// Returns true if each block is accounted for exactly once.
    pub(super) fn is_consistent(&self) -> bool {
        let accounted = self.free_blocks + self.private_blocks + self.shared.len() as u32;
        let unused = self.shared.values().filter(|shared| shared.users == 0);
        accounted == self.total_blocks && unused.count() == self.unused.len()
    }

    /// Returns the length of the longest prefix of the blocks that is cached.
    pub(super) fn cached_prefix(&self, hashes: &[BlockHash]) -> usize {
        let cached = hashes
            .iter()
            .take_while(|hash| self.shared.contains_key(hash));
        cached.count()
    }

    /// Returns the number of the blocks that are cached and unused, and so are no longer
    /// available after [`share`](BlockPool::share).
    pub(super) fn unused_among(&self, hashes: &[BlockHash]) -> u32 {
        let unused = hashes.iter().filter(|hash| {
            self.shared
                .get(hash)
                .is_some_and(|shared| shared.users == 0)
        });
        unused.count() as u32
    }

    /// Adds a user to each of the cached blocks.
    pub(super) fn share(&mut self, hashes: &[BlockHash]) {
        for hash in hashes {
            if let Some(shared) = self.shared.get_mut(hash) {
                if shared.users == 0 {
                    self.unused.remove(&shared.stamp);
                }
                shared.users += 1;
            }
        }
    }

    /// Allocates private blocks for one sequence: all of them, or none and returns false.
    pub(super) fn allocate(&mut self, blocks: u32) -> bool {
        if blocks > self.available() {
            return false;
        }
        while self.free_blocks < blocks {
            self.evict_least_recent();
        }
        self.free_blocks -= blocks;
        self.private_blocks += blocks;
        true
    }

    /// Shares a private block whose part of the prompt has been computed. Returns false,
    /// and leaves the block private, if another sequence has already shared the same
    /// block.
    pub(super) fn publish(&mut self, hash: BlockHash) -> bool {
        if self.shared.contains_key(&hash) {
            return false;
        }
        self.private_blocks -= 1;
        self.shared.insert(hash, Shared { users: 1, stamp: 0 });
        self.changes.push(CacheChange::Stored(hash));
        true
    }

    /// Releases the blocks of a sequence.
    pub(super) fn release(&mut self, shared: &[BlockHash], private_blocks: u32) {
        self.private_blocks -= private_blocks;
        self.free_blocks += private_blocks;
        // Fewer sequences can reuse the end of a prompt than its start, so the end gets
        // the earlier stamp and is evicted first.
        for hash in shared.iter().rev() {
            self.release_shared(*hash);
        }
    }

    /// Returns the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    fn release_shared(&mut self, hash: BlockHash) {
        let Some(shared) = self.shared.get_mut(&hash) else {
            return;
        };
        shared.users -= 1;
        if shared.users == 0 {
            self.last_stamp += 1;
            shared.stamp = self.last_stamp;
            self.unused.insert(self.last_stamp, hash);
        }
    }

    fn evict_least_recent(&mut self) {
        if let Some((_, hash)) = self.unused.pop_first() {
            self.shared.remove(&hash);
            self.free_blocks += 1;
            self.changes.push(CacheChange::Evicted(hash));
        }
    }
}
