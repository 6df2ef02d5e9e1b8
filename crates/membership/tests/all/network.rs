//! A simulated in-memory network of trackers with loss, delay, reordering, pauses, kills and
//! partitions. All randomness comes from one seed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_membership::MembershipEffect;
use jaysaddle_membership::MembershipEvent;
use jaysaddle_membership::MembershipSettings;
use jaysaddle_membership::MembershipTracker;
use jaysaddle_membership::RumorBody;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::RegionId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::Timestamp;
use jaysaddle_wire::FrameCodec;
use jaysaddle_wire::messages::PeerMessage;

/// Milliseconds between ticks of a node, as the control plane sends them.
pub const TICK_MS: u64 = 100;

/// Settings of the simulated network.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// Share of lost messages, in permille.
    pub loss_permille: u64,
    /// Minimum and maximum one-way delay in milliseconds; messages may be reordered.
    pub delay_ms: (u64, u64),
    /// Seed of all random choices.
    pub seed: u64,
    /// Settings of all trackers.
    pub tracker: MembershipSettings,
}

impl Default for NetworkSettings {
    fn default() -> Self {
        Self {
            loss_permille: 0,
            delay_ms: (1, 5),
            seed: 1,
            tracker: MembershipSettings::default(),
        }
    }
}

/// A simulated node and its observed behavior.
pub struct FakeNode {
    pub tracker: MembershipTracker,
    pub running: bool,
    pub paused: bool,
    pub bytes_sent: u64,
    pub bytes_received: u64,
    pub messages_sent: u64,
    /// Total time spent in the tracker.
    pub step_time: Duration,
    /// Received facts with their origins, in order of arrival.
    pub rumors: Vec<(NodeKey, RumorBody)>,
    /// State changes as (node run, state, time), in order.
    pub changes: Vec<(NodeKey, NodeState, u64)>,
    pub reconnects: u64,
    partition_id: u32,
    inbox: Vec<MembershipEvent>,
    incarnation: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum ScheduledEvent {
    Tick { node: usize, incarnation: u64 },
    Arrive { to: usize, event: MembershipEvent },
}

/// The simulated network and its clock.
pub struct FakeNetwork {
    pub settings: NetworkSettings,
    pub nodes: Vec<FakeNode>,
    pub now: u64,
    /// Pairs (from, to) whose connection is stalled until the sender opens a new one.
    pub stalled: BTreeSet<(usize, usize)>,
    /// Pairs (from, to) between which no connection works.
    pub blocked: BTreeSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: BTreeMap<u64, ScheduledEvent>,
    next: u64,
    random: u64,
}

/// Returns the peer address of a node.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, (node >> 8) as u8, node as u8), 7401))
}

