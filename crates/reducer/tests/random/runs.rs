//! Runs the simulation with consecutive seeds on several threads.

use jaysaddle_test_support::env_number;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::faults::RunPlan;
use crate::simulation::RunSummary;
use crate::simulation::Simulation;

/// Default seed of the first run; each further run increments it.
const FIRST_SEED: u64 = 20_261_203;

/// Default number of runs.
const RUNS: u64 = 1_000;

/// Guards against combinations of faults that violate an invariant or prevent the cluster from
/// recovering after the last fault.
#[test]
fn invariants_hold_under_faults() {
    let first = env_number("JAYSADDLE_SEED", FIRST_SEED);
    let runs = env_number("JAYSADDLE_RUNS", RUNS);
    println!("seeds {first} to {}", first + runs - 1);
    let threads = u64::try_from(std::thread::available_parallelism().map_or(4, usize::from))
        .unwrap_or(4)
        .min(runs);
    let workers: Vec<_> = (0..threads)
        .map(|offset| {
            std::thread::spawn(move || {
                let mut total = RunSummary::default();
                for seed in
                    (first + offset..first + runs).step_by(usize::try_from(threads).expect("small"))
                {
                    let plan = RunPlan::arbitrary(&mut Gen::from_size_and_seed(64, seed));
                    let outcome = std::panic::catch_unwind(|| Simulation::new(plan).run());
                    let summary =
                        outcome.unwrap_or_else(|_| panic!("the run with seed {seed} failed"));
                    total.answered += summary.answered;
                    total.may_have_run += summary.may_have_run;
                    total.not_run += summary.not_run;
                    total.no_response += summary.no_response;
                }
                total
            })
        })
        .collect();
    let mut total = RunSummary::default();
    for worker in workers {
        let part = worker.join().expect("no run fails");
        total.answered += part.answered;
        total.may_have_run += part.may_have_run;
        total.not_run += part.not_run;
        total.no_response += part.no_response;
    }
    println!("{total:?}");
    assert!(total.answered > 0, "no call was answered");
}
