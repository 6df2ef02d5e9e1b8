//! A store that comes back from an older copy, in front of daemons as processes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::stream_config;
use jaysaddle_test_support::TestRandom;
use jaysaddle_test_support::seeds;

use crate::platform_nodes::KEY;
use crate::platform_nodes::PlatformNodes;

/// Interval at which callers send requests.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which nodes settle after a restore: a lease, and the grace period for entries.
const SETTLE_TIME: Duration = Duration::from_secs(7);

/// Terms of the lease that the nodes have acquired, in no order.
fn acquired_terms(nodes: &PlatformNodes) -> Vec<u64> {
    let mut terms = Vec::new();
    for node in 0..nodes.nodes.len() {
        let log = nodes.log(node);
        let lines = log
            .lines()
            .filter(|line| line.contains("event=lease_acquired"));
        terms.extend(lines.filter_map(|line| {
            let (_, term) = line.split_once(" term=")?;
            term.trim().parse::<u64>().ok()
        }));
    }
    terms
}

/// Node that holds the lease, by its metrics.
fn holder(nodes: &PlatformNodes) -> Option<usize> {
    (0..nodes.nodes.len()).find(|node| {
        let metrics = nodes.get(*node, 7701, "/metrics");
        metrics.is_some_and(|metrics| {
            let text = metrics.as_str().unwrap_or_default();
            text.lines().any(|line| line == "jaysaddle_lease_held 1")
        })
    })
}

fn assert_nothing_given_twice(nodes: &PlatformNodes) {
    let terms = acquired_terms(nodes);
    let distinct: BTreeSet<_> = terms.iter().collect();
    assert_eq!(distinct.len(), terms.len(), "terms {terms:?}");
    let mut groups = BTreeMap::new();
    for (name, generation, members) in nodes.standin.joins() {
        let first = groups
            .entry((name.clone(), generation))
            .or_insert_with(|| members.clone());
        assert_eq!(*first, members, "group {name}, generation {generation}");
    }
}

/// Calls all nodes but `without` while `change` runs. Returns the numbers of requests and of failed ones.
fn call_during(nodes: &PlatformNodes, without: Option<usize>, change: impl FnOnce()) -> (u32, u32) {
    let (requests, failures) = (AtomicU32::new(0), AtomicU32::new(0));
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::scope(|calls| {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    let node = number % nodes.nodes.len();
                    if Some(node) == without {
                        continue;
                    }
                    let (requests, failures) = (&requests, &failures);
                    calls.spawn(move || {
                        let id = format!("during{number}");
                        let status = nodes.request(node, &id, "/drafts/x", KEY).status_code;
                        requests.fetch_add(1, Ordering::Relaxed);
                        failures.fetch_add(u32::from(status != 200), Ordering::Relaxed);
                    });
                    thread::sleep(CALL_INTERVAL);
                }
            });
        });
        change();
        is_over.store(true, Ordering::Relaxed);
    });
    (requests.into_inner(), failures.into_inner())
}

/// Guards against terms of the lease, and with them names and generations of groups, that are given out twice because
/// the store has forgotten the last holder, and against requests that fail meanwhile.
#[test]
fn terms_are_not_reused_after_the_store_goes_back() {
    for away in [Duration::ZERO, Duration::from_secs(1)] {
        let mut nodes = PlatformNodes::start(3, 5);
        nodes.wait_serving(2);
        thread::sleep(Duration::from_secs(2));
        let first = holder(&nodes).expect("a holder");
        nodes.kill(first);
        nodes.wait("another node holds the lease", |nodes| {
            (0..3).any(|node| node != first && nodes.log(node).contains("event=lease_acquired"))
        });
        let (requests, failures) = call_during(&nodes, Some(first), || {
            nodes
                .standin
                .restore_store(away, Duration::from_secs(4), None);
            thread::sleep(SETTLE_TIME);
        });
        println!("{requests} requests, {failures} failed, store away for {away:?}");
        assert!(requests > 50);
        assert_eq!(failures, 0, "of {requests} requests");
        nodes.wait("a node holds the lease", |nodes| holder(nodes).is_some());
        assert_nothing_given_twice(&nodes);
    }
}

/// Guards against a configuration that is never applied, because a watch continues over another history from a revision
/// that was given out again.
#[test]
fn configuration_is_applied_after_revisions_are_reused() {
    let nodes = PlatformNodes::start(2, 2);
    nodes.wait_serving(1);
    // Changes after the copy, so that the configuration gets a revision that the nodes have passed.
    for version in 2..6 {
        nodes
            .standin
            .set_config(&stream_config(version, &nodes.addresses, KEY));
    }
    thread::sleep(Duration::from_millis(700));
    let config = stream_config(6, &nodes.addresses, "new");
    nodes
        .standin
        .restore_store(Duration::ZERO, Duration::from_millis(900), Some(&config));
    nodes.wait("the new key is in effect", |nodes| {
        (0..2).all(|node| nodes.request(node, "n", "/drafts/x", "new").status_code == 200)
    });
}

