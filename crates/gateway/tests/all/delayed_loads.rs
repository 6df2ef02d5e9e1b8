//! Simulation: many nodes select targets from loads that they learn from each other's periodic heartbeats.
//!
//! Pattern: a steady stream of requests that keeps two thirds of the slots busy. Each node sees only a few requests a
//! second and learns the load that its peers cause with a delay.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::random::XorshiftRng;
use jaysaddle_gateway::target::TargetNumber;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::Timestamp;

use crate::dissemination::BeatSender;
use crate::dissemination::HEARTBEAT_MS;
use crate::fixture::GatewayFixture;
use crate::fixture::SLOTS;
use crate::fixture::heartbeat;

/// Time at a backend server, if a slot is free.
const SERVICE_MS: u64 = 1200;
/// Requests that arrive before this time are not evaluated; loads and durations are not known yet.
const WARM_UP_MS: u64 = 2500;

/// A deployment of nodes and groups under constant load.
struct Simulation {
    nodes: Vec<GatewayFixture>,
    senders: Vec<BeatSender>,
    groups: u64,
    random: XorshiftRng,
    /// Requests at each target, whether they run or wait.
    at_target: HashMap<TargetNumber, u32>,
    /// Ends of requests, earliest first: time, a number that orders simultaneous ends, node and target.
    ends: BinaryHeap<Reverse<(u64, u64, usize, TargetNumber)>>,
    sequence: u64,
    evaluated: u32,
    /// Requests that were refused, or found no free slot at their target.
    unlucky: u32,
}

impl Simulation {
    fn new(nodes: usize, groups: u64) -> Self {
        Self {
            nodes: (0..nodes)
                .map(|node| GatewayFixture::with_seed(groups, 1 + node as u64 * 7919))
                .collect(),
            senders: (0..nodes)
                .map(|node| BeatSender::new(node, nodes, 0))
                .collect(),
            groups,
            random: XorshiftRng::new(77),
            at_target: HashMap::new(),
            ends: BinaryHeap::new(),
            sequence: 0,
            evaluated: 0,
            unlucky: 0,
        }
    }

    fn run(&mut self, until: u64) -> f64 {
        let per_second = self.groups * u64::from(SLOTS) * 2 / 3 * 1000 / SERVICE_MS;
        for now in 1..until {
            self.end_requests(now);
            for _ in 0..4 {
                if (self.random.below(4000) as u64) < per_second {
                    self.arrive(now);
                }
            }
            for node in 0..self.nodes.len() {
                // Nodes send at different times within the interval.
                if (now + node as u64 * 37).is_multiple_of(HEARTBEAT_MS) {
                    self.send_heartbeats(node, now);
                }
            }
        }
        f64::from(self.unlucky) / f64::from(self.evaluated)
    }

    fn arrive(&mut self, now: u64) {
        let node = self.random.below(self.nodes.len());
        let target = self.nodes[node].send(&[], now);
        let running = target.map_or(SLOTS, |target| {
            self.at_target.get(&target).copied().unwrap_or(0)
        });
        if now >= WARM_UP_MS {
            self.evaluated += 1;
            self.unlucky += u32::from(running >= SLOTS);
        }
        if let Some(target) = target {
            *self.at_target.entry(target).or_default() += 1;
            let wait = u64::from(running.saturating_sub(SLOTS - 1)) * SERVICE_MS / u64::from(SLOTS);
            let service = SERVICE_MS / 2 + self.random.below(SERVICE_MS as usize) as u64;
            self.sequence += 1;
            self.ends
                .push(Reverse((now + wait + service, self.sequence, node, target)));
        }
    }

    fn end_requests(&mut self, now: u64) {
        while let Some(Reverse((end, _, node, target))) = self.ends.peek().copied()
            && end <= now
        {
            self.ends.pop();
            self.nodes[node].end_at(target, TargetOutcome::Answered, now);
            *self.at_target.entry(target).or_default() -= 1;
        }
    }

    fn send_heartbeats(&mut self, sender: usize, now: u64) {
        let node = &mut self.nodes[sender];
        let message = PeerHeartbeat {
            node: NodeId::new(format!("node-{sender}")),
            loads: node.gateway.loads(),
            ..heartbeat()
        };
        let beats = self.senders[sender].send(&mut node.peers, message, false, now);
        for (receiver, message) in beats {
            let peers = &mut self.nodes[receiver].peers;
            peers.record_heartbeat(message, Timestamp(now));
        }
    }
}

/// Fraction of the requests that find no free slot, which the users' target limits: 95 of 100 start in time.
const MAX_UNLUCKY: f64 = 0.05;

fn assert_free_slots(nodes: usize, groups: u64) {
    let unlucky = Simulation::new(nodes, groups).run(6000);
    println!("{nodes} nodes, {groups} groups: {unlucky:.3} of the requests found no free slot");
    assert!(
        unlucky <= MAX_UNLUCKY,
        "{nodes} nodes, {groups} groups: {unlucky:.3} of the requests found no free slot"
    );
}

/// Guards against nodes that all select the same few targets from one outdated view of the load, which fills these
/// targets while others have free slots.
#[test]
fn nodes_with_outdated_loads_do_not_select_the_same_targets() {
    for (nodes, groups) in [(1, 24), (7, 24), (82, 40)] {
        assert_free_slots(nodes, groups);
    }
}

/// Guards against loads that are missing from the view because a peer counts as down between two of its heartbeats.
#[test]
fn loads_of_all_peers_are_counted_in_a_large_deployment() {
    assert_free_slots(320, 60);
}
