//! Retries stay within their budget.

use jaysaddle_admission::AdmissionController;
use jaysaddle_admission::AdmissionSettings;

use crate::support::check;

fn run(words: Vec<u8>) -> bool {
    let settings = AdmissionSettings::default();
    let mut controller = AdmissionController::new(settings.clone());
    let (mut fresh, mut retries) = (0_u64, 0_u64);
    for word in words {
        // Blocks of one kind, so that long calms and retry storms both occur.
        for _ in 0..word {
            if word.is_multiple_of(3) {
                controller.record_request();
                fresh += 1;
            } else if controller.try_take_retry() {
                retries += 1;
            }
            let allowed =
                u64::from(settings.retry_burst) * 1000 + fresh * u64::from(settings.retry_permille);
            assert!(retries * 1000 <= allowed, "{retries} retries of {fresh}");
        }
    }
    true
}

/// Guards against retry storms: more than 10% of fresh requests beyond the burst.
#[test]
fn retries_stay_within_the_budget() {
    check(
        "retries_stay_within_the_budget",
        100,
        1,
        run as fn(Vec<u8>) -> bool,
    );
}

/// Guards against a budget that starves retries altogether.
#[test]
fn a_tenth_of_fresh_requests_may_be_retried() {
    let mut controller = AdmissionController::new(AdmissionSettings::default());
    while controller.try_take_retry() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        controller.record_request();
        retries += u32::from(controller.try_take_retry());
    }
    assert_eq!(retries, 100);
}

/// Guards against credit saved up in a calm that pays for a storm.
#[test]
fn credit_is_bounded_by_the_burst() {
    let mut controller = AdmissionController::new(AdmissionSettings::default());
    for _ in 0..100_000 {
        controller.record_request();
    }
    let retries = (0..1_000).filter(|_| controller.try_take_retry()).count();
    assert_eq!(retries, 10);
}
