//! Simulation: many nodes share the retry budget of the system.
//!
//! Patterns: groups are lost every three seconds, so that their streams need a retry each, at the nodes that they run
//! through; and an outage in which every request of every node needs a retry.

use std::collections::VecDeque;

use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_gateway::gateway::RequestGateway;
use jaysaddle_gateway::random::XorshiftRng;
use jaysaddle_gateway::retry_pool::PoolLimits;
use jaysaddle_gateway::settings::GatewaySettings;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::units::Timestamp;

use crate::dissemination::BeatSender;
use crate::dissemination::HEARTBEAT_MS;
use crate::fixture::ENGINE_SERVICE;
use crate::fixture::heartbeat;

/// The platform's bounds: retries for each request, and in addition in any window.
const RATIO: f64 = 0.2;
const WINDOW_MS: u64 = 10_000;
/// Parts of the bounds that are divided among the nodes, and that the nodes may use of what is left, as in the entry daemon.
const OWN_PART: f64 = 0.15;
const POOLED_PART: f64 = 0.8;
/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Time after which nodes know each other.
const SETTLED_MS: u64 = 12_000;

/// A deployment: nodes, requests a second of all of them, and the platform's additional retries.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    nodes: usize,
    rate: u64,
    slack: u32,
}

const DEPLOYMENTS: [Deployment; 3] = [
    Deployment {
        nodes: 7,
        rate: 163,
        slack: 105,
    },
    Deployment {
        nodes: 82,
        rate: 530,
        slack: 264,
    },
    Deployment {
        nodes: 195,
        rate: 930,
        slack: 472,
    },
];

struct RetryNode {
    gateway: RequestGateway,
    peers: PeerTable,
    sender: BeatSender,
}

struct RetrySimulation {
    deployment: Deployment,
    nodes: Vec<RetryNode>,
    random: XorshiftRng,
    service: ServiceId,
    now: u64,
    /// Times of requests and of retries in the last three windows.
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
    wanted: u32,
    granted: u32,
    /// Highest ratio of the retries in a window to what the platform allows.
    worst: f64,
}

fn part(slack: u32, part: f64) -> PoolLimits {
    PoolLimits {
        permille: (RATIO * part * 1000.0) as u32,
        burst: (f64::from(slack) * part) as u32,
    }
}

impl RetrySimulation {
    fn new(deployment: Deployment) -> Self {
        let own = part(deployment.slack, OWN_PART);
        let settings = GatewaySettings {
            retry_permille: own.permille,
            retry_burst: own.burst,
            ..GatewaySettings::default()
        };
        let nodes = (0..deployment.nodes).map(|node| {
            let id = NodeId::new(format!("node-{node}"));
            let mut gateway = RequestGateway::new(settings.clone(), id, node as u64);
            gateway.set_pool_limits(part(deployment.slack, POOLED_PART));
            RetryNode {
                gateway,
                peers: PeerTable::default(),
                sender: BeatSender::new(node, deployment.nodes, 0),
            }
        });
        Self {
            nodes: nodes.collect(),
            deployment,
            random: XorshiftRng::new(11),
            service: ServiceId::new(ENGINE_SERVICE),
            now: 0,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            wanted: 0,
            granted: 0,
            worst: 0.0,
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for node in 0..self.nodes.len() {
            if (self.now / STEP_MS + node as u64 * 7).is_multiple_of(HEARTBEAT_MS / STEP_MS) {
                self.send_heartbeat(node);
            }
        }
        let per_step = self.deployment.rate * STEP_MS;
        for _ in 0..per_step / 1000 + u64::from((self.random.below(1000) as u64) < per_step % 1000)
        {
            let node = self.random.below(self.nodes.len());
            self.nodes[node].gateway.record_request(&self.service, None);
            self.requests.push_back(self.now);
        }
        let first = self.now.saturating_sub(2 * WINDOW_MS);
        while self.requests.front().is_some_and(|time| *time <= first) {
            self.requests.pop_front();
        }
        while self
            .retries
            .front()
            .is_some_and(|time| *time + WINDOW_MS <= self.now)
        {
            self.retries.pop_front();
        }
        let recent = self
            .requests
            .iter()
            .filter(|time| **time + WINDOW_MS > self.now);
        let allowed = recent.count() as f64 * RATIO + f64::from(self.deployment.slack);
        self.worst = self.worst.max(self.retries.len() as f64 / allowed);
    }

    fn send_heartbeat(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let count = u32::try_from(node.peers.sharing_nodes()).expect("few nodes");
        node.gateway.set_node_count(count);
        node.gateway
            .update_retry_pool(&node.peers, Timestamp(self.now));
        let message = PeerHeartbeat {
            node: NodeId::new(format!("node-{number}")),
            usage: node.gateway.retry_usage(),
            ..heartbeat()
        };
        let beats = node.sender.send(&mut node.peers, message, false, self.now);
        for (receiver, message) in beats {
            let peers = &mut self.nodes[receiver].peers;
            peers.record_heartbeat(message, Timestamp(self.now));
        }
    }

    /// Tries to send a retry at a random node.
    fn want_retry(&mut self) {
        let node = self.random.below(self.nodes.len());
        self.wanted += 1;
        if self.nodes[node].gateway.try_take_retry(&self.service) {
            self.granted += 1;
            self.retries.push_back(self.now);
        }
    }
}

/// Guards against retries that a node withholds because its own small share is used up while others leave theirs: in a day
/// of 195 nodes, 3,528 requests failed so.
#[test]
fn retries_are_granted_where_they_are_needed() {
    for deployment in DEPLOYMENTS {
        let mut simulation = RetrySimulation::new(deployment);
        // Of the retries that the platform allows in a window, the losses need less than half.
        let allowed = deployment.rate as f64 * 10.0 * RATIO + f64::from(deployment.slack);
        let per_loss = (allowed * 0.4 * 3.0 / 10.0) as u64;
        while simulation.now < SETTLED_MS + 20_000 {
            simulation.step();
            let phase = simulation.now % 3000;
            // The streams of lost groups notice the loss within some hundred milliseconds.
            if simulation.now > SETTLED_MS && phase < 500 {
                for _ in 0..per_loss * STEP_MS / 500 {
                    simulation.want_retry();
                }
            }
        }
        let withheld = 1.0 - f64::from(simulation.granted) / f64::from(simulation.wanted);
        println!(
            "{deployment:?}: {withheld:.3} withheld of {}",
            simulation.wanted
        );
        assert!(withheld <= 0.02, "{deployment:?}: {withheld:.3} withheld");
        assert!(simulation.worst <= 1.0);
    }
}

/// Guards against nodes that all use the same rest of the budget before they learn of each other's retries.
#[test]
fn retries_of_all_nodes_stay_within_the_bounds_in_an_outage() {
    for deployment in DEPLOYMENTS {
        let mut simulation = RetrySimulation::new(deployment);
        while simulation.now < SETTLED_MS + 25_000 {
            simulation.step();
            if simulation.now > SETTLED_MS {
                for _ in 0..deployment.rate * STEP_MS * 2 / 1000 {
                    simulation.want_retry();
                }
            }
        }
        println!("{deployment:?}: {:.2} of the bounds used", simulation.worst);
        assert!(
            simulation.worst <= 1.0,
            "{deployment:?}: {:.2}",
            simulation.worst
        );
        assert!(
            simulation.worst >= 0.5,
            "{deployment:?}: {:.2}",
            simulation.worst
        );
    }
}
