//! Measures the router: decision time by fleet size, and the policies on a queueing model.
//!
//! `cargo run --release -p jaysaddle-routing --example measure`; `JAYSADDLE_SEED` changes the seed.

mod decision;
mod engine;
mod fleet;
mod simulation;
mod workload;

use jaysaddle_routing::RoutePolicy;

use crate::simulation::SimulationInput;
use crate::simulation::SimulationReport;
use crate::simulation::simulate;

/// Offered load above the capacity of any policy, in requests per second.
const SATURATION_RATE: f64 = 1_000.0;
/// Simulations that each printed line is the mean of.
const RUNS: u64 = 6;
const POLICIES: [RoutePolicy; 4] = [
    RoutePolicy::Random,
    RoutePolicy::LeastLoaded,
    RoutePolicy::TwoChoices,
    RoutePolicy::BoundedAffinity,
];

fn main() {
    let seed = std::env::var("JAYSADDLE_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(20_261_203);
    println!("seed {seed}");
    decision::measure(seed);
    policies(seed);
}

fn policies(seed: u64) {
    println!("\n20 groups of 16 slots, reports lag 500 ms, with admission, means of {RUNS} runs");
    let input = |policy, rate| SimulationInput {
        policy,
        rate,
        seed,
        bound_permille: 1000,
        nodes: 7,
    };
    let mut capacity: f64 = 0.0;
    for policy in POLICIES {
        let report = mean(&input(policy, SATURATION_RATE));
        println!("saturation {policy:?}: {:.1}/s", report.goodput);
        if policy != RoutePolicy::LeastLoaded {
            capacity = capacity.max(report.goodput);
        }
    }
    println!("capacity {capacity:.1}/s, the highest without least loaded");
    println!(
        "load policy         goodput/s refused% ttft p50  p95  p99 ms  prefix hit% busiest/mean"
    );
    for nodes in [7, 40] {
        println!("{nodes} routers");
        for percent in [60.0, 80.0, 95.0, 120.0] {
            for policy in POLICIES {
                let report = mean(&SimulationInput {
                    nodes,
                    ..input(policy, capacity * percent / 100.0)
                });
                print_line(percent, &format!("{policy:?}"), &report);
            }
        }
    }
    println!("bound of affinity, 7 routers");
    for bound_permille in [0, 200, 400, 700, 1_000, 1_400, 2_000] {
        let report = mean(&SimulationInput {
            bound_permille,
            ..input(RoutePolicy::BoundedAffinity, capacity * 0.95)
        });
        print_line(95.0, &format!("bound {bound_permille}"), &report);
    }
}

/// Runs simulations with consecutive seeds and returns the means; single runs differ by up to 10%.
fn mean(input: &SimulationInput) -> SimulationReport {
    let reports: Vec<SimulationReport> = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..RUNS)
            .map(|run| {
                let seed = input.seed + run;
                scope.spawn(move || simulate(&SimulationInput { seed, ..*input }))
            })
            .collect();
        let join = |run: std::thread::ScopedJoinHandle<'_, SimulationReport>| {
            run.join().expect("a run does not panic")
        };
        runs.into_iter().map(join).collect()
    });
    SimulationReport::mean(&reports)
}

fn print_line(percent: f64, name: &str, report: &SimulationReport) {
    println!(
        "{percent:>3.0}% {name:<16} {:>9.1} {:>7.1} {:>10.0} {:>5.0} {:>5.0} {:>14.1} {:>13.2}",
        report.goodput,
        report.refused_percent,
        report.first_token_p50,
        report.first_token_p95,
        report.first_token_p99,
        report.hit_percent,
        report.busiest_over_mean,
    );
}
