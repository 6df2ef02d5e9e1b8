//! A request that crashes each backend server that begins it, and that its callers send again and again, at any node.

use std::time::Duration;

use crate::repeat_world::RepeatCase;
use crate::repeat_world::repeat;

fn check(case: &RepeatCase) {
    let faults = repeat(case, |_| {});
    assert!(faults.is_empty(), "{case:?}: {faults:?}");
}

/// Guards against a request that ends backend servers of a plain service for ever, because each of seven nodes gets few requests
/// and waits for others to compare with. In an incident of December 2026, 15 servers ended so.
#[test]
fn repeated_request_is_stopped_at_light_traffic() {
    check(&RepeatCase {
        nodes: 7,
        repeat_interval: Duration::from_millis(2500),
        duration: Duration::from_secs(22),
        ..RepeatCase::default()
    });
}

/// The same failure with six servers.
#[test]
fn repeated_request_is_stopped_at_light_traffic_with_six_servers() {
    check(&RepeatCase {
        nodes: 7,
        plain_servers: 6,
        repeat_interval: Duration::from_millis(2500),
        duration: Duration::from_secs(22),
        ..RepeatCase::default()
    });
}

/// Guards against the same at heavy traffic, where the request's repetitions keep one id and count as a single one.
#[test]
fn repeated_request_with_one_id_is_stopped() {
    check(&RepeatCase {
        plain_servers: 6,
        sound_interval: Some(Duration::from_millis(80)),
        repeat_interval: Duration::from_millis(900),
        keeps_id: true,
        ..RepeatCase::default()
    });
}

/// Guards against the same with the only server of a service, after whose end nothing is left to compare with.
#[test]
fn repeated_request_is_stopped_at_a_single_server() {
    check(&RepeatCase {
        plain_servers: 1,
        ..RepeatCase::default()
    });
}

/// Guards against the same when no other request of the service comes.
#[test]
fn repeated_request_is_stopped_as_the_only_traffic() {
    check(&RepeatCase {
        sound_interval: None,
        ..RepeatCase::default()
    });
}

/// Guards against the same with streams whose prompts name no parts, at light traffic.
#[test]
fn repeated_stream_without_parts_is_stopped_at_light_traffic() {
    check(&RepeatCase {
        nodes: 7,
        engines: 24,
        route: "/drafts/",
        sound_interval: Some(Duration::from_millis(500)),
        repeat_interval: Duration::from_millis(2500),
        duration: Duration::from_secs(22),
        ..RepeatCase::default()
    });
}

/// Guards against two such requests in turn, each of which makes the ends of the other look like chance.
#[test]
fn two_repeated_requests_in_turn_are_stopped() {
    check(&RepeatCase {
        plain_servers: 6,
        crashing: 2,
        repeat_interval: Duration::from_millis(1200),
        ..RepeatCase::default()
    });
}
