//! Which requests a stopping node accepts.

use compact_str::CompactString;
use jaysaddle_gateway::service_times::ExpectedTime;
use jaysaddle_gateway::service_times::ServiceTimes;
use jaysaddle_gateway::shutdown::ShutdownPlan;
use jaysaddle_gateway::shutdown::ShutdownSettings;
use jaysaddle_test_support::TestRandom;
use jaysaddle_test_support::seeds;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

const STARTED: Timestamp = Timestamp(100_000);
const GRACE: TimeSpan = TimeSpan::from_secs(8);
const ROUTE: CompactString = CompactString::const_new("drafts");

fn plan() -> ShutdownPlan {
    ShutdownPlan::new(ShutdownSettings::default(), STARTED, GRACE)
}

/// Guards against requests that are accepted although they end after the process: service times around the time that
/// is left, at all times of the stop.
#[test]
fn request_longer_than_the_time_left_is_not_accepted() {
    let plan = plan();
    for after in (0..8000).step_by(50) {
        let now = STARTED + TimeSpan(after);
        let left = plan.request_deadline.since(now);
        for service in [left.0 + 1, left.0 + 200, 2 * left.0 + 1] {
            let time = TimeSpan(service);
            let expected = ExpectedTime {
                usual: time,
                longest: time,
            };
            let limit = TimeSpan(service + 2000);
            assert!(
                !plan.admits(limit, Some(expected), now),
                "{after} ms, needs {time}"
            );
        }
    }
}

/// Guards against refusals while there is time: callers that hold the node's address are served as long as their
/// requests can end.
#[test]
fn request_that_ends_in_time_is_accepted_while_callers_may_hold_the_address() {
    let plan = plan();
    for after in (0..3300).step_by(50) {
        let now = STARTED + TimeSpan(after);
        let left = plan.request_deadline.since(now);
        let expected = ExpectedTime {
            usual: left,
            longest: GRACE,
        };
        assert!(
            plan.admits(GRACE, Some(expected), now),
            "{after} ms, needs {left}"
        );
        assert!(
            plan.admits(left, None, now),
            "{after} ms, limited to {left}"
        );
    }
    let short = ExpectedTime {
        usual: TimeSpan(80),
        longest: TimeSpan(120),
    };
    assert!(plan.admits(GRACE, Some(short), STARTED + TimeSpan(6500)));
}

/// Guards against a stop that ends after the platform kills the process, with short grace periods too.
#[test]
fn stop_ends_before_the_process_is_killed() {
    for grace in [0, 1, 300, 400, 500, 900, 1000, 3000, 8000, 60_000] {
        let grace = TimeSpan(grace);
        let plan = ShutdownPlan::new(ShutdownSettings::default(), STARTED, grace);
        assert!(plan.exit_by <= STARTED + grace, "{grace}: {plan:?}");
        assert!(
            plan.withdrawn_until <= plan.closing_from,
            "{grace}: {plan:?}"
        );
        assert!(plan.closing_from <= plan.exit_by, "{grace}: {plan:?}");
        assert!(plan.request_deadline <= plan.exit_by, "{grace}: {plan:?}");
        assert!(!plan.admits(TimeSpan(0), None, plan.closing_from));
    }
}

/// Guards against an estimate from early, short requests while all present ones take much longer.
#[test]
fn open_requests_count_with_their_age() {
    let mut times = ServiceTimes::default();
    for _ in 0..4 {
        let record = times.begin(&ROUTE, STARTED);
        times.end(&record, true, STARTED + TimeSpan(900));
    }
    let open: Vec<_> = (0..12).map(|_| times.begin(&ROUTE, STARTED)).collect();
    let expected = times.expected(&ROUTE, STARTED + TimeSpan(4000));
    let age = TimeSpan(4000);
    assert_eq!(
        expected,
        Some(ExpectedTime {
            usual: age,
            longest: age
        })
    );
    for record in open {
        times.end(&record, false, STARTED + TimeSpan(5000));
    }
    let expected = times.expected(&ROUTE, STARTED + TimeSpan(9000));
    assert_eq!(expected.map(|time| time.longest), Some(TimeSpan(900)));
    assert_eq!(times.expected("other", STARTED), None);
}

/// Guards against accepted requests that outlast the process under random service times, and against needless
/// refusals: a stopping node whose callers send one request after the other.
#[test]
fn no_accepted_request_of_steady_callers_outlasts_the_process() {
    for seed in seeds(20_261_204, 200) {
        let mut random = TestRandom::new(seed);
        let shortest = 20 + random.below(2000);
        // The longest takes one and a half times as long as the shortest at most.
        let spread = 1 + random.below(shortest / 2);
        let callers = 1 + random.below(12);
        let mut times = ServiceTimes::default();
        let mut ends: Vec<(Timestamp, _)> = Vec::new();
        let plan = plan();
        let (mut served, mut refused) = (0, 0);
        let mut now = STARTED - TimeSpan(3000);
        while now < plan.exit_by {
            let (done, open): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(end, _)| *end <= now);
            for (end, record) in &done {
                times.end(record, true, *end);
                served += 1;
            }
            ends = open;
            while (ends.len() as u64) < callers {
                let is_accepted =
                    now < STARTED || plan.admits(GRACE, times.expected(&ROUTE, now), now);
                if !is_accepted {
                    refused += 1;
                    break;
                }
                let time = TimeSpan(shortest + random.below(spread));
                ends.push((now + time, times.begin(&ROUTE, now)));
            }
            now = now + TimeSpan(10);
        }
        assert!(
            ends.iter().all(|(end, _)| *end <= plan.exit_by),
            "JAYSADDLE_SEED={seed}: {served} served, {refused} refused"
        );
        assert!(served > 0, "JAYSADDLE_SEED={seed}");
    }
}