fn index_of(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            Some((usize::from(high) << 8) | usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

/// Returns the key of a node's run.
pub fn key(node: usize, incarnation: u64) -> NodeKey {
    NodeKey {
        id: NodeId::new(format!("entry-{node}")),
        incarnation: Incarnation(incarnation),
    }
}

/// Returns the record of a node's run.
pub fn record(node: usize, incarnation: u64) -> NodeRecord {
    let mut callers = address(node);
    callers.set_port(7400);
    NodeRecord {
        key: key(node, incarnation),
        callers,
        peers: address(node),
        failure_domain: FailureDomainId::new(format!("hall-{}", node % 3)),
        region: RegionId::new("tn-north"),
    }
}

impl FakeNetwork {
    pub fn new(settings: NetworkSettings) -> Self {
        Self {
            random: settings.seed,
            settings,
            nodes: Vec::new(),
            now: 1000,
            stalled: BTreeSet::new(),
            blocked: BTreeSet::new(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next: 0,
        }
    }

    /// Creates a network of `count` nodes, the first two of which are the seeds.
    pub fn with_nodes(settings: NetworkSettings, count: usize) -> Self {
        let mut network = Self::new(settings);
        for _ in 0..count {
            network.add_node();
        }
        network
    }

    pub fn random(&mut self, bound: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % bound.max(1)
    }

    pub fn add_node(&mut self) -> usize {
        let node = self.nodes.len();
        let tracker = self.new_tracker(node, 1);
        self.nodes.push(FakeNode {
            tracker,
            running: true,
            paused: false,
            bytes_sent: 0,
            bytes_received: 0,
            messages_sent: 0,
            step_time: Duration::ZERO,
            rumors: Vec::new(),
            changes: Vec::new(),
            reconnects: 0,
            partition_id: 0,
            inbox: Vec::new(),
            incarnation: 1,
        });
        self.schedule_tick(node);
        node
    }

    fn new_tracker(&mut self, node: usize, incarnation: u64) -> MembershipTracker {
        let seed = self.random(u64::MAX);
        let settings = self.settings.tracker.clone();
        let seeds = vec![address(0), address(1)];
        MembershipTracker::new(settings, record(node, incarnation), seeds, seed)
    }

    fn schedule_tick(&mut self, node: usize) {
        let offset = self.random(TICK_MS);
        let incarnation = self.nodes[node].incarnation;
        self.push(offset, ScheduledEvent::Tick { node, incarnation });
    }

    fn push(&mut self, delay: u64, event: ScheduledEvent) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.scheduled.insert(self.next, event);
    }

    /// Stops a node without a leave notice.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].running = false;
        self.nodes[node].paused = false;
        self.nodes[node].inbox.clear();
    }

    /// Starts a killed node as a new run.
    pub fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        let tracker = self.new_tracker(node, incarnation);
        let fake = &mut self.nodes[node];
        fake.tracker = tracker;
        fake.incarnation = incarnation;
        fake.running = true;
        fake.paused = false;
        fake.rumors.clear();
        fake.changes.clear();
        self.schedule_tick(node);
    }

    /// Pauses a node; incoming messages are buffered, as in its socket buffers.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = self.nodes[node].running;
    }

    /// Resumes a paused node. Its timers fire before it reads the buffered messages, which is the
    /// order most likely to cause a wrong conclusion.
    pub fn resume(&mut self, node: usize) {
        if std::mem::take(&mut self.nodes[node].paused) {
            self.step(node, MembershipEvent::Tick);
            for event in std::mem::take(&mut self.nodes[node].inbox) {
                self.step(node, event);
            }
        }
    }

    /// Assigns each node to a partition; messages do not cross partitions.
    pub fn partition(&mut self, partition_of: impl Fn(usize) -> u32) {
        for (node, fake) in self.nodes.iter_mut().enumerate() {
            fake.partition_id = partition_of(node);
        }
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(Reverse((time, id))) = self.queue.peek().copied()
            && time <= end
        {
            self.queue.pop();
            self.now = time;
            match self.scheduled.remove(&id) {
                Some(ScheduledEvent::Tick { node, incarnation }) => self.tick(node, incarnation),
                Some(ScheduledEvent::Arrive { to, event }) => self.arrive(to, event),
                None => {}
            }
        }
        self.now = end;
    }

    /// Runs until the condition holds; returns the elapsed time, or `None` after `limit`.
    pub fn run_until(&mut self, limit: u64, done: impl Fn(&FakeNetwork) -> bool) -> Option<u64> {
        let start = self.now;
        while !done(self) {
            if self.now - start >= limit {
                return None;
            }
            self.run(100);
        }
        Some(self.now - start)
    }

    fn tick(&mut self, node: usize, incarnation: u64) {
        if !self.nodes[node].running || self.nodes[node].incarnation != incarnation {
            return;
        }
        if !self.nodes[node].paused {
            self.step(node, MembershipEvent::Tick);
        }
        self.push(TICK_MS, ScheduledEvent::Tick { node, incarnation });
    }

    fn arrive(&mut self, to: usize, event: MembershipEvent) {
        let fake = &mut self.nodes[to];
        if !fake.running {
            return;
        }
        if fake.paused {
            fake.inbox.push(event);
            return;
        }
        self.step(to, event);
    }

    /// Applies an event to a node at the current time.
    pub fn step(&mut self, node: usize, event: MembershipEvent) {
        if let MembershipEvent::Received(message) = &event {
            self.nodes[node].bytes_received += FrameCodec::frame_bytes(message) as u64;
        }
        let now = Timestamp(self.now);
        let started = Instant::now();
        let effects = self.nodes[node].tracker.step(event, now);
        self.nodes[node].step_time += started.elapsed();
        for effect in effects {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, node: usize, effect: MembershipEffect) {
        let now = self.now;
        let fake = &mut self.nodes[node];
        match effect {
            MembershipEffect::Send { to, message } => self.send(node, to, message),
            MembershipEffect::Reconnect { to } => {
                fake.reconnects += 1;
                if let Some(to) = index_of(to) {
                    self.stalled.remove(&(node, to));
                }
            }
            MembershipEffect::NodeChanged { record, state } => {
                fake.changes.push((record.key, state, now));
            }
            MembershipEffect::RumorReceived { origin, body } => fake.rumors.push((origin, body)),
            MembershipEffect::Decision(_) => {}
        }
    }

    fn send(&mut self, from: usize, address: SocketAddr, message: PeerMessage) {
        let fake = &mut self.nodes[from];
        fake.bytes_sent += FrameCodec::frame_bytes(&message) as u64;
        fake.messages_sent += 1;
        let Some(to) = index_of(address).filter(|to| *to < self.nodes.len()) else {
            return;
        };
        let same_partition = self.nodes[from].partition_id == self.nodes[to].partition_id;
        let lost = self.random(1000) < self.settings.loss_permille;
        let undeliverable =
            self.stalled.contains(&(from, to)) || self.blocked.contains(&(from, to));
        if !same_partition || lost || undeliverable {
            return;
        }
        let (shortest, longest) = self.settings.delay_ms;
        let delay = shortest + self.random(longest - shortest + 1);
        if !self.nodes[to].running {
            // A closed port refuses the connection; the sender detects it after a round trip.
            let event = MembershipEvent::SendFailed(address);
            self.push(2 * delay, ScheduledEvent::Arrive { to: from, event });
            return;
        }
        let event = MembershipEvent::Received(message);
        self.push(delay, ScheduledEvent::Arrive { to, event });
    }

    /// Returns the state of `subject`'s current run as seen by `observer`.
    pub fn observed_state(&self, observer: usize, subject: usize) -> Option<NodeState> {
        let incarnation = self.nodes[subject].incarnation;
        let tracker = &self.nodes[observer].tracker;
        tracker
            .record(&key(subject, incarnation))
            .map(|(_, state)| state)
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].running && !self.nodes[*node].paused)
            .collect()
    }

    /// Returns the first mismatch between the view of a running node and the nodes that run, or
    /// `None` if the views are correct.
    pub fn disagreement(&self) -> Option<String> {
        for observer in self.running() {
            for subject in 0..self.nodes.len() {
                let seen = self.observed_state(observer, subject);
                let expected = self.nodes[subject].running;
                let matches = match seen {
                    Some(NodeState::Alive | NodeState::Leaving) => expected,
                    Some(NodeState::Suspect) => false,
                    Some(NodeState::Dead) | None => !expected,
                };
                if !matches {
                    return Some(format!(
                        "at {} ms node {observer} sees node {subject} as {seen:?}, running: {expected}",
                        self.now
                    ));
                }
            }
        }
        None
    }
}
