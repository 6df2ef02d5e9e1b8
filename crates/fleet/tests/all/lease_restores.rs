//! The lease while the store comes back from older copies, nodes are killed and started again, and messages are lost.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use jaysaddle_fleet::lease::LeaseClaim;
use jaysaddle_fleet::lease::LeaseEffect;
use jaysaddle_fleet::lease::LeaseEvent;
use jaysaddle_fleet::lease::LeaseHandover;
use jaysaddle_fleet::lease::LeaseRecord;
use jaysaddle_fleet::lease::LeaseState;
use jaysaddle_fleet::lease::LeaseTiming;
use jaysaddle_fleet::lease::LeaseWrite;
use jaysaddle_fleet::lease::TermNode;
use jaysaddle_test_support::TestRandom;
use jaysaddle_test_support::seeds;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::Timestamp;

pub const NODES: usize = 5;
pub const HEARTBEAT_MS: u64 = 200;
pub const TICK_MS: u64 = 100;
pub const UNTIL_MS: u64 = 60_000;
/// Time after which nothing is disturbed.
pub const QUIET_MS: u64 = UNTIL_MS - 15_000;

type StoredLease = Option<(u64, LeaseRecord)>;

/// The store: the lease object, with its states in the past.
pub struct FakeStore {
    object: StoredLease,
    revision: u64,
    era: u64,
    pub is_down: bool,
    past: Vec<(u64, StoredLease, u64)>,
}

#[derive(Clone, Debug)]
enum Message {
    /// A call arrives at the store.
    Call {
        node: usize,
        life: u64,
        sent_restores: u64,
        effect: LeaseEffect,
    },
    /// The outcome of a call arrives at its node, with the era of the response.
    Answer {
        node: usize,
        life: u64,
        sent_restores: u64,
        era: Option<u64>,
        event: LeaseEvent,
    },
    Heartbeat {
        node: usize,
        claim: Option<LeaseClaim>,
        handover: Option<LeaseHandover>,
        latest_term: LeaseEpoch,
        era: u64,
    },
}

pub struct FakeNode {
    pub lease: LeaseState,
    pub life: u64,
    pub is_up: bool,
    era: u64,
    restores: u64,
    /// Handover that the node repeats in its heartbeats until it ends.
    pub handover: Option<(LeaseHandover, Timestamp)>,
}

pub struct LeaseCluster {
    pub nodes: Vec<FakeNode>,
    pub store: FakeStore,
    pub now: u64,
    pub random: TestRandom,
    messages: BinaryHeap<Reverse<(u64, u64)>>,
    contents: BTreeMap<u64, Message>,
    next_message: u64,
    /// A node that receives no heartbeats, and until when.
    cut: (usize, u64),
    /// A node that is to be killed, and when.
    pending_kill: Option<(usize, u64)>,
    /// Terms in the order in which holders have begun them.
    pub acquired: Vec<LeaseEpoch>,
    /// Time for which the lease was held in the last five seconds.
    pub held_ms: u64,
    /// Probability of a heartbeat's second delivery, and how much later it may be.
    pub doubled: (u64, u64),
}

/// The run of a node with its number of starts.
pub fn node_key(number: usize, life: u64) -> NodeKey {
    NodeKey {
        id: NodeId::new(format!("n{number}")),
        incarnation: Incarnation(life),
    }
}

pub fn new_node(number: usize, life: u64) -> FakeNode {
    let key = node_key(number, life);
    let term_node = TermNode::of(&key.id, key.incarnation);
    let mut lease = LeaseState::new(key, term_node, LeaseTiming::default());
    if life > 1 {
        lease.delay_acquisition();
    }
    FakeNode {
        lease,
        life,
        is_up: true,
        era: 0,
        restores: 0,
        handover: None,
    }
}

impl LeaseCluster {
    pub fn new(seed: u64) -> Self {
        Self {
            nodes: (0..NODES).map(|number| new_node(number, 1)).collect(),
            store: FakeStore {
                object: None,
                revision: 10,
                era: 1,
                is_down: false,
                past: Vec::new(),
            },
            now: 0,
            random: TestRandom::new(seed),
            messages: BinaryHeap::new(),
            contents: BTreeMap::new(),
            next_message: 0,
            cut: (0, 0),
            pending_kill: None,
            acquired: Vec::new(),
            held_ms: 0,
            doubled: (0, 0),
        }
    }

