//! Random numbers for breaking ties between targets and for jitter.

/// Xorshift pseudorandom number generator. Not cryptographically secure.
#[derive(Clone, Debug)]
pub struct XorshiftRng(u64);

impl XorshiftRng {
    /// Creates a generator from `seed`. The lowest bit of the state is set, because xorshift never leaves state 0.
    pub fn new(seed: u64) -> Self {
        Self(seed | 1)
    }

    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Returns a number in `0..bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        let number = self.next();
        if bound == 0 {
            return 0;
        }
        usize::try_from(number % bound as u64).unwrap_or(0)
    }

    /// Returns a number from 0 to below 1.
    pub fn fraction(&mut self) -> f64 {
        // The upper 53 bits, which is the precision of the type.
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}
