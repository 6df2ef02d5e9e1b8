//! Seeded soak of planned stops in series and at once, also of paused processes, with at-most-once requests until the
//! processes are gone.

use std::time::Duration;
use std::time::Instant;

use jaysaddle_test_support::TestRandom;
use jaysaddle_test_support::seeds;
use rustix::process::Signal;

use crate::late_requests::LateCall;
use crate::late_requests::LateStop;
use crate::late_requests::start_nodes;
use crate::late_requests::stop_all;
use crate::soak_events::between;

/// Seed of the first run in CI, and number of runs.
const FIRST_SEED: u64 = 20_261_205;
const RUNS: u64 = 2;
/// Time in which the connections of all callers are opened.
const OPENING_TIME: Duration = Duration::from_millis(1500);
/// Longest time between the first and the last SIGTERM.
const MAX_SPREAD_MS: u64 = 5000;

fn draw_call(random: &mut TestRandom) -> LateCall {
    let work_ms = match random.below(3) {
        0 => between(random, 10, 200),
        1 => between(random, 200, 2000),
        _ => between(random, 2000, 9000),
    };
    let stated_ms = work_ms * 2 + between(random, 600, 4000);
    let paths = ["/sends/x", "/calls/x", "/sends/x", "/calls/x", "/lookups/x"];
    let path = usize::try_from(random.below(5)).expect("a path");
    LateCall {
        at: Duration::from_millis(random.below(7600)),
        is_kept: random.below(2) == 0,
        path: paths[path],
        work: Duration::from_millis(work_ms),
        stated_ms,
        at_once: 1 + usize::from(random.below(4) == 0),
        repeats: random.below(2) == 0,
    }
}

fn draw_stop(random: &mut TestRandom) -> LateStop {
    let calls = 8 + random.below(16);
    let is_paused = random.below(3) == 0;
    let pause_ms =
        |random: &mut TestRandom, most| if is_paused { 1 + random.below(most) } else { 0 };
    let mut signals: Vec<(Duration, Signal)> = (0..random.below(4))
        .map(|_| {
            let signals = [Signal::TERM, Signal::HUP, Signal::INT];
            let signal = usize::try_from(random.below(3)).expect("a signal");
            (Duration::from_millis(random.below(7500)), signals[signal])
        })
        .collect();
    signals.sort_by_key(|(at, _)| *at);
    LateStop {
        calls: (0..calls).map(|_| draw_call(random)).collect(),
        paused_before: Duration::from_millis(pause_ms(random, 1000)),
        paused_after: Duration::from_millis(pause_ms(random, 2500)),
        signals,
    }
}

/// Guards against at-most-once requests that are lost when several nodes stop one after the other or at once, with
/// further signals and pauses, while callers use their connections until the processes are gone.
#[test]
fn stops_in_series_tell_the_callers_of_all_at_most_once_requests() {
    for seed in seeds(FIRST_SEED, RUNS) {
        println!("JAYSADDLE_SEED={seed}");
        let mut random = TestRandom::new(seed);
        let count = u8::try_from(between(&mut random, 2, 5)).expect("a small number");
        let spread = 1 + random.below(MAX_SPREAD_MS);
        let mut nodes = start_nodes(count, false);
        let first = Instant::now() + OPENING_TIME;
        let stops: Vec<(Instant, LateStop)> = (0..count)
            .map(|_| {
                let at = first + Duration::from_millis(random.below(spread));
                (at, draw_stop(&mut random))
            })
            .collect();
        stop_all(&mut nodes, &stops);
    }
}
