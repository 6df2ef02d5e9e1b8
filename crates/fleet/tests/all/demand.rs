//! Tests of the demand estimator and of the rate limit of loads.

use jaysaddle_fleet::controller::NodeTraffic;
use jaysaddle_fleet::demand::DemandEstimator;
use jaysaddle_fleet::load_rate::LoadRateLimiter;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::Timestamp;

use crate::fake::LARGE;
use crate::fake::model;

fn traffic(node: &str, incarnation: u64, work_ms: u64) -> NodeTraffic {
    NodeTraffic {
        node: NodeKey {
            id: NodeId::new(node),
            incarnation: Incarnation(incarnation),
        },
        work: vec![(model(LARGE), work_ms)],
    }
}

/// Guards against groups that change their model in the first seconds, before enough traffic has been observed.
#[test]
fn initial_estimate_is_used_during_warm_up() {
    let mut estimator = DemandEstimator::default();
    estimator.set_initial_estimate(&model(LARGE), 7.0);
    estimator.observe(vec![traffic("a", 1, 0)], Timestamp(0));
    estimator.observe(vec![traffic("a", 1, 1)], Timestamp(100));
    assert!(estimator.has_traffic());
    assert!((estimator.groups(&model(LARGE), Timestamp(1000)) - 7.0).abs() < 1e-9);
}

/// Guards against underestimating a model with long prompts because few requests are in flight.
#[test]
fn demand_follows_rate_of_arriving_work() {
    let mut estimator = DemandEstimator::default();
    estimator.set_initial_estimate(&model(LARGE), 10.0);
    for step in 0..200u64 {
        let counters = vec![traffic("a", 1, step * 300), traffic("b", 1, step * 100)];
        estimator.observe(counters, Timestamp(step * 100));
    }
    let groups = estimator.groups(&model(LARGE), Timestamp(20_000));
    assert!((groups - 4.0).abs() < 0.1, "{groups}");
}

/// Guards against a step in demand when a node restarts and counts from zero, or becomes reachable again. Such a step
/// made groups change their model in scenario scale-2 of ebiere-collect.
#[test]
fn returning_node_causes_no_demand_step() {
    let mut estimator = DemandEstimator::default();
    estimator.set_initial_estimate(&model(LARGE), 10.0);
    for step in 0..100u64 {
        let mut counters = vec![traffic("a", 1, 10_000 + step * 300)];
        if !(40..45).contains(&step) {
            counters.push(traffic("b", 1, 50_000 + step * 100));
        }
        estimator.observe(counters, Timestamp(step * 100));
        let groups = estimator.groups(&model(LARGE), Timestamp(step * 100));
        assert!(step < 60 || groups <= 4.3, "{groups} at step {step}");
    }
    estimator.observe(vec![traffic("a", 2, 30_000)], Timestamp(10_000));
    let groups = estimator.groups(&model(LARGE), Timestamp(10_000));
    assert!(groups <= 4.3, "{groups}");
}

/// Guards against more loads per window than the weight store allows.
#[test]
fn loads_stay_within_rate_limit() {
    let mut limiter = LoadRateLimiter::default();
    for _ in 0..25 {
        assert!(limiter.available(5.0, Timestamp(1000)) > 0);
        limiter.record_start(Timestamp(1000));
    }
    assert_eq!(limiter.available(5.0, Timestamp(5999)), 0);
    assert_eq!(limiter.available(5.0, Timestamp(6000)), 25);
}
