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
    meter.expect(&model(LARGE), 100.0, Timestamp(0));
    meter.observe(&model(LARGE), 0, 500.0, Timestamp(0));
    meter.observe(&model(LARGE), 1, 500.0, Timestamp(100));
    assert!(meter.has_traffic());
    assert!((meter.places(&model(LARGE), Timestamp(1000)) - 100.0).abs() < 1e-9);
}

#[test]
fn demand_is_rate_times_duration() {
    let mut meter = DemandMeter::default();
    meter.expect(&model(LARGE), 100.0, Timestamp(0));
    for step in 0..200u64 {
        meter.observe(&model(LARGE), step * 4, 500.0, Timestamp(step * 100));
    }
    let places = meter.places(&model(LARGE), Timestamp(20_000));
    assert!((places - 20.0).abs() < 0.5, "{places}");
}

/// Guards against a jump of the demand when a node starts again and counts from zero.
#[test]
fn a_restarted_count_is_no_jump() {
    let mut meter = DemandMeter::default();
    meter.expect(&model(LARGE), 100.0, Timestamp(0));
    for step in 0..100u64 {
        meter.observe(
            &model(LARGE),
            10_000 + step * 4,
            500.0,
            Timestamp(step * 100),
        );
    }
    meter.observe(&model(LARGE), 3, 500.0, Timestamp(10_000));
    let places = meter.places(&model(LARGE), Timestamp(10_000));
    assert!(places <= 21.0, "{places}");
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
