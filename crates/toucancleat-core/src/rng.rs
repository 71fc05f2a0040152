//! A seeded pseudorandom number generator that is part of a reducer's state, and stable
//! hashes.

/// A SplitMix64 generator.
///
/// It yields the same sequence for the same seed, so that executions of a reducer are
/// reproducible. It serves choices such as which host to probe next and is not suitable for
/// secrets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rng {
    state: u64,
}

impl Rng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Rng { state: seed }
    }

    /// Returns 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.state)
    }

    /// Returns a random number below `bound`, or zero if `bound` is zero.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        // N.B. the modulo bias is below 2^-50 for the bounds in use.
        (self.next_u64() % bound as u64) as usize
    }

    /// Shuffles the items in place.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            items.swap(i, self.below(i + 1));
        }
    }
}

/// Offset basis of the 64-bit FNV-1a hash.
pub(crate) const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
pub(crate) const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Mixes the bits of a number, so that each input bit affects all 64 output bits.
pub(crate) fn mix64(value: u64) -> u64 {
    let mut z = value;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns a hash of the bytes that is the same on every host and in every release.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hash = FNV_OFFSET;
    for &byte in bytes {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    mix64(hash)
}
