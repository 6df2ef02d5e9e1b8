//! Passes the heartbeats of simulated nodes on as the entry daemon does.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use jaysaddle_fleet::heartbeat_round::RoundPlanner;
use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_fleet::relays::RelayCandidate;
use jaysaddle_types::units::Timestamp;

/// Interval of heartbeats, as in the entry daemon.
pub const HEARTBEAT_MS: u64 = 200;
/// Port of the simulated nodes.
const PORT: u16 = 81;

/// Address of a simulated node.
fn address(node: usize) -> SocketAddr {
    let bits = u32::from(Ipv4Addr::new(10, 0, 0, 0)) + u32::try_from(node).expect("few nodes");
    SocketAddr::new(Ipv4Addr::from_bits(bits).into(), PORT)
}

fn node_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is no address of a node");
    };
    (u32::from(*address.ip()) - u32::from(Ipv4Addr::new(10, 0, 0, 0))) as usize
}

/// Sender of a node's heartbeats.
#[derive(Debug)]
pub struct BeatSender {
    planner: RoundPlanner,
    node: usize,
    addresses: BTreeSet<SocketAddr>,
}

impl BeatSender {
    /// Creates the sender of one of `nodes` nodes that starts at `now`.
    pub fn new(node: usize, nodes: usize, now: u64) -> Self {
        Self {
            planner: RoundPlanner::new(Timestamp(now)),
            node,
            addresses: (0..nodes).map(address).collect(),
        }
    }

    /// Whether the node is a relay.
    pub fn is_relay(&self) -> bool {
        self.planner.is_relay()
    }

    /// Begins a round and returns the receivers and heartbeats to send. `heartbeat` is the node's state.
    pub fn send(
        &mut self,
        peers: &mut PeerTable,
        heartbeat: PeerHeartbeat,
        is_urgent: bool,
        now: u64,
    ) -> Vec<(usize, PeerHeartbeat)> {
        let now = Timestamp(now);
        peers.tick(self.planner.is_relay(), now);
        let candidate = RelayCandidate {
            node: &heartbeat.node,
            domain: &heartbeat.failure_domain,
            processor: heartbeat.processor,
            is_store_unreachable: heartbeat.is_store_unreachable,
        };
        self.planner.begin(peers, candidate, false, is_urgent, now);
        let own = PeerHeartbeat {
            peer_address: address(self.node),
            is_relay: self.planner.is_relay(),
            ..heartbeat
        };
        let beats = self.planner.beats(peers, &self.addresses, &own, now);
        beats
            .into_iter()
            .map(|beat| {
                let heartbeat = PeerHeartbeat {
                    digest: beat.digest,
                    ..own.clone()
                };
                (node_at(beat.recipient), heartbeat)
            })
            .collect()
    }
}
