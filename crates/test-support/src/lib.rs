//! Seeds and random numbers of the tests with random runs.
//!
//! Runs have fixed seeds, which are printed. `JAYSADDLE_SEED` and `JAYSADDLE_RUNS` override the first seed and the
//! number of runs.

use std::ops::Range;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

/// Number in an environment variable, or `default` when it is absent or invalid.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Seeds of `runs` runs from `first` on, unless the environment sets others.
pub fn seeds(first: u64, runs: u64) -> Range<u64> {
    let first = env_number("JAYSADDLE_SEED", first);
    first..first + env_number("JAYSADDLE_RUNS", runs)
}

/// Checks a property with `runs` random inputs of up to `size`, unless the environment sets other numbers. `divisor`
/// reduces the runs of slow properties.
pub fn check_property<P: Testable>(name: &str, size: usize, runs: u64, divisor: u64, property: P) {
    const SEED: u64 = 20_261_203;
    let seed = env_number("JAYSADDLE_SEED", SEED);
    let runs = (env_number("JAYSADDLE_RUNS", runs) / divisor).max(1);
    println!("{name}: seed {seed}, {runs} runs");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, seed))
        .tests(runs)
        // The default maximum would end longer runs after 10,000 tests.
        .max_tests(runs)
        .quickcheck(property);
}

/// Xorshift generator for the decisions of a simulation.
#[derive(Clone, Debug)]
pub struct TestRandom(u64);

impl TestRandom {
    /// Creates a generator. Consecutive seeds give unrelated sequences.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number in `0..bound`; `bound` must be above zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}
