//! Load shedding: lowest priority first, without delay, with a retry-after time.

use std::collections::BTreeMap;

use jaysaddle_admission::AdmissionController;
use jaysaddle_admission::AdmissionSettings;
use jaysaddle_admission::AdmitOutcome;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::view::FleetView;

use crate::support::check;
use crate::support::query;
use crate::support::refusal;
use crate::support::view;

const SLOTS: u32 = 4;
const HOLD_MS: u64 = 200;

/// Creates a controller with all slots in use and an observed hold time of 200 ms.
fn full_controller(queue_length: usize) -> (AdmissionController, FleetView, u64) {
    let settings = AdmissionSettings {
        queue_length,
        ..AdmissionSettings::default()
    };
    let mut controller = AdmissionController::new(settings);
    let view = view(&[("chat", SLOTS)], &[]);
    let mut now = 1_000;
    for round in 0..2 {
        for slot in 0..SLOTS as usize {
            let number = 1_000_000 + round * 100 + slot;
            let query = query(number, "acme", "chat", 5, Timestamp(now + 60_000));
            let outcome = controller.admit(&query, &view, Timestamp(now));
            assert_eq!(outcome, AdmitOutcome::Admitted);
        }
        if round == 0 {
            now += HOLD_MS;
            for slot in 0..SLOTS as usize {
                let request = RequestId::new(format!("r-{}", 1_000_000 + slot));
                controller.release(&request, &view, Timestamp(now));
            }
        }
    }
    (controller, view, now)
}

fn run(priorities: Vec<u8>) -> bool {
    let (mut controller, view, now) = full_controller(6);
    let mut waiting: BTreeMap<RequestId, u8> = BTreeMap::new();
    for (number, value) in priorities.iter().enumerate() {
        let priority = value % 10;
        let deadline = Timestamp(now + 10_000);
        let query = query(number, "acme", "chat", priority, deadline);
        let outcome = controller.admit(&query, &view, Timestamp(now));
        let displaced = controller.displaced();
        let lowest = waiting.values().min().copied();
        if outcome == AdmitOutcome::Queued {
            waiting.insert(query.request, priority);
        } else {
            let refusal = refusal(&outcome);
            assert_eq!(refusal.reason, ReasonCode::Overloaded);
            assert!(refusal.retry_after_ms.is_some());
            let lowest = lowest.expect("an empty queue refuses nothing");
            assert!(priority <= lowest, "{priority} refused, {lowest} waits");
        }
        for release in displaced {
            refusal(&release.outcome);
            let displaced_priority = waiting
                .remove(&release.request)
                .expect("only queued requests are displaced");
            let lowest = waiting
                .values()
                .min()
                .copied()
                .unwrap_or(displaced_priority);
            assert!(
                displaced_priority <= lowest,
                "{displaced_priority} displaced, {lowest} waits"
            );
        }
        assert!(waiting.len() <= 6, "queue longer than allowed");
    }
    true
}

/// Guards against refusing a request while one of a lower priority stays queued.
#[test]
fn lowest_priority_is_shed_first() {
    check(
        "lowest_priority_is_shed_first",
        60,
        1,
        run as fn(Vec<u8>) -> bool,
    );
}

/// Guards against queueing a request that cannot be granted a slot in time.
#[test]
fn request_that_cannot_be_served_in_time_is_refused() {
    let (mut controller, view, now) = full_controller(256);
    // Four slots with a hold time of 200 ms release one slot per 50 ms.
    let short = query(1, "acme", "chat", 5, Timestamp(now + 40));
    let outcome = controller.admit(&short, &view, Timestamp(now));
    assert_eq!(refusal(&outcome).reason, ReasonCode::Overloaded);
    let long = query(2, "acme", "chat", 5, Timestamp(now + 60));
    let outcome = controller.admit(&long, &view, Timestamp(now));
    assert_eq!(outcome, AdmitOutcome::Queued);
}

/// Guards against keeping a request queued that can no longer be served in time because a request
/// of a higher priority was queued before it.
#[test]
fn displaced_request_is_refused_immediately() {
    let (mut controller, view, now) = full_controller(256);
    let low = query(1, "acme", "chat", 1, Timestamp(now + 60));
    let outcome = controller.admit(&low, &view, Timestamp(now));
    assert_eq!(outcome, AdmitOutcome::Queued);
    let high = query(2, "acme", "chat", 9, Timestamp(now + 60));
    let outcome = controller.admit(&high, &view, Timestamp(now));
    assert_eq!(outcome, AdmitOutcome::Queued);
    let displaced = controller.displaced();
    assert_eq!(displaced.len(), 1);
    assert_eq!(displaced[0].request, low.request);
    assert_eq!(
        refusal(&displaced[0].outcome).reason,
        ReasonCode::Overloaded
    );
}

/// Guards against a retry-after time that does not depend on the release rate of slots.
#[test]
fn retry_after_follows_release_rate() {
    let (mut controller, view, now) = full_controller(256);
    let mut refused = None;
    for number in 0..40 {
        let query = query(number, "acme", "chat", 5, Timestamp(now + 10_000));
        let outcome = controller.admit(&query, &view, Timestamp(now));
        if outcome != AdmitOutcome::Queued {
            refused = refusal(&outcome).retry_after_ms;
            break;
        }
    }
    // Ten releases of 50 ms each fit into the queue time of 500 ms; the retry-after time covers the
    // eleventh and possibly one more.
    let span = TimeSpan(refused.expect("the queue time is exceeded").0);
    let expected = TimeSpan::from_millis(550)..=TimeSpan::from_millis(600);
    assert!(expected.contains(&span), "retry-after time of {span}");
}
