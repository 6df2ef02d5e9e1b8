//! Membership over real connections.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_membership::MembershipEffect;
use jaysaddle_membership::MembershipEvent;
use jaysaddle_membership::MembershipSettings;
use jaysaddle_membership::MembershipTracker;
use jaysaddle_membership::RumorBody;
use jaysaddle_transport::PeerTransport;
use jaysaddle_transport::TransportCommand;
use jaysaddle_transport::TransportEvent;
use jaysaddle_transport::TransportSettings;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::RegionId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::Timestamp;
use jaysaddle_wire::ClusterKey;

/// Time between ticks.
const TICK: Duration = Duration::from_millis(100);

/// What a node has learned, in order.
pub enum Observation {
    Changed(NodeKey, NodeState),
    Rumor(RumorBody),
}

/// A node with a tracker and a transport, on a thread of its own.
pub struct ClusterNode {
    pub key: NodeKey,
    pub address: SocketAddr,
    pub observations: flume::Receiver<Observation>,
    orders: flume::Sender<MembershipEvent>,
    thread: JoinHandle<()>,
}

struct NodeLoop {
    tracker: MembershipTracker,
    commands: flume::Sender<TransportCommand>,
    events: flume::Receiver<TransportEvent>,
    orders: flume::Receiver<MembershipEvent>,
    observations: flume::Sender<Observation>,
    started: Instant,
}

impl NodeLoop {
    fn run(mut self) {
        let mut next_tick = Instant::now();
        loop {
            if let Ok(event) = self.events.recv_deadline(next_tick) {
                self.step(match event {
                    TransportEvent::Received { message, .. } => MembershipEvent::Received(message),
                    TransportEvent::Failed { to } => MembershipEvent::SendFailed(to),
                });
                continue;
            }
            next_tick = Instant::now() + TICK;
            self.step(MembershipEvent::Tick);
            while let Ok(order) = self.orders.try_recv() {
                let stops = order == MembershipEvent::Stop;
                self.step(order);
                if stops {
                    return;
                }
            }
        }
    }

    fn step(&mut self, event: MembershipEvent) {
        let now = Timestamp(self.started.elapsed().as_millis() as u64);
        for effect in self.tracker.step(event, now) {
            let observation = match effect {
                MembershipEffect::Send { to, message } => {
                    let _ = self.commands.send(TransportCommand::Send { to, message });
                    continue;
                }
                MembershipEffect::Reconnect { to } => {
                    let _ = self.commands.send(TransportCommand::Reconnect { to });
                    continue;
                }
                MembershipEffect::NodeChanged { record, state } => {
                    Observation::Changed(record.key, state)
                }
                MembershipEffect::RumorReceived { body, .. } => Observation::Rumor(body),
                MembershipEffect::Decision(_) => continue,
            };
            let _ = self.observations.send(observation);
        }
    }
}

impl ClusterNode {
    pub fn start(index: usize, seeds: Vec<SocketAddr>, settings: TransportSettings) -> Self {
        let (commands, received) = flume::unbounded();
        let (sender, events) = flume::unbounded();
        let key = ClusterKey::new("cluster");
        let settings = TransportSettings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            ..settings
        };
        let transport =
            PeerTransport::start(settings, key, received, sender).expect("a port is free");
        let address = transport.address();
        let key = NodeKey {
            id: NodeId::new(format!("entry-{index}")),
            incarnation: Incarnation(1),
        };
        let record = NodeRecord {
            key: key.clone(),
            callers: address,
            peers: address,
            failure_domain: FailureDomainId::new("hall-a"),
            region: RegionId::new("tn-north"),
        };
        let settings = MembershipSettings::default();
        let (orders, ordered) = flume::unbounded();
        let (observer, observations) = flume::unbounded();
        let node = NodeLoop {
            tracker: MembershipTracker::new(settings, record, seeds, index as u64),
            commands: commands.clone(),
            events,
            orders: ordered,
            observations: observer,
            started: Instant::now(),
        };
        let thread = std::thread::spawn(move || {
            node.run();
            let _ = commands.send(TransportCommand::Stop);
            transport.join();
        });
        Self {
            key,
            address,
            observations,
            orders,
            thread,
        }
    }

    pub fn order(&self, event: MembershipEvent) {
        self.orders.send(event).expect("the node runs");
    }

    /// Waits for an observation; returns whether it came within the time.
    pub fn observes(&self, time: Duration, matches: impl Fn(&Observation) -> bool) -> bool {
        let end = Instant::now() + time;
        while let Ok(observation) = self.observations.recv_deadline(end) {
            if matches(&observation) {
                return true;
            }
        }
        false
    }

    pub fn stop(self) {
        self.order(MembershipEvent::Stop);
        assert!(self.thread.join().is_ok());
    }
}

/// Starts nodes that all use the first one as their seed.
pub fn start_cluster(count: usize, settings: &TransportSettings) -> Vec<ClusterNode> {
    let mut nodes: Vec<ClusterNode> = Vec::new();
    for index in 0..count {
        let seeds = nodes.first().map(|node| node.address).into_iter().collect();
        nodes.push(ClusterNode::start(index, seeds, settings.clone()));
    }
    nodes
}

/// Guards against a tracker and a transport that do not fit together: joining, spreading a rumor
/// and a planned stop over real connections.
#[test]
fn trackers_find_each_other_over_transports() {
    let wait = Duration::from_secs(20);
    let mut nodes = start_cluster(5, &TransportSettings::default());
    let keys: Vec<NodeKey> = nodes.iter().map(|node| node.key.clone()).collect();
    for node in &nodes {
        let mut missing: Vec<&NodeKey> = keys.iter().filter(|key| **key != node.key).collect();
        while let Some(awaited) = missing.pop() {
            let seen = node.observes(wait, |observation| {
                matches!(observation, Observation::Changed(_, NodeState::Alive))
            });
            assert!(seen, "{} has not seen {}", node.key.id, awaited.id);
        }
    }
    let handover = RumorBody::Handover(keys[0].clone());
    nodes[4].order(MembershipEvent::Publish(handover.clone()));
    for node in &nodes[..4] {
        let heard = |observation: &Observation| match observation {
            Observation::Rumor(body) => *body == handover,
            Observation::Changed(..) => false,
        };
        assert!(node.observes(wait, heard));
    }
    let last = nodes.pop().expect("five nodes were started");
    last.stop();
    for node in &nodes {
        let dead = |observation: &Observation| match observation {
            Observation::Changed(key, state) => *key == keys[4] && *state == NodeState::Dead,
            Observation::Rumor(_) => false,
        };
        assert!(node.observes(Duration::from_secs(3), dead));
    }
    for node in nodes {
        node.stop();
    }
}
