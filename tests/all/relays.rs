//! A deployment in which only some nodes, the relays, read the store, as processes.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::ConfigEdit;
use jaysaddle_platform_standin::add_plain_routes;
use jaysaddle_platform_standin::stream_config;
use serde_json::Value;
use serde_json::json;

use crate::platform_nodes::KEY;
use crate::platform_nodes::PlatformNodes;

/// Number of nodes; from 26 on, nodes choose relays.
const NODES: u8 = 28;
/// Time after the start in which nodes announce themselves to all others and begin to follow the relays.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Time in which a configuration must be in force at all nodes.
const CONFIG_TIME: Duration = Duration::from_secs(2);
/// Time in which nodes must send nothing new to a backend server that has gone.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Calls a second that seven nodes make which all read the store themselves: each reads the entries once and the
/// configuration 0.4 times a second, the holder reads the entries five times and renews its lease twice.
const CALLS_OF_SEVEN: u64 = 7 + 3 + 5 + 2;

/// A configuration with all routes, after an edit.
fn config(nodes: &PlatformNodes, version: u64, edit: Option<ConfigEdit>) -> Value {
    let mut config = stream_config(version, &nodes.addresses, KEY);
    add_plain_routes(&mut config, &nodes.addresses);
    if let Some(edit) = edit {
        edit.apply(&mut config);
    }
    config
}

/// Statuses of a request with the key of the client account at each of `members`.
fn statuses(nodes: &PlatformNodes, members: &[usize], id: &str) -> Vec<u16> {
    let request = |node: &usize| nodes.request(*node, id, "/drafts/x", KEY).status_code;
    members.iter().map(request).collect()
}

fn relays(nodes: &PlatformNodes) -> Vec<usize> {
    let is_relay = |node: &usize| {
        let log = nodes.log(*node);
        let mut roles = log.lines().rev();
        let last = roles.find(|line| line.contains("event=relay_role"));
        last.is_some_and(|line| line.contains("is_relay=true"))
    };
    (0..nodes.nodes.len()).filter(is_relay).collect()
}

fn assert_config_reaches(
    nodes: &PlatformNodes,
    members: &[usize],
    version: u64,
    key: &'static str,
) {
    let is_withdrawn = key != KEY;
    let edit = is_withdrawn.then_some(ConfigEdit::Key(key));
    nodes.standin.set_config(&config(nodes, version, edit));
    thread::sleep(CONFIG_TIME);
    let expected = if is_withdrawn { 401 } else { 200 };
    let statuses = statuses(nodes, members, &format!("version{version}"));
    assert!(
        statuses.iter().all(|status| *status == expected),
        "version {version}: {statuses:?}"
    );
}

/// Guards against calls to the store that grow with the nodes, and against changes that reach only the relays: a new
/// configuration, a withdrawn key and a backend server that has gone. After that, all relays are killed at once and started
/// again: guards against nodes that keep to what lost relays told them, and against a key that is in use again at a
/// restarted node.
#[test]
fn changes_reach_all_nodes_through_few_readers_of_the_store() {
    let bounds = json!({"bounds": {"drain": format!("{}s", DRAIN_TIME.as_secs())}});
    let mut nodes = PlatformNodes::start_with(NODES, 4, bounds);
    nodes.wait_serving(2);
    thread::sleep(SETTLE_TIME);
    let all: Vec<usize> = (0..usize::from(NODES)).collect();
    let first_relays = relays(&nodes);
    assert!((3..=4).contains(&first_relays.len()), "{first_relays:?}");
    let before = nodes.standin.store_calls();
    let measured = Instant::now();
    thread::sleep(Duration::from_secs(5));
    let calls = (nodes.standin.store_calls() - before) as f64 / measured.elapsed().as_secs_f64();
    println!("{calls:.1} calls a second");
    assert!(
        calls <= 3.0 * CALLS_OF_SEVEN as f64,
        "{calls} calls a second"
    );
    assert_config_reaches(&nodes, &all, 2, "other");
    assert_config_reaches(&nodes, &all, 3, KEY);

    let gone = nodes.standin.plain_servers()[0].clone();
    nodes.standin.remove_entry(&gone);
    thread::sleep(DRAIN_TIME);
    let earlier = nodes.standin.arrival_times(&gone).len();
    for node in &all {
        nodes.request(*node, &format!("gone{node}"), "/lookups/x", KEY);
    }
    assert_eq!(nodes.standin.arrival_times(&gone).len(), earlier);

    for relay in &first_relays {
        nodes.kill(*relay);
    }
    let rest: Vec<usize> = all
        .iter()
        .copied()
        .filter(|node| !first_relays.contains(node))
        .collect();
    assert_config_reaches(&nodes, &rest, 4, "other");
    for relay in &first_relays {
        nodes.restart(*relay);
    }
    nodes.wait("the restarted nodes are ready", |nodes| {
        first_relays.iter().all(|relay| nodes.is_ready(*relay))
    });
    let after_restart = statuses(&nodes, &first_relays, "again");
    assert!(
        after_restart.iter().all(|status| *status == 401),
        "{after_restart:?}"
    );
    assert_config_reaches(&nodes, &all, 5, KEY);
}
