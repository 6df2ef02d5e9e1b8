//! Nodes that are cut off from all backend servers, while callers, the store and the other nodes still reach them.

use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::StandinWork;

use crate::cut_world::CutCase;
use crate::cut_world::cut_off;
use crate::platform_nodes::KEY;
use crate::platform_nodes::NodeSetup;
use crate::platform_nodes::PlatformNodes;

fn check(case: &CutCase) {
    let faults = cut_off(case);
    assert!(faults.is_empty(), "{case:?}: {faults:?}");
}

/// Guards against nodes that stay in the directory although they reach no server, so that all requests to them fail.
#[test]
fn nodes_cut_off_from_all_servers_are_not_used() {
    check(&CutCase {
        nodes: 7,
        cut: 3,
        includes_holder: false,
        network: "refused reset",
        route: "/lookups/",
    });
}

/// Guards against a holder of the lease that reaches no server, takes all groups for lost and dissolves them.
#[test]
fn lease_holder_cut_off_from_all_servers_gives_the_lease_up() {
    check(&CutCase {
        nodes: 7,
        cut: 1,
        includes_holder: true,
        network: "hanging silent",
        route: "/drafts/",
    });
}

/// Guards against the same with most nodes, the holder among them.
#[test]
fn most_nodes_cut_off_from_all_servers_are_not_used() {
    check(&CutCase {
        nodes: 7,
        cut: 5,
        includes_holder: true,
        network: "refused reset",
        route: "/drafts/",
    });
}

/// Guards against nodes that do not notice the cut because open connections live on while new ones are refused.
#[test]
fn nodes_cut_off_with_live_connections_are_not_used() {
    check(&CutCase {
        nodes: 7,
        cut: 3,
        includes_holder: true,
        network: "refused live",
        route: "/drafts/",
    });
}

fn start(nodes: u8) -> PlatformNodes {
    let nodes = PlatformNodes::start_setup(NodeSetup {
        nodes,
        has_cuts: true,
        ..NodeSetup::default()
    });
    nodes.standin.set_work(StandinWork {
        events: 5,
        is_plain_reliable: true,
        ..StandinWork::default()
    });
    nodes.wait_serving(4);
    nodes
}

fn wait_cut_off(nodes: &PlatformNodes, node: usize) {
    nodes.wait("the node knows of the cut", |nodes| {
        // A request that fails shows the cut.
        nodes.request(node, "probe", "/lookups/x", KEY);
        nodes.log(node).contains("event=server_reach state=cut_off")
    });
}

/// Guards against requests of callers that have not left a cut node yet: they are refused, or run twice, or come without their key.
#[test]
fn requests_at_a_cut_node_are_served_by_a_peer() {
    let nodes = start(2);
    nodes.set_server_network(0, "refused reset");
    wait_cut_off(&nodes, 0);
    nodes.wait("the node has left the directory", |nodes| {
        nodes.resolved(0) == 1 && nodes.resolved(1) == 1
    });
    assert!(nodes.is_ready(0));
    for path in ["/sends/x", "/lookups/x", "/drafts/x"] {
        let id = format!("passed{}", path.replace('/', "-"));
        let response = nodes.request(0, &id, path, KEY);
        assert_eq!(response.status_code, 200, "{path}");
        assert_eq!(nodes.standin.run_count(&id), 1, "{path}");
        let mut headers = response.headers.iter();
        let closes = headers.any(|(name, value)| name == "connection" && value == "close");
        assert!(closes, "{path}");
    }
    assert_eq!(
        nodes.request(0, "no-key", "/sends/x", "none").status_code,
        401
    );
    nodes.set_server_network(0, "");
    nodes.wait("the node is back in the directory", |nodes| {
        nodes.resolved(0) == 2 && nodes.resolved(1) == 2
    });
}

/// Guards against a directory without nodes, and requests that nodes pass on to each other for ever, while all nodes are cut off.
#[test]
fn all_nodes_cut_off_stay_in_the_directory_and_refuse_at_once() {
    let nodes = start(3);
    for node in 0..3 {
        nodes.set_server_network(node, "refused reset");
    }
    for node in 0..3 {
        wait_cut_off(&nodes, node);
    }
    nodes.wait("all nodes are listed", |nodes| {
        (0..3).all(|node| nodes.resolved(node) == 3)
    });
    let sent = Instant::now();
    let response = nodes.request(0, "refused", "/sends/x", KEY);
    assert_eq!(response.status_code, 503);
    assert!(
        sent.elapsed() < Duration::from_secs(1),
        "{:?}",
        sent.elapsed()
    );
    assert_eq!(nodes.standin.run_count("refused"), 0);
}

/// Guards against a node that leaves the directory because one failure domain of servers, or a single server, is gone.
#[test]
fn loss_of_some_servers_is_no_cut() {
    let nodes = start(2);
    let engines = nodes.standin.engines();
    for engine in &engines[..4] {
        nodes.standin.crash(engine, Duration::from_secs(3));
    }
    for number in 0..20 {
        nodes.request(0, &format!("beside-losses-{number}"), "/lookups/x", KEY);
    }
    assert!((0..2).all(|node| !nodes.log(node).contains("state=cut_off")));
    assert_eq!(nodes.resolved(0), 2);
}
