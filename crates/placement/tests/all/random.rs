//! Seeded random numbers and random runs of a property.

use jaysaddle_test_support::env_number;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

/// Deterministic random number generator (splitmix64), so that a printed seed reproduces a run.
#[derive(Clone, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number below `bound`, or 0 when the bound is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.next() % bound }
    }

    /// Returns a number from `low` to `high`, inclusive.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low + 1)
    }

    /// Returns true with a probability of `percent` in 100.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// Seed of one run. It is not shrunk, because runs of similar seeds are unrelated.
#[derive(Clone, Debug)]
struct RunSeed(u64);

impl Arbitrary for RunSeed {
    fn arbitrary(source: &mut Gen) -> Self {
        Self(u64::arbitrary(source))
    }
}

/// Checks `property` for many seeds and panics with its message if it does not hold.
///
/// `JAYSADDLE_RUNS` sets the number of runs. `JAYSADDLE_SEED` is the seed that the seeds of the
/// runs are derived from, or the seed of the only run when `JAYSADDLE_RUNS` is 1.
pub fn check_runs(name: &str, runs: u64, property: fn(u64) -> Result<(), String>) {
    let seed = env_number("JAYSADDLE_SEED", 20_261_203);
    let runs = env_number("JAYSADDLE_RUNS", runs);
    println!("{name}: JAYSADDLE_SEED={seed} JAYSADDLE_RUNS={runs}");
    let run = move |seed: u64| match property(seed) {
        Ok(()) => TestResult::passed(),
        Err(message) => TestResult::error(format!(
            "{message}\nto reproduce: JAYSADDLE_RUNS=1 JAYSADDLE_SEED={seed}"
        )),
    };
    if runs == 1 {
        assert!(!run(seed).is_failure(), "{name}: {:?}", property(seed));
        return;
    }
    let source = Gen::from_size_and_seed(64, seed);
    let mut checks = QuickCheck::new().rng(source).tests(runs).max_tests(runs);
    checks.quickcheck(SeededProperty(run));
}

struct SeededProperty<F>(F);

impl<F: Fn(u64) -> TestResult + 'static> quickcheck::Testable for SeededProperty<F> {
    fn result(&self, source: &mut Gen) -> TestResult {
        let RunSeed(seed) = RunSeed::arbitrary(source);
        (self.0)(seed)
    }
}
