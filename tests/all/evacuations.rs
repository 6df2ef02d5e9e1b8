//! Evacuations of a failure domain, and cold backend servers, in front of daemons as processes.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::StandinWork;
use serde_json::json;

use crate::platform_nodes::KEY;
use crate::platform_nodes::NodeSetup;
use crate::platform_nodes::PlatformNodes;

/// Interval at which requests are sent, to all nodes in turn.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// The platform's bound on the time after the request in which backend servers may still get something.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// Requests after which each of four idle groups has got one, in all but one of 10^9 cases (4 * 0.75^80).
const EVERY_GROUP_CALLS: usize = 80;
/// Time for which requests are sent while a failure domain is evacuated.
const EVACUATED_TIME: Duration = Duration::from_secs(2);

fn start(nodes: u8) -> PlatformNodes {
    let set = PlatformNodes::start_setup(NodeSetup {
        nodes,
        engines: 8,
        engines_in_b: 4,
        further: json!({"bounds": {"evacuation": "5000ms", "cold_ratio": 1.5, "cold_slack": 5}}),
        ..NodeSetup::default()
    });
    set.wait_serving(4);
    // Short streams, since one request is sent after the other.
    set.standin.set_work(StandinWork {
        events: 2,
        event_interval: Duration::from_millis(5),
        ..StandinWork::default()
    });
    set
}

/// Leaders of the groups in the failure domain `b`, whose engines are the first four.
fn leaders_in_b(set: &PlatformNodes) -> Vec<String> {
    let members: Vec<String> = set.standin.engines().into_iter().take(4).collect();
    let groups = set.standin.serving_groups();
    let leaders = groups.into_iter().map(|group| group[0].clone());
    leaders.filter(|leader| members.contains(leader)).collect()
}

/// Number of requests that have arrived at backend servers.
fn arrivals(set: &PlatformNodes, servers: &[String]) -> usize {
    let counts = servers.iter().map(|id| set.standin.arrival_times(id).len());
    counts.sum()
}

/// Sends requests to the nodes in turn for `time`. Returns the number that were not answered with 200.
fn call(set: &PlatformNodes, nodes: &[usize], label: &str, time: Duration) -> usize {
    let ends = Instant::now() + time;
    let mut failures = 0;
    for (number, node) in nodes.iter().cycle().enumerate() {
        if Instant::now() >= ends {
            break;
        }
        let response = set.request(*node, &format!("{label}{number}"), "/drafts/x", KEY);
        failures += usize::from(response.status_code != 200);
        thread::sleep(CALL_INTERVAL);
    }
    failures
}

/// Checks that each of `leaders` gets requests of the nodes, and that all requests are served.
fn assert_all_serve(set: &PlatformNodes, nodes: &[usize], label: &str, leaders: &[String]) {
    let count = |leader: &String| set.standin.arrival_times(leader).len();
    let before: Vec<usize> = leaders.iter().map(count).collect();
    for (number, node) in nodes.iter().cycle().take(EVERY_GROUP_CALLS).enumerate() {
        let response = set.request(*node, &format!("{label}{number}"), "/drafts/x", KEY);
        assert_eq!(response.status_code, 200, "{label}{number}");
    }
    let after: Vec<usize> = leaders.iter().map(count).collect();
    let is_served = before
        .iter()
        .zip(&after)
        .all(|(before, after)| before < after);
    assert!(is_served, "{label}: {before:?} {after:?}");
}

/// Waits until all nodes have logged a change, within the bound from its request.
fn wait_logged(set: &PlatformNodes, nodes: &[usize], line: &str) {
    let begun = Instant::now();
    set.wait(line, |set| {
        nodes.iter().all(|node| set.log(*node).contains(line))
    });
    let taken = begun.elapsed();
    assert!(taken < EVACUATION_BOUND, "{line} took {taken:?}");
}

