//! A small random number generator for spreading requests.

/// Xorshift generator; its quality suffices for choosing among equals.
#[derive(Clone, Debug)]
pub struct XorshiftRng(u64);

impl XorshiftRng {
    /// A generator with a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed | 1)
    }

    /// A number below `bound`; 0 when the bound is 0.
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
