//! Nodes that are cut off from all backend servers, while callers, the store and the other nodes still reach them.

use crate::cut_world::CutCase;
use crate::cut_world::cut_off;

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
