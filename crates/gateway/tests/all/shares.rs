//! Shares of the nodes in the connections that a backend server accepts.

use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_gateway::target::RequestTarget;
use jaysaddle_gateway::target::current_targets;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::Timestamp;

use crate::fixture::GatewayFixture;
use crate::fixture::add_group;
use crate::fixture::config;
use crate::fixture::heartbeat;

/// Connections that each backend server of the fixture accepts.
const MAX_CONNECTIONS: u32 = 100;
const GROUPS: u64 = 7;

/// Connection limits of each of `nodes` nodes to the leaders of the fixture's groups.
fn connection_limits(nodes: usize) -> Vec<Vec<u32>> {
    let mut table = BackendTable::default();
    for number in 0..GROUPS {
        add_group(&mut table, number);
    }
    let targets: Vec<RequestTarget> = current_targets(&table, &config());
    let limits_of = |own: usize| {
        let mut fixture = GatewayFixture::with_seed(GROUPS, own as u64);
        for peer in (0..nodes).filter(|peer| *peer != own) {
            let message = PeerHeartbeat {
                node: NodeId::new(format!("node-{peer}")),
                ..heartbeat()
            };
            fixture.peers.record_heartbeat(message, Timestamp(1000));
        }
        let count = u32::try_from(nodes).expect("a small number");
        fixture.gateway.set_node_count(count);
        fixture.send(&[], 1100).expect("a target");
        let limits = targets.iter();
        limits
            .map(|target| fixture.gateway.connection_limit(target))
            .collect()
    };
    (0..nodes).map(limits_of).collect()
}

/// Guards against nodes that together open more connections than a backend server accepts, because each may open a
/// minimum of its own: with two for each, 59 nodes could open 118 of 100 connections.
#[test]
fn connections_of_all_nodes_stay_within_the_limit() {
    for nodes in [1, 7, 33, 50, 51, 59, 82, 120] {
        let limits = connection_limits(nodes);
        for group in 0..GROUPS as usize {
            let sum: u32 = limits.iter().map(|limits| limits[group]).sum();
            assert!(sum <= MAX_CONNECTIONS, "{nodes} nodes: {sum} connections");
            assert!(
                sum >= MAX_CONNECTIONS / 2,
                "{nodes} nodes: {sum} connections"
            );
        }
    }
}
