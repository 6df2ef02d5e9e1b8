//! Rate limit for log lines.

use jaysaddle_entry::line_limiter::LineDecision;
use jaysaddle_entry::line_limiter::LineLimiter;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Guards against a burst of refusals that fills the log and its queue, so that rare lines are lost.
#[test]
fn a_flood_of_one_place_is_bounded_and_counted() {
    let mut limiter = LineLimiter::default();
    let start = Timestamp(10_000);
    let written = (0..10_000)
        .filter(|_| limiter.decide(1, start) != LineDecision::LeaveOut)
        .count();
    assert!(written < 1000, "{written} lines in one moment");
    assert_eq!(
        limiter.decide(2, start),
        LineDecision::Write { left_out: 0 },
        "another place is not bounded by the flood"
    );
    assert_eq!(
        limiter.decide(1, start + TimeSpan::from_secs(1)),
        LineDecision::Write {
            left_out: 10_000 - written as u32
        },
        "the next line says how many were left out"
    );
}
