//! Random numbers for breaking ties between targets and for jitter.

/// Xorshift pseudorandom number generator. Not cryptographically secure.
#[derive(Clone, Debug)]
pub struct XorshiftRng(u64);

impl XorshiftRng {
    /// Creates a generator from `seed`. The lowest bit of the state is set, because xorshift never leaves state 0.
    pub fn new(seed: u64) -> Self {
        Self(seed | 1)
    }

    /// Returns a number in `0..bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        if bound == 0 {
            return 0;
        }
        usize::try_from(self.0 % bound as u64).unwrap_or(0)
    }
}
