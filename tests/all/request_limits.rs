//! Request limits that backend servers name, in front of daemons as processes.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::platform_nodes::KEY;
use crate::platform_nodes::PlatformNodes;

/// Interval at which each caller sends a request.
const CALL_INTERVAL: Duration = Duration::from_millis(60);
/// Time from a backend server's first response with a limit until the platform's rule holds, and its window.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// Requests in any window that the platform's rule allows for a limit of `per_second`.
fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * WINDOW.as_secs_f64() + 5.0
}

/// Highest number of requests in a window that ends after `from`.
fn busiest_window(arrivals: &[Instant], from: Instant) -> usize {
    let windows = arrivals.iter().enumerate().filter(|(_, end)| **end >= from);
    windows
        .map(|(last, end)| {
            let start = arrivals.partition_point(|time| *end - *time >= WINDOW);
            last + 1 - start
        })
        .max()
        .unwrap_or(0)
}

/// Sends requests to all nodes in turn until `ends`. Returns the number of requests that were not answered with 200.
fn call_all(nodes: &PlatformNodes, ends: Instant) -> u32 {
    let failures = AtomicU32::new(0);
    thread::scope(|scope| {
        for number in 0.. {
            if Instant::now() >= ends {
                break;
            }
            let failures = &failures;
            scope.spawn(move || {
                let node = number % nodes.nodes.len();
                let id = format!("limited{number}");
                let response = nodes.request(node, &id, "/drafts/x", KEY);
                failures.fetch_add(u32::from(response.status_code != 200), Ordering::Relaxed);
            });
            thread::sleep(CALL_INTERVAL);
        }
    });
    failures.into_inner()
}

/// Guards against a request limit that is not decoded, not passed on between nodes or not kept, and against requests
/// that fail although backend servers without a limit can serve them. `JAYSADDLE_NODES` overrides the number of nodes.
#[test]
fn limited_backend_server_receives_no_more_than_it_allows() {
    const LIMIT: f64 = 1.0;
    let count = std::env::var("JAYSADDLE_NODES").ok();
    let count = count.map_or(7, |text| text.parse().expect("a number of nodes"));
    let nodes = PlatformNodes::start(count, 6);
    nodes.wait_serving(3);
    let leader = nodes.standin.serving_groups()[0][0].clone();
    nodes.standin.set_limit(&leader, Some(LIMIT));
    let named = Instant::now();
    let failures = call_all(&nodes, named + Duration::from_secs(10));
    let busiest = busiest_window(&nodes.standin.arrival_times(&leader), named + SETTLE_TIME);
    println!("{count} nodes: {busiest} requests in the busiest window");
    assert!(
        busiest as f64 <= allowed(LIMIT),
        "{busiest} requests in 4 s, {} allowed",
        allowed(LIMIT)
    );
    assert_eq!(failures, 0);
}

/// Guards against requests that wait for a limit until their time is up, against refusals without `Retry-After`, and
/// against limits whose end is not noticed.
#[test]
fn requests_beyond_all_limits_are_refused_at_once_until_the_limits_end() {
    const LIMIT: f64 = 0.5;
    let nodes = PlatformNodes::start(3, 4);
    nodes.wait_serving(2);
    let groups = nodes.standin.serving_groups();
    let set_limits = |limit| {
        for group in &groups {
            nodes.standin.set_limit(&group[0], limit);
        }
    };
    set_limits(Some(LIMIT));
    let named = Instant::now();
    call_all(&nodes, named + SETTLE_TIME);
    for number in 0..12 {
        let sent = Instant::now();
        let response = nodes.request(number % 3, &format!("beyond{number}"), "/drafts/x", KEY);
        if response.status_code == 200 {
            continue;
        }
        assert_eq!(response.status_code, 503);
        assert!(sent.elapsed() < Duration::from_millis(500));
        let body = response.as_str().expect("text");
        assert!(
            body.contains("not_run") && body.contains("limited"),
            "{body}"
        );
        let mut headers = response.headers.iter();
        let (_, text) = headers
            .find(|(name, _)| name == "retry-after")
            .expect("the header");
        let retry_after: f64 = text.parse().expect("a number");
        assert!((0.3..=5.0).contains(&retry_after), "{retry_after}");
    }
    for group in &groups {
        let busiest = busiest_window(&nodes.standin.arrival_times(&group[0]), named + SETTLE_TIME);
        assert!(
            busiest as f64 <= allowed(LIMIT),
            "{busiest} requests in 4 s"
        );
    }
    set_limits(None);
    nodes.wait(
        "both groups receive requests without a limit again",
        |nodes| {
            (0..10).all(|number| {
                nodes
                    .request(number % 3, &format!("again{number}"), "/drafts/x", KEY)
                    .status_code
                    == 200
            })
        },
    );
}
