//! Retry budget: limits on retries and on accumulated credit.

use jaysaddle_admission::AdmissionController;
use jaysaddle_admission::AdmissionSettings;

use crate::support::check;

fn run(run_lengths: Vec<u8>) -> bool {
    let settings = AdmissionSettings::default();
    let mut controller = AdmissionController::new(settings.clone());
    let (mut new_requests, mut retries) = (0_u64, 0_u64);
    for run_length in run_lengths {
        // Runs of one kind of call, so that both long phases without retries and
        // retry storms occur.
        for _ in 0..run_length {
            if run_length.is_multiple_of(3) {
                controller.record_request();
                new_requests += 1;
            } else if controller.try_take_retry() {
                retries += 1;
            }
            let allowed = u64::from(settings.retry_burst) * 1000
                + new_requests * u64::from(settings.retry_permille);
            assert!(
                retries * 1000 <= allowed,
                "{retries} retries for {new_requests} new requests"
            );
        }
    }
    true
}

/// Guards against retry storms: more retries than the burst plus 10% of the new requests.
#[test]
fn retries_stay_within_budget() {
    check(
        "retries_stay_within_budget",
        100,
        1,
        run as fn(Vec<u8>) -> bool,
    );
}

/// Guards against a budget that is never refilled.
#[test]
fn one_tenth_of_new_requests_may_be_retried() {
    let mut controller = AdmissionController::new(AdmissionSettings::default());
    while controller.try_take_retry() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        controller.record_request();
        retries += u32::from(controller.try_take_retry());
    }
    assert_eq!(retries, 100);
}

/// Guards against credit that accumulates without bound while there are no retries and then allows
/// a retry storm.
#[test]
fn retry_credit_is_bounded_by_burst() {
    let mut controller = AdmissionController::new(AdmissionSettings::default());
    for _ in 0..100_000 {
        controller.record_request();
    }
    let retries = (0..1_000).filter(|_| controller.try_take_retry()).count();
    assert_eq!(retries, 10);
}