/// Guards against nodes that a node started later does not find, because the store has forgotten them.
#[test]
fn nodes_register_again_after_the_store_goes_back() {
    let nodes = PlatformNodes::start(3, 2);
    nodes.wait_serving(1);
    nodes.wait("all nodes are registered", |nodes| {
        nodes.standin.registered_nodes().len() == 3
    });
    nodes
        .standin
        .restore_store(Duration::from_millis(300), Duration::from_secs(60), None);
    assert_eq!(nodes.standin.registered_nodes().len(), 0);
    nodes.wait("all nodes are registered again", |nodes| {
        nodes.standin.registered_nodes().len() == 3
    });
}

/// Guards against requests to a backend server that is gone, because an older copy of the store lists it again.
#[test]
fn removed_backend_server_is_not_used_after_the_store_goes_back() {
    let nodes = PlatformNodes::start(2, 2);
    nodes.wait_serving(1);
    thread::sleep(Duration::from_secs(2));
    let gone = nodes.standin.plain_servers()[0].clone();
    nodes.standin.hang(&gone);
    nodes.standin.remove_entry(&gone);
    thread::sleep(Duration::from_millis(1500));
    nodes
        .standin
        .restore_store(Duration::from_millis(500), Duration::from_secs(3), None);
    let restored = Instant::now();
    let mut number = 0;
    // The platform itself removes an entry after three missed writes of 1.2 s.
    while restored.elapsed() < Duration::from_millis(3600) {
        let sent = Instant::now();
        nodes.request(number % 2, &format!("gone{number}"), "/lookups/x", KEY);
        assert!(
            sent.elapsed() < Duration::from_millis(1500),
            "request {number}"
        );
        number += 1;
    }
    assert!(number > 20, "{number} requests");
}

/// Version of the configuration in force at a node; `None` if it does not respond.
fn config_version(nodes: &PlatformNodes, node: usize) -> Option<f64> {
    let metrics = nodes.get(node, 7701, "/metrics")?;
    let text = metrics.as_str().ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("jaysaddle_config_version "))?;
    line.trim().parse().ok()
}

/// Restores the store several times, with kills of nodes, pauses and changes of the configuration around it.
fn run_random_restores(seed: u64) {
    const NODES: usize = 4;
    let mut random = TestRandom::new(seed);
    let mut below = |bound| random.below(bound);
    let mut nodes = PlatformNodes::start(4, 6);
    nodes.wait_serving(3);
    let mut version = 1;
    let mut in_force = [0.0; NODES];
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(1500 + below(3000)));
        let victim = match below(3) {
            0 => Some(usize::try_from(below(NODES as u64)).expect("a node")),
            1 => holder(&nodes),
            _ => None,
        };
        let paused = usize::try_from(below(NODES as u64)).expect("a node");
        let is_paused = Some(paused) != victim && below(2) == 0;
        if is_paused {
            nodes.nodes[paused].pause();
        }
        if below(2) == 0 {
            version += 1;
            let config = stream_config(version, &nodes.addresses, KEY);
            nodes.standin.set_config(&config);
        }
        if let Some(victim) = victim {
            nodes.kill(victim);
            in_force[victim] = 0.0;
        }
        for _ in 0..=below(2) {
            let away = Duration::from_millis(below(2) * below(3000));
            let age = Duration::from_millis(200 + below(9800));
            version += 1;
            let config = stream_config(version, &nodes.addresses, KEY);
            nodes.standin.restore_store(away, age, Some(&config));
            thread::sleep(Duration::from_millis(below(1500)));
        }
        if is_paused {
            nodes.nodes[paused].resume();
        }
        if let Some(victim) = victim {
            nodes.restart(victim);
        }
        thread::sleep(Duration::from_secs(2));
        for (node, known) in in_force.iter_mut().enumerate() {
            if let Some(current) = config_version(&nodes, node) {
                assert!(current >= *known, "node {node}: {current} after {known}");
                *known = current;
            }
        }
    }
    nodes.wait(
        "all nodes are registered and have the configuration",
        |nodes| {
            nodes.standin.registered_nodes().len() == NODES
                && (0..NODES).all(|node| config_version(nodes, node) == Some(version as f64))
        },
    );
    nodes.wait("one node holds the lease", |nodes| holder(nodes).is_some());
    nodes.wait_serving(3);
    assert_nothing_given_twice(&nodes);
    let overlapping = nodes.standin.overlapping_joins();
    assert!(overlapping.is_empty(), "{overlapping:?}");
}

/// Guards against combinations of what the other tests have alone. `JAYSADDLE_SEED` and `JAYSADDLE_RUNS` override the
/// first seed and the number of runs.
#[test]
fn nothing_is_given_out_twice_under_random_restores() {
    for seed in seeds(20_261_204, 1) {
        println!("JAYSADDLE_SEED={seed}");
        run_random_restores(seed);
    }
}
