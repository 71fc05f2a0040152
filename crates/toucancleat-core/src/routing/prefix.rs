//! Hashes of prompt prefixes, and rendezvous hashing.

use crate::rng::{FNV_OFFSET, FNV_PRIME, mix64, stable_hash};

/// Length of the shortest hashed prefix; each further one is twice as long.
const FIRST_PREFIX_BYTES: usize = 64;

/// Number of prefixes that determine affinity: up to 512 bytes, about 128 tokens.
const AFFINITY_PREFIXES: usize = 4;

/// Returns the hashes of the prompt's prefixes of 64, 128, 256, ... bytes, followed by that
/// of the whole prompt.
///
/// Doubling the length keeps the list short for any prompt. The hash is the same on every host and in
/// every version, since hosts of mixed versions must choose the same targets.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut hash = FNV_OFFSET;
    let mut next = FIRST_PREFIX_BYTES;
    for (index, &byte) in prompt.iter().enumerate() {
        if index == next {
            hashes.push(mix64(hash));
            next *= 2;
        }
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hashes.push(mix64(hash));
    hashes
}

/// Returns the hash that determines affinity: that of the longest prefix by which prompts are
/// grouped at one target.
pub fn affinity_key(prefix_hashes: &[u64]) -> Option<u64> {
    let last = prefix_hashes.len().min(AFFINITY_PREFIXES).checked_sub(1)?;
    prefix_hashes.get(last).copied()
}

/// Returns the rendezvous hashing score of a name for a key; the name with the highest score
/// is chosen.
pub fn rendezvous_score(key: u64, name_hash: u64) -> u64 {
    mix64(mix64(key) ^ name_hash)
}

/// Returns the hash of a name for [`rendezvous_score`].
pub fn name_hash(name: &str) -> u64 {
    stable_hash(name.as_bytes())
}