/// Guards against requests to an evacuated failure domain: from nodes that watch the store, from one that restarts
/// meanwhile, and after the store has gone down. Other failure domains go on serving, and the evacuated one serves again
/// after the request is taken back.
#[test]
fn evacuated_failure_domain_gets_nothing_until_it_is_taken_back() {
    let mut set = start(3);
    let nodes = [0, 1, 2];
    let leaders = leaders_in_b(&set);
    assert_eq!(leaders.len(), 2);
    assert_all_serve(&set, &nodes, "before", &leaders);
    set.standin.set_evacuated("b", true);
    wait_logged(&set, &nodes, "event=evacuation begun=b");
    let before = arrivals(&set, &leaders);
    assert_eq!(call(&set, &nodes, "evacuated", EVACUATED_TIME), 0);
    assert_eq!(arrivals(&set, &leaders), before, "requests of nodes");
    set.kill(2);
    set.restart(2);
    set.wait("the restarted node serves", |set| set.is_ready(2));
    assert_eq!(call(&set, &nodes, "restarted", EVACUATED_TIME), 0);
    assert_eq!(arrivals(&set, &leaders), before, "requests after a restart");
    set.standin.set_store_down(true);
    assert_eq!(call(&set, &nodes, "down", EVACUATED_TIME), 0);
    assert_eq!(arrivals(&set, &leaders), before, "requests without a store");
    set.standin.set_store_down(false);
    set.standin.set_evacuated("b", false);
    wait_logged(&set, &nodes, "lifted=b");
    set.wait("the failure domain serves again", |set| {
        call(set, &nodes, "after", CALL_INTERVAL);
        arrivals(set, &leaders) > before
    });
}

/// Guards against a node that learns of an evacuation only from the store: it starts while the store is down, and its
/// peers know of the evacuation.
#[test]
fn node_that_cannot_read_the_store_learns_of_an_evacuation_from_its_peers() {
    let mut set = start(3);
    let leaders = leaders_in_b(&set);
    set.standin.set_evacuated("b", true);
    wait_logged(&set, &[0, 1, 2], "event=evacuation begun=b");
    let before = arrivals(&set, &leaders);
    set.kill(1);
    set.standin.set_store_down(true);
    set.restart(1);
    set.wait("the restarted node serves", |set| set.is_ready(1));
    assert_eq!(call(&set, &[1], "peers", EVACUATED_TIME), 0);
    assert_eq!(arrivals(&set, &leaders), before);
}

/// Guards against evacuations and cold values of another writer that stop the others: names of no failure domain, and
/// contents of other types.
#[test]
fn evacuations_that_name_no_failure_domain_change_nothing() {
    let set = start(2);
    let nodes = [0, 1];
    for (name, spec) in [
        ("elsewhere", json!({"from": -1})),
        ("two words", json!(12)),
        ("list", json!([{"zone": "a"}, null])),
    ] {
        set.standin.put_object("evacuations", name, spec);
    }
    wait_logged(&set, &nodes, "elsewhere");
    let leaders = leaders_in_b(&set);
    assert_eq!(leaders.len(), 2);
    assert_all_serve(&set, &nodes, "unknown", &leaders);
}

/// Guards against more requests to a cold backend server than it bears from all nodes together, while others serve the
/// rest.
#[test]
fn cold_backend_server_gets_no_more_than_it_bears() {
    /// Requests in one second, by the rate of the configuration and the bounds of the settings.
    const ALLOWED: usize = 26;
    const COLD_TIME: Duration = Duration::from_secs(4);
    let set = start(3);
    let nodes = [0, 1, 2];
    let leader = leaders_in_b(&set).remove(0);
    thread::sleep(Duration::from_secs(3));
    set.standin.set_cold(&leader, COLD_TIME);
    let servers = set.standin.engines();
    wait_logged(&set, &nodes, &format!("event=server_cold vm={leader}"));
    thread::scope(|scope| {
        for caller in 0..6 {
            let (set, nodes) = (&set, &nodes);
            scope.spawn(move || call(set, nodes, &format!("cold{caller}-"), COLD_TIME / 2));
        }
    });
    let times = set.standin.arrival_times(&leader);
    let most = times.iter().enumerate().map(|(first, time)| {
        let later = times[first..].iter();
        later
            .take_while(|other| other.duration_since(*time) < Duration::from_secs(1))
            .count()
    });
    let most = most.max().unwrap_or(0);
    assert!(most <= ALLOWED, "{most} requests in one second");
    assert!(arrivals(&set, &servers) > 2 * times.len());
}