    fn post(&mut self, delay: u64, message: Message) {
        self.next_message += 1;
        let number = self.next_message;
        self.messages.push(Reverse((self.now + delay, number)));
        self.contents.insert(number, message);
    }

    pub fn step(&mut self, node: usize, event: LeaseEvent) {
        let effects = self.nodes[node].lease.step(event, Timestamp(self.now));
        for effect in effects {
            match effect {
                LeaseEffect::Acquired(term) => {
                    self.acquired.push(term);
                    // One holder in four is killed before most peers hear of it.
                    if self.random.below(4) == 0 && self.now < QUIET_MS {
                        self.pending_kill = Some((node, self.now + self.random.below(150)));
                    }
                }
                LeaseEffect::Read | LeaseEffect::Write { .. } => {
                    let delay = match self.random.below(50) {
                        0 => self.random.below(4000),
                        _ => 1 + self.random.below(20),
                    };
                    let message = Message::Call {
                        node,
                        life: self.nodes[node].life,
                        sent_restores: self.nodes[node].restores,
                        effect,
                    };
                    self.post(delay, message);
                }
                LeaseEffect::HandoverAccepted(term) => self.acquired.push(term),
                LeaseEffect::Lost => {}
            }
        }
    }

    fn execute(&mut self, effect: &LeaseEffect) -> LeaseEvent {
        let store = &mut self.store;
        let version_of = |object: &StoredLease| object.as_ref().map(|(version, _)| *version);
        match effect {
            LeaseEffect::Write { version, record } => {
                if version.map(|version| version.0) != version_of(&store.object) {
                    return LeaseEvent::Written(LeaseWrite::Conflict);
                }
                store.revision += 1;
                store.object = Some((store.revision, record.clone()));
                LeaseEvent::Written(LeaseWrite::Done {
                    version: ObjectVersion(store.revision),
                })
            }
            _ => LeaseEvent::Read(
                store
                    .object
                    .clone()
                    .map(|(version, record)| (ObjectVersion(version), record)),
            ),
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Call {
                node,
                life,
                sent_restores,
                effect,
            } => {
                let is_write = matches!(effect, LeaseEffect::Write { .. });
                let (era, event) = if self.store.is_down {
                    let event = if is_write {
                        LeaseEvent::Written(LeaseWrite::NotWritten)
                    } else {
                        LeaseEvent::ReadFailed
                    };
                    (None, event)
                } else {
                    (Some(self.store.era), self.execute(&effect))
                };
                // One response in twenty is lost; the node then times out.
                let (era, event, delay) = match (self.random.below(20), is_write) {
                    (0, true) => (None, LeaseEvent::Written(LeaseWrite::Unknown), 900),
                    (0, false) => (None, LeaseEvent::ReadFailed, 900),
                    _ => (era, event, 1 + self.random.below(10)),
                };
                let answer = Message::Answer {
                    node,
                    life,
                    sent_restores,
                    era,
                    event,
                };
                self.post(delay, answer);
            }
            Message::Answer {
                node,
                life,
                sent_restores,
                era,
                event,
            } => {
                if !self.nodes[node].is_up || self.nodes[node].life != life {
                    return;
                }
                if let Some(era) = era {
                    self.observe_era(node, era);
                }
                if self.nodes[node].restores == sent_restores {
                    self.step(node, event);
                }
            }
            Message::Heartbeat {
                node,
                claim,
                handover,
                latest_term,
                era,
            } => {
                if self.nodes[node].is_up {
                    self.observe_era(node, era);
                    self.step(node, LeaseEvent::TermSeen(latest_term));
                    if let Some(claim) = claim {
                        self.step(node, LeaseEvent::Claimed(claim));
                    }
                    if let Some(handover) = handover {
                        let event = LeaseEvent::HandoverReceived {
                            handover,
                            is_store_unreachable: self.store.is_down && !self.is_cut(node),
                        };
                        self.step(node, event);
                    }
                }
            }
        }
    }

