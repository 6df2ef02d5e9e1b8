//! Deterministic random numbers, so that a run is reproducible from its seed.

/// SplitMix64, a small generator of sufficient quality to spread probes.
#[derive(Clone, Debug)]
pub(crate) struct SeededRandom(u64);

impl SeededRandom {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        crate::digest::mix(self.0)
    }

    /// Returns a number below `bound`; 0 if `bound` is 0.
    pub(crate) fn next_below(&mut self, bound: usize) -> usize {
        // The modulo bias is below 2^-50 for the sizes used here.
        self.next_u64().checked_rem(bound as u64).unwrap_or(0) as usize
    }

    /// Shuffles in place; all orders are equally likely.
    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        for end in (1..items.len()).rev() {
            let other = self.next_below(end + 1);
            items.swap(end, other);
        }
    }
}
