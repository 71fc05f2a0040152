//! The cache memory of an engine, in blocks with prefix reuse.

use std::collections::{BTreeMap, HashMap};

use sha2::{Digest, Sha256};

/// The hash of a prompt up to the end of one block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockHash(u128);

impl BlockHash {
    /// Returns the hash of each full block of a prompt, chained so that equal hashes mean
    /// equal prompts up to there.
    pub fn chain(prompt: &[u8], block_bytes: usize) -> Vec<BlockHash> {
        let mut hashes = Vec::with_capacity(prompt.len() / block_bytes);
        let mut previous = 0;
        for block in prompt.chunks_exact(block_bytes) {
            previous = chained(previous, block);
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

fn chained(previous: u128, block: &[u8]) -> u128 {
    let digest = Sha256::new()
        .chain_update(previous.to_be_bytes())
        .chain_update(block)
        .finalize();
    let mut head = [0; 16];
    head.copy_from_slice(&digest[..16]);
    u128::from_be_bytes(head)
}

/// A change of what the prefix cache holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// A prompt's block can be reused.
    Stored(BlockHash),
    /// A prompt's block gave way to another use.
    Evicted(BlockHash),
}

/// All blocks of an engine.
///
/// A block is free, private to one sequence, or shared under the hash of the prompt up to
/// its end. A shared block that no sequence uses stays until its memory is needed; the
/// one unused for longest goes first.
#[derive(Debug)]
pub(super) struct BlockPool {
    total_blocks: u32,
    free_blocks: u32,
    private_blocks: u32,
    shared: HashMap<BlockHash, Shared>,
    unused: BTreeMap<u64, BlockHash>,
    last_stamp: u64,
    changes: Vec<CacheChange>,
}

#[derive(Debug)]
struct Shared {
    users: u32,
    /// The key in `unused` while there are no users.
    stamp: u64,
}

impl BlockPool {
    /// Makes a pool of free blocks.
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

    /// Returns the blocks that sequences hold; cached ones without a user don't count.
    pub(super) fn used(&self) -> u32 {
        self.total_blocks - self.available()
    }

    /// Returns the blocks that could be allocated now.
    pub(super) fn available(&self) -> u32 {
        self.free_blocks + self.unused.len() as u32
    }

    /// Says whether each block is accounted for once.
    pub(super) fn is_consistent(&self) -> bool {
        let accounted = self.free_blocks + self.private_blocks + self.shared.len() as u32;
        let unused = self.shared.values().filter(|shared| shared.users == 0);
        accounted == self.total_blocks && unused.count() == self.unused.len()
    }

    /// Returns how many of the first blocks are cached.
    pub(super) fn cached_prefix(&self, hashes: &[BlockHash]) -> usize {
        let cached = hashes
            .iter()
            .take_while(|hash| self.shared.contains_key(hash));
        cached.count()
    }

    /// Returns how many of the blocks are cached and unused, and so would no longer be
    /// available after [`share`](BlockPool::share).
    pub(super) fn unused_among(&self, hashes: &[BlockHash]) -> u32 {
        let unused = hashes.iter().filter(|hash| {
            self.shared
                .get(hash)
                .is_some_and(|shared| shared.users == 0)
        });
        unused.count() as u32
    }

    /// Adds a user to cached blocks.
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

    /// Takes blocks for one sequence; takes all or none.
    pub(super) fn allocate(&mut self, blocks: u32) -> bool {
        if blocks > self.available() {
            return false;
        }
        while self.free_blocks < blocks {
            self.evict_oldest();
        }
        self.free_blocks -= blocks;
        self.private_blocks += blocks;
        true
    }

    /// Shares a private block whose prompt part has been computed; says whether the block
    /// is now shared, which it isn't when another sequence was first.
    pub(super) fn publish(&mut self, hash: BlockHash) -> bool {
        if self.shared.contains_key(&hash) {
            return false;
        }
        self.private_blocks -= 1;
        self.shared.insert(hash, Shared { users: 1, stamp: 0 });
        self.changes.push(CacheChange::Stored(hash));
        true
    }

    /// Gives the blocks of a sequence back.
    pub(super) fn release(&mut self, shared: &[BlockHash], private_blocks: u32) {
        self.private_blocks -= private_blocks;
        self.free_blocks += private_blocks;
        // The end of a prompt is of use to fewer sequences than its start, so it goes first.
        for hash in shared.iter().rev() {
            self.unshare(*hash);
        }
    }

    /// Returns the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    fn unshare(&mut self, hash: BlockHash) {
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

    fn evict_oldest(&mut self) {
        if let Some((_, hash)) = self.unused.pop_first() {
            self.shared.remove(&hash);
            self.free_blocks += 1;
            self.changes.push(CacheChange::Evicted(hash));
        }
    }
}
