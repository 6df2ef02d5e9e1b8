//! Simulation: what the nodes of deployments of several sizes know of each other while datagrams and nodes are lost.
//!
//! Pattern: steady heartbeats of which one in a hundred is lost; the loss of all relays at once.

use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_fleet::relays::RELAY_COUNT;
use jaysaddle_gateway::random::XorshiftRng;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::ProcessorShare;
use jaysaddle_types::units::Timestamp;

use crate::dissemination::BeatSender;
use crate::dissemination::HEARTBEAT_MS;
use crate::fixture::heartbeat;

/// Number of nodes of the users' deployments, and of the size that the design is for.
const SIZES: [usize; 4] = [7, 82, 195, 320];
/// Number of failure domains, and of large nodes in each.
const DOMAINS: usize = 5;
const LARGE_NODES: usize = 3;
/// One datagram in this number is lost.
const LOSS: usize = 100;
/// Time after which all nodes know each other and have ceased to announce themselves.
const SETTLED_MS: u64 = 12_000;
/// Fraction of the observations of a live node that may find it missing.
const MAX_MISSING: f64 = 0.001;
/// Time in which the nodes see each other again after the loss of all relays.
const RECOVERY_MS: u64 = 3000;

struct ViewNode {
    peers: PeerTable,
    sender: BeatSender,
    is_lost: bool,
}

/// Nodes that only exchange heartbeats.
struct ViewSimulation {
    nodes: Vec<ViewNode>,
    random: XorshiftRng,
    now: u64,
    /// Datagrams that all nodes have sent.
    sent: u64,
}

fn node_id(node: usize) -> NodeId {
    NodeId::new(format!("front-{node}"))
}

fn state_of(node: usize) -> PeerHeartbeat {
    let processor = if node < DOMAINS * LARGE_NODES {
        500
    } else {
        120
    };
    PeerHeartbeat {
        node: node_id(node),
        failure_domain: FailureDomainId::new(format!("domain-{}", node % DOMAINS)),
        processor: ProcessorShare(processor),
        ..heartbeat()
    }
}

impl ViewSimulation {
    fn new(nodes: usize) -> Self {
        Self {
            nodes: (0..nodes)
                .map(|node| ViewNode {
                    peers: PeerTable::default(),
                    sender: BeatSender::new(node, nodes, 0),
                    is_lost: false,
                })
                .collect(),
            random: XorshiftRng::new(7),
            now: 0,
            sent: 0,
        }
    }

    fn run_until(&mut self, until: u64) {
        while self.now < until {
            self.now += 1;
            for node in 0..self.nodes.len() {
                let is_due = (self.now + node as u64 * 37).is_multiple_of(HEARTBEAT_MS);
                if is_due && !self.nodes[node].is_lost {
                    self.send(node);
                }
            }
        }
    }

    fn send(&mut self, node: usize) {
        let sender = &mut self.nodes[node];
        let beats = sender
            .sender
            .send(&mut sender.peers, state_of(node), false, self.now);
        for (receiver, message) in beats {
            self.sent += 1;
            let is_received = self.random.below(LOSS) > 0 && !self.nodes[receiver].is_lost;
            if is_received {
                let peers = &mut self.nodes[receiver].peers;
                peers.record_heartbeat(message, Timestamp(self.now));
            }
        }
    }

    /// Number of pairs of running nodes, and of those of which one does not consider the other live.
    fn missing(&self) -> (usize, usize) {
        let running = self.nodes.iter().filter(|node| !node.is_lost).count();
        let pairs = running * (running - 1);
        let seen: usize = self
            .nodes
            .iter()
            .filter(|node| !node.is_lost)
            .map(|node| self.live_at(node).filter(|id| !self.is_lost(id)).count())
            .sum();
        (pairs, pairs - seen)
    }

    fn live_at<'a>(&self, node: &'a ViewNode) -> impl Iterator<Item = &'a NodeId> {
        let records = node.peers.live(Timestamp(self.now));
        records.map(|record| &record.heartbeat.node)
    }

    fn is_lost(&self, id: &NodeId) -> bool {
        let lost = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.is_lost);
        lost.map(|(node, _)| node_id(node)).any(|node| node == *id)
    }

    /// Nodes that are relays.
    fn relays(&self) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(_, node)| !node.is_lost && node.sender.is_relay())
            .map(|(node, _)| node)
            .collect()
    }
}

/// Guards against live nodes that are missing from the directory, from the loads and from the votes on the store because
/// a large deployment exchanges heartbeats too rarely.
#[test]
fn live_nodes_stay_in_view_at_all_sizes() {
    for size in SIZES {
        let mut simulation = ViewSimulation::new(size);
        simulation.run_until(SETTLED_MS);
        let (mut pairs, mut missing) = (0, 0);
        for second in 1..=5 {
            simulation.run_until(SETTLED_MS + second * 1000);
            let (more_pairs, more_missing) = simulation.missing();
            pairs += more_pairs;
            missing += more_missing;
        }
        let part = missing as f64 / pairs as f64;
        assert!(part <= MAX_MISSING, "{size} nodes: {part:.4} missing");
    }
}

/// Guards against relays in one failure domain or on small nodes, and against heartbeats that cost each node more with
/// every other node.
#[test]
fn large_deployment_has_few_relays_on_large_nodes() {
    for size in [82, 195, 320] {
        let mut simulation = ViewSimulation::new(size);
        simulation.run_until(SETTLED_MS);
        let relays = simulation.relays();
        assert_eq!(relays.len(), RELAY_COUNT, "{size} nodes: {relays:?}");
        assert!(relays.iter().all(|relay| *relay < DOMAINS * LARGE_NODES));
        let mut domains: Vec<usize> = relays.iter().map(|relay| relay % DOMAINS).collect();
        domains.sort_unstable();
        domains.dedup();
        assert_eq!(domains.len(), RELAY_COUNT);
        let before = simulation.sent;
        simulation.run_until(SETTLED_MS + 1000);
        let per_node = (simulation.sent - before) as f64 / size as f64;
        assert!(
            per_node <= 40.0,
            "{size} nodes: {per_node} datagrams a second each"
        );
    }
}

/// Guards against nodes that no longer know each other after the loss of all relays at once, and against lost nodes that
/// stay in view.
#[test]
fn nodes_choose_new_relays_when_all_are_lost() {
    for size in [82, 195] {
        let mut simulation = ViewSimulation::new(size);
        simulation.run_until(SETTLED_MS);
        for _ in 0..2 {
            for relay in simulation.relays() {
                simulation.nodes[relay].is_lost = true;
            }
            simulation.run_until(simulation.now + RECOVERY_MS);
            let (pairs, missing) = simulation.missing();
            let part = missing as f64 / pairs as f64;
            assert!(part <= MAX_MISSING, "{size} nodes: {part:.4} missing");
            assert_eq!(simulation.relays().len(), RELAY_COUNT);
            let running = simulation.nodes.iter().filter(|node| !node.is_lost);
            for node in running {
                let lost = simulation.live_at(node).filter(|id| simulation.is_lost(id));
                assert_eq!(lost.count(), 0);
            }
        }
    }
}