    /// As the entry daemon, which learns the first era from the store and compares later ones.
    fn observe_era(&mut self, node: usize, era: u64) {
        let known = self.nodes[node].era;
        self.nodes[node].era = known.max(era);
        if known != 0 && era > known {
            self.nodes[node].restores += 1;
            self.step(node, LeaseEvent::StoreRestored);
        }
    }

    pub fn send_heartbeats(&mut self, from: usize) {
        let now = Timestamp(self.now);
        let lease = &self.nodes[from].lease;
        let claim = lease.claim(now);
        let handover = self.nodes[from].handover.as_ref();
        let handover = handover.and_then(|(handover, since)| handover.after(now.since(*since)));
        let (latest_term, era) = (lease.latest_term(), self.nodes[from].era);
        for node in (0..NODES).filter(|node| *node != from) {
            let is_cut = self.is_cut(node) || self.is_cut(from);
            if !is_cut && self.random.below(10) > 0 {
                let delay = 1 + self.random.below(30);
                let message = Message::Heartbeat {
                    node,
                    claim,
                    handover: handover.clone(),
                    latest_term,
                    era,
                };
                let (percent, lateness) = self.doubled;
                if percent > 0 && self.random.below(100) < percent {
                    let copied = delay + self.random.below(lateness);
                    self.post(copied, message.clone());
                }
                self.post(delay, message);
            }
        }
    }

    /// Delivers the messages that are due.
    pub fn deliver_messages(&mut self) {
        while let Some(Reverse((time, number))) = self.messages.peek().copied()
            && time <= self.now
        {
            self.messages.pop();
            if let Some(message) = self.contents.remove(&number) {
                self.handle(message);
            }
        }
    }

    fn restore(&mut self, age: u64) {
        // Half of the copies are from a moment at which the lease was free, if there was one.
        let since = self.now.saturating_sub(10_000);
        let free = self.store.past.iter().rev().find(|(time, object, _)| {
            *time >= since
                && object
                    .as_ref()
                    .is_some_and(|(_, record)| record.holder.is_none())
        });
        let free = free.map(|(time, _, _)| *time);
        let until = match free.filter(|_| age.is_multiple_of(2)) {
            Some(time) => time,
            None => self.now.saturating_sub(age),
        };
        let copy = self
            .store
            .past
            .iter()
            .rev()
            .find(|(time, _, _)| *time <= until);
        let (_, object, revision) = copy.cloned().unwrap_or((0, None, 10));
        self.store.object = object;
        self.store.revision = revision;
        self.store.era += 1;
    }

    fn run(&mut self) {
        let mut restores = BTreeMap::new();
        let mut kills = BTreeMap::new();
        let mut time = 3000;
        while time < QUIET_MS - 8000 {
            let away = self.random.below(2) * self.random.below(3000);
            restores.insert(time, (away, 200 + self.random.below(10_000)));
            if self.random.below(3) == 0 {
                restores.insert(time + away + 500, (0, 200 + self.random.below(3000)));
            }
            for _ in 0..self.random.below(3) {
                let moment = time + self.random.below(4000);
                kills.insert(
                    moment.saturating_sub(2000),
                    self.random.below(NODES as u64 + 1),
                );
            }
            time += 4000 + self.random.below(8000);
        }
        let mut restore_at = None;
        let mut starts: BTreeMap<u64, usize> = BTreeMap::new();
        for now in 0..UNTIL_MS {
            self.now = now;
            if let Some((away, age)) = restores.get(&now).copied() {
                self.store.is_down = away > 0;
                restore_at = Some((now + away, age));
                let node = usize::try_from(self.random.below(NODES as u64)).unwrap_or(0);
                self.cut = (node, now + self.random.below(8000));
            }
            if let Some((time, age)) = restore_at
                && time <= now
            {
                self.restore(age);
                self.store.is_down = false;
                restore_at = None;
            }
            if let Some(choice) = kills.get(&now) {
                let holder = self.holders().first().copied();
                // One choice stands for the holder.
                let node = usize::try_from(*choice)
                    .ok()
                    .filter(|node| *node < NODES)
                    .or(holder);
                if let Some(node) = node.filter(|node| self.nodes[*node].is_up) {
                    if self.random.below(2) == 0 {
                        self.step(node, LeaseEvent::Resign);
                    }
                    self.nodes[node].is_up = false;
                    starts.insert(now + 300 + self.random.below(3000), node);
                }
            }
            if let Some(node) = starts.remove(&now) {
                self.nodes[node] = new_node(node, self.nodes[node].life + 1);
            }
            self.deliver_messages();
            for node in 0..NODES {
                if !self.nodes[node].is_up {
                    continue;
                }
                if (now + node as u64 * 17).is_multiple_of(TICK_MS) {
                    let rank = (0..node).filter(|other| self.nodes[*other].is_up).count();
                    let event = LeaseEvent::Tick {
                        rank: u32::try_from(rank).unwrap_or(0),
                        // A node that hears no peers does not know a majority to be without the store.
                        is_store_unreachable: self.store.is_down && !self.is_cut(node),
                    };
                    self.step(node, event);
                }
                if (now + node as u64 * 41).is_multiple_of(HEARTBEAT_MS) {
                    self.send_heartbeats(node);
                }
            }
            self.store
                .past
                .push((now, self.store.object.clone(), self.store.revision));
            let holders = self.holders();
            assert!(holders.len() <= 1, "holders {holders:?} at {now} ms");
            self.held_ms += u64::from(!holders.is_empty() && now >= UNTIL_MS - 5000);
        }
    }

