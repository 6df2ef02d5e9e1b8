//! Backend servers that say that they are leaving or want a pause, in front of daemons as processes.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::StandinWork;

use crate::platform_nodes::KEY;
use crate::platform_nodes::PlatformNodes;

/// Time in which all nodes learn what one of them was told: a few heartbeats.
const SPREAD_TIME: Duration = Duration::from_secs(1);
/// Interval at which requests are sent, to all nodes in turn.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after a refusal within which requests that were already under way may still arrive.
const UNDER_WAY_TIME: Duration = Duration::from_millis(500);

/// Sends requests to all nodes in turn for `time`. Returns the number that were not answered with 200.
fn call_all(nodes: &PlatformNodes, label: &str, time: Duration) -> usize {
    let ends = Instant::now() + time;
    let mut failures = 0;
    for number in 0.. {
        if Instant::now() >= ends {
            break;
        }
        let node = number % nodes.nodes.len();
        let response = nodes.request(node, &format!("{label}{number}"), "/drafts/x", KEY);
        failures += usize::from(response.status_code != 200);
        thread::sleep(CALL_INTERVAL);
    }
    failures
}

/// Guards against requests to a backend server that has said in an answer that it is leaving, before its entry says so,
/// from the node that was told and from its peers.
#[test]
fn leaving_backend_server_gets_no_new_requests_although_its_entry_is_ready() {
    let nodes = PlatformNodes::start(3, 6);
    nodes.wait_serving(3);
    let leader = nodes.standin.serving_groups()[0][0].clone();
    nodes.standin.set_work(StandinWork {
        events: 2,
        ..StandinWork::default()
    });
    nodes.standin.set_leaving(&leader);
    let earlier = nodes.standin.arrival_times(&leader).len();
    nodes.wait("the leader has said so to a node", |nodes| {
        assert_eq!(call_all(nodes, "told", CALL_INTERVAL), 0);
        nodes.standin.arrival_times(&leader).len() > earlier
    });
    assert_eq!(call_all(&nodes, "spread", SPREAD_TIME), 0);
    let before = nodes.standin.arrival_times(&leader).len();
    assert_eq!(call_all(&nodes, "later", Duration::from_secs(3)), 0);
    assert_eq!(nodes.standin.arrival_times(&leader).len(), before);
}

/// Guards against requests to a group with a member that has said that it is leaving, in an answer to an order or a
/// report, which only the controller's node has received.
#[test]
fn group_with_a_leaving_member_is_closed() {
    let nodes = PlatformNodes::start(3, 6);
    nodes.wait_serving(3);
    let group = nodes.standin.serving_groups()[0].clone();
    nodes.standin.set_leaving(&group[1]);
    // The reports of its members are read when a group sends no data.
    nodes.standin.hang(&group[0]);
    nodes.wait(
        "the group is closed and its leaving member is in no other",
        |nodes| {
            let serving = nodes.standin.serving_groups();
            call_all(nodes, "probe", Duration::from_millis(200));
            !serving.iter().flatten().any(|id| *id == group[1])
                && (0..3).any(|node| nodes.log(node).contains("event=server_leaving"))
        },
    );
}

/// Guards against requests to a backend server within the pause that it has asked this node for, and against requests
/// that wait until their time is up when all backend servers have asked for one.
#[test]
fn backend_server_gets_nothing_within_the_pause_that_it_asks_for() {
    const PAUSE: Duration = Duration::from_secs(2);
    let nodes = PlatformNodes::start(2, 4);
    nodes.wait_serving(2);
    let groups = nodes.standin.serving_groups();
    for group in &groups {
        nodes.standin.set_pause(&group[0], Some("2"));
    }
    let earlier: Vec<usize> = groups
        .iter()
        .map(|group| nodes.standin.arrival_times(&group[0]).len())
        .collect();
    let begun = Instant::now();
    let mut slowest = Duration::ZERO;
    while begun.elapsed() < Duration::from_millis(1800) {
        let sent = Instant::now();
        let response = nodes.request(0, "paused", "/drafts/x", KEY);
        slowest = slowest.max(sent.elapsed());
        assert_eq!(response.status_code, 503);
        assert!(response.as_str().expect("text").contains("not_run"));
        thread::sleep(CALL_INTERVAL);
    }
    for (group, earlier) in groups.iter().zip(earlier) {
        let arrivals = nodes.standin.arrival_times(&group[0]).split_off(earlier);
        let first = arrivals.first().copied().unwrap_or(begun);
        let paused = arrivals.iter().filter(|time| {
            let since = time.duration_since(first);
            since >= UNDER_WAY_TIME && since < PAUSE
        });
        assert_eq!(paused.count(), 0, "arrivals within the pause");
        nodes.standin.set_pause(&group[0], None);
    }
    assert!(slowest < UNDER_WAY_TIME, "a refusal took {slowest:?}");
    nodes.wait("requests are served after the pause", |nodes| {
        nodes.request(0, "after", "/drafts/x", KEY).status_code == 200
    });
}

/// Guards against a text that is no pause but takes the only backend servers out of use.
#[test]
fn undecodable_pause_changes_nothing() {
    let nodes = PlatformNodes::start(1, 2);
    nodes.wait_serving(1);
    let leader = nodes.standin.serving_groups()[0][0].clone();
    for text in [
        "-1",
        "soon",
        "1000000000000",
        "Fri, 04 Dec 2026 12:00:00 GMT",
    ] {
        nodes.standin.set_pause(&leader, Some(text));
        assert_eq!(nodes.request(0, "bad", "/drafts/x", KEY).status_code, 503);
    }
    nodes.standin.set_pause(&leader, None);
    assert!(nodes.log(0).contains("event=notice_undecodable"));
    nodes.wait("the backend server is used again", |nodes| {
        nodes.request(0, "good", "/drafts/x", KEY).status_code == 200
    });
}
