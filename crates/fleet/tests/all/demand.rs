//! Demand and load limits.

use jaysaddle_fleet::demand::DemandMeter;
use jaysaddle_fleet::loads::LoadPacer;
use jaysaddle_types::units::Timestamp;

use crate::fake::LARGE;
use crate::fake::model;

/// Guards against groups that change their model in the first seconds, before the traffic is known.
#[test]
fn the_first_estimate_holds_at_the_start() {
    let mut meter = DemandMeter::default();
    meter.expect(&model(LARGE), 7.0, Timestamp(0));
    meter.observe(&model(LARGE), 0, Timestamp(0));
    meter.observe(&model(LARGE), 1, Timestamp(100));
    assert!(meter.has_traffic());
    assert!((meter.groups(&model(LARGE), Timestamp(1000)) - 7.0).abs() < 1e-9);
}

/// Guards against a model with long prompts that counts as lightly loaded because few requests are in flight.
#[test]
fn demand_is_the_work_that_arrives() {
    let mut meter = DemandMeter::default();
    meter.expect(&model(LARGE), 10.0, Timestamp(0));
    for step in 0..200u64 {
        meter.observe(&model(LARGE), step * 400, Timestamp(step * 100));
    }
    let groups = meter.groups(&model(LARGE), Timestamp(20_000));
    assert!((groups - 4.0).abs() < 0.1, "{groups}");
}

/// Guards against a jump of the demand when a node starts again and counts from zero.
#[test]
fn a_restarted_count_is_no_jump() {
    let mut meter = DemandMeter::default();
    meter.expect(&model(LARGE), 10.0, Timestamp(0));
    for step in 0..100u64 {
        meter.observe(&model(LARGE), 10_000 + step * 400, Timestamp(step * 100));
    }
    meter.observe(&model(LARGE), 3, Timestamp(10_000));
    let groups = meter.groups(&model(LARGE), Timestamp(10_000));
    assert!(groups <= 4.2, "{groups}");
}

/// Guards against more loads in a window than the weight store allows.
#[test]
fn loads_stay_below_the_rate() {
    let mut pacer = LoadPacer::default();
    for _ in 0..25 {
        assert!(pacer.available(5.0, Timestamp(1000)) > 0);
        pacer.started(Timestamp(1000));
    }
    assert_eq!(pacer.available(5.0, Timestamp(5999)), 0);
    assert_eq!(pacer.available(5.0, Timestamp(6000)), 25);
}
