//! Seeded pseudorandom number generator; the seed makes decisions reproducible.

/// SplitMix64: one addition and a mixing step per number; every seed is suitable.
#[derive(Clone, Debug)]
pub(crate) struct SeededRandom {
    state: u64,
}

impl SeededRandom {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    pub(crate) fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let value = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub(crate) fn next_below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        (self.next_u64() % bound as u64) as usize
    }
}
