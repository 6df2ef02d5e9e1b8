//! Rate limit for log lines.

use jaysaddle_entry::log_limiter::LogDecision;
use jaysaddle_entry::log_limiter::LogLimiter;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Guards against a burst of refusals that fills the log and its queue, so that rare lines are lost.
#[test]
fn one_busy_call_site_is_limited_and_its_suppressed_lines_are_counted() {
    let mut limiter = LogLimiter::default();
    let start = Timestamp(10_000);
    let written = (0..10_000)
        .filter(|_| limiter.decide(1, start) != LogDecision::Suppress)
        .count();
    assert!(
        written < 1000,
        "{written} lines written at the same instant"
    );
    assert_eq!(
        limiter.decide(2, start),
        LogDecision::Write { suppressed: 0 },
        "another call site is not affected"
    );
    assert_eq!(
        limiter.decide(1, start + TimeSpan::from_secs(1)),
        LogDecision::Write {
            suppressed: 10_000 - written as u32
        },
        "the next line states how many were suppressed"
    );
}
