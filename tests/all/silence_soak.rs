//! Seeded soak of silences: backend servers, nodes and the store pause beside the events of the soak of planned stops.

use crate::stop_soak::run_seeds;

/// Seed of the run in CI.
const FIRST_SEED: u64 = 20_261_205;
/// Seeds that have failed, each with its cause.
const FAILED_SEEDS: [(u64, &str); 0] = [];

/// Guards against requests that a node ends because of a silence while their backend servers still work on them.
#[test]
fn silences_lose_nothing_under_random_events() {
    run_seeds(FIRST_SEED, &FAILED_SEEDS, true);
}
