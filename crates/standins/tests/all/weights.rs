//! Tests of the limits of the weight store stand-in.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_standins::WeightSettings;
use jaysaddle_standins::WeightStandin;
use jaysaddle_standins::weights::WeightStats;
use jaysaddle_types::units::RequestRate;
use jaysaddle_types::units::TimeSpan;

/// Starts `count` loads at the same time and returns their status codes.
fn load_concurrently(address: SocketAddr, count: usize) -> Vec<u16> {
    let loads: Vec<_> = (0..count)
        .map(|_| {
            thread::spawn(move || {
                minreq::post(format!("http://{address}/weights/reminder/1"))
                    .with_timeout(20)
                    .send()
                    .expect("the store responds")
                    .status_code
            })
        })
        .collect();
    loads
        .into_iter()
        .map(|load| load.join().expect("the load thread finishes"))
        .collect()
}

fn stats(address: SocketAddr) -> WeightStats {
    let response = minreq::get(format!("http://{address}/control/stats"))
        .with_timeout(5)
        .send()
        .expect("the store responds");
    serde_json::from_slice(response.as_bytes()).expect("the stats are valid JSON")
}

/// Guards against exceeding the concurrency limit and against an unbounded queue.
#[test]
fn loads_are_limited_and_the_queue_is_bounded() {
    let standin = WeightStandin::start(WeightSettings {
        load_time: TimeSpan::from_millis(500),
        concurrent_loads: 2,
        load_rate: RequestRate(1000),
        queue_limit: 1,
        ..WeightSettings::default()
    })
    .expect("the store starts");
    let statuses = load_concurrently(standin.address(), 6);
    let stats = stats(standin.address());
    assert_eq!(stats.most_running, 2);
    let refused = statuses.iter().filter(|status| **status == 429).count();
    let loaded = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(loaded + refused, 6, "{statuses:?}");
    assert!(refused >= 1, "{statuses:?}");
    assert_eq!(stats.loads + stats.refused, 6);
}

/// Guards against starting loads faster than the configured rate.
#[test]
fn load_starts_are_rate_limited() {
    let standin = WeightStandin::start(WeightSettings {
        load_time: TimeSpan::from_millis(1),
        load_rate: RequestRate(10),
        ..WeightSettings::default()
    })
    .expect("the store starts");
    let started = Instant::now();
    assert_eq!(load_concurrently(standin.address(), 4), [200; 4]);
    assert!(started.elapsed() >= Duration::from_millis(300));
}
