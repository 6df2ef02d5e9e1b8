//! Membership over loopback connections.

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

/// Interval between ticks of the membership tracker.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A change that a node has learned of.
pub enum Observation {
    Changed(NodeKey, NodeState),
    Rumor(RumorBody),
}

/// A node with a membership tracker and a transport, running on its own thread.
pub struct ClusterNode {
    pub key: NodeKey,
    pub address: SocketAddr,
    pub observations: flume::Receiver<Observation>,
    injected_events: flume::Sender<MembershipEvent>,
    thread: JoinHandle<()>,
}

struct NodeLoop {
    tracker: MembershipTracker,
    commands: flume::Sender<TransportCommand>,
    events: flume::Receiver<TransportEvent>,
    injected_events: flume::Receiver<MembershipEvent>,
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
            next_tick = Instant::now() + TICK_INTERVAL;
            self.step(MembershipEvent::Tick);
            while let Ok(event) = self.injected_events.try_recv() {
                let stops = event == MembershipEvent::Stop;
                self.step(event);
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
        let (injected_events, injected) = flume::unbounded();
        let (observer, observations) = flume::unbounded();
        let node = NodeLoop {
            tracker: MembershipTracker::new(settings, record, seeds, index as u64),
            commands: commands.clone(),
            events,
            injected_events: injected,
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
            injected_events,
            thread,
        }
    }

    pub fn inject(&self, event: MembershipEvent) {
        self.injected_events.send(event).expect("the node runs");
    }

    /// Waits for a matching observation; returns whether there was one within `time`.
    pub fn observe(&self, time: Duration, matches: impl Fn(&Observation) -> bool) -> bool {
        let deadline = Instant::now() + time;
        while let Ok(observation) = self.observations.recv_deadline(deadline) {
            if matches(&observation) {
                return true;
            }
        }
        false
    }

    pub fn stop(self) {
        self.inject(MembershipEvent::Stop);
        assert!(self.thread.join().is_ok());
    }
}

/// Starts nodes that use the first one as their seed.
pub fn start_cluster(count: usize, settings: &TransportSettings) -> Vec<ClusterNode> {
    let mut nodes: Vec<ClusterNode> = Vec::new();
    for index in 0..count {
        let seeds = nodes.first().map(|node| node.address).into_iter().collect();
        nodes.push(ClusterNode::start(index, seeds, settings.clone()));
    }
    nodes
}

/// Guards against a membership tracker and a transport that do not work together: nodes join, a
/// rumor spreads and a node leaves over loopback connections.
#[test]
fn membership_works_over_transport() {
    let wait = Duration::from_secs(20);
    let mut nodes = start_cluster(5, &TransportSettings::default());
    let keys: Vec<NodeKey> = nodes.iter().map(|node| node.key.clone()).collect();
    for node in &nodes {
        let mut missing: Vec<&NodeKey> = keys.iter().filter(|key| **key != node.key).collect();
        while let Some(expected) = missing.pop() {
            let seen = node.observe(wait, |observation| {
                matches!(observation, Observation::Changed(_, NodeState::Alive))
            });
            assert!(seen, "{} has not seen {}", node.key.id, expected.id);
        }
    }
    let handover = RumorBody::Handover(keys[0].clone());
    nodes[4].inject(MembershipEvent::Publish(handover.clone()));
    for node in &nodes[..4] {
        let received = |observation: &Observation| match observation {
            Observation::Rumor(body) => *body == handover,
            Observation::Changed(..) => false,
        };
        assert!(node.observe(wait, received));
    }
    let last = nodes.pop().expect("five nodes were started");
    last.stop();
    for node in &nodes {
        let dead = |observation: &Observation| match observation {
            Observation::Changed(key, state) => *key == keys[4] && *state == NodeState::Dead,
            Observation::Rumor(_) => false,
        };
        assert!(node.observe(Duration::from_secs(3), dead));
    }
    for node in nodes {
        node.stop();
    }
}
