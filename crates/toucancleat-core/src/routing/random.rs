//! Seeded random choices, so that a run can be repeated.

/// The SplitMix64 generator of Steele, Lea and Flood (OOPSLA 2014).
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Makes a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Random { state: seed }
    }

    /// Returns the next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.state)
    }

    /// Returns a number below `bound`; 0 when `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        ((u128::from(self.next_u64()) * bound as u128) >> 64) as usize
    }

    /// Returns a number from 0 up to, but without, 1.
    pub fn unit(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Spreads the bits of a number over the whole word.
pub fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