    pub fn is_cut(&self, node: usize) -> bool {
        let (cut, until) = self.cut;
        node == cut && self.now < until
    }

    pub fn holders(&self) -> Vec<usize> {
        let now = Timestamp(self.now);
        (0..NODES)
            .filter(|node| self.nodes[*node].is_up)
            .filter(|node| self.nodes[*node].lease.held_term(now).is_some())
            .collect()
    }
}

/// Guards against two holders at a time and against terms that are given out twice, while the store comes back from
/// older copies, twice in a row too, and holders are killed around it. `JAYSADDLE_SEED` and `JAYSADDLE_RUNS` override
/// the first seed and the number of runs.
#[test]
fn one_holder_and_distinct_terms_across_restores() {
    for seed in seeds(20_261_204, 30) {
        println!("JAYSADDLE_SEED={seed}");
        let mut cluster = LeaseCluster::new(seed);
        cluster.run();
        let distinct: BTreeSet<_> = cluster.acquired.iter().collect();
        assert_eq!(
            distinct.len(),
            cluster.acquired.len(),
            "{:?}",
            cluster.acquired
        );
        assert!(cluster.held_ms > 0, "no node holds the lease in the end");
    }
}

/// Guards against a lease that is lost because the copy names an earlier holder.
#[test]
fn holder_writes_its_lease_over_an_older_one() {
    let key = NodeKey {
        id: NodeId::new("a"),
        incarnation: Incarnation(1),
    };
    let mut lease = LeaseState::new(key, TermNode(3), LeaseTiming::default());
    let tick = LeaseEvent::Tick {
        rank: 0,
        is_store_unreachable: false,
    };
    lease.step(LeaseEvent::TermSeen(LeaseEpoch(6 << 20)), Timestamp(1000));
    lease.step(tick.clone(), Timestamp(1000));
    lease.step(LeaseEvent::Read(None), Timestamp(1010));
    let version = ObjectVersion(40);
    lease.step(
        LeaseEvent::Written(LeaseWrite::Done { version }),
        Timestamp(1020),
    );
    let term = LeaseEpoch((7 << 20) | 3);
    assert_eq!(lease.held_term(Timestamp(1030)), Some(term));
    lease.step(LeaseEvent::StoreRestored, Timestamp(1100));
    assert_eq!(lease.step(tick, Timestamp(1200)), vec![LeaseEffect::Read]);
    let older = LeaseRecord {
        holder: Some(NodeId::new("b")),
        term: LeaseEpoch(5 << 20),
        write_number: 3,
    };
    let read = LeaseEvent::Read(Some((ObjectVersion(12), older)));
    let effects = lease.step(read, Timestamp(1210));
    let [
        LeaseEffect::Write {
            version: Some(ObjectVersion(12)),
            record,
        },
    ] = &effects[..]
    else {
        panic!("{effects:?}");
    };
    assert_eq!(record.term, term);
    assert_eq!(
        lease.claim(Timestamp(1220)).map(|claim| claim.term),
        Some(term)
    );
}
