//! A small fake cluster: lease tables on clocks of different rates over a fake store that loses
//! answers, delays writes and has outages.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use jaysaddle_lease::LeaseCandidate;
use jaysaddle_lease::LeaseEffect;
use jaysaddle_lease::LeaseEvent;
use jaysaddle_lease::LeaseRecord;
use jaysaddle_lease::LeaseSettings;
use jaysaddle_lease::LeaseTable;
use jaysaddle_lease::ShardLocation;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::RegionId;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::Timestamp;

const TICK_MS: u64 = 250;
const REGIONS: usize = 2;

/// Seed of the random runs unless `JAYSADDLE_SEED` names another.
pub const DEFAULT_SEED: u64 = 20_261_203;

/// A number from the environment, else the default.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Key of the node with this number.
pub fn node_key(index: usize) -> NodeKey {
    NodeKey {
        id: NodeId::new(format!("node-{index}")),
        incarnation: Incarnation(1),
    }
}

/// The shard with this number.
pub fn shard_id(index: usize) -> FabricDomainId {
    FabricDomainId::new(format!("fabric-{index}"))
}

/// Region of the node or shard with this number.
pub fn region_of(index: usize) -> RegionId {
    RegionId::new(format!("region-{}", index % REGIONS))
}

/// The nodes with these numbers as candidates.
pub fn candidates(nodes: impl IntoIterator<Item = usize>) -> Vec<LeaseCandidate> {
    let place = |index| LeaseCandidate {
        node: node_key(index),
        region: region_of(index),
    };
    nodes.into_iter().map(place).collect()
}

/// The first `count` shards.
pub fn shard_places(count: usize) -> Vec<ShardLocation> {
    let place = |index| ShardLocation {
        shard: shard_id(index),
        region: region_of(index),
    };
    (0..count).map(place).collect()
}

/// Faults of the store at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Calls are refused until then.
    pub down_until: u64,
    /// Answers are lost until then, in half of the calls.
    pub lossy_until: u64,
    /// Calls and answers take up to 3 s each until then.
    pub slow_until: u64,
}

/// A node of the fake cluster.
pub struct FakeNode {
    /// Its table.
    pub table: LeaseTable,
    /// It does nothing until then.
    pub paused_until: u64,
    /// Rate of its clock in thousandths.
    rate: u64,
    offset: u64,
    /// Shards that it has reported as acquired and not as lost.
    reported: BTreeSet<FabricDomainId>,
}

impl FakeNode {
    /// Its clock at a real time.
    pub fn clock(&self, real: u64) -> Timestamp {
        Timestamp(self.offset + real * self.rate / 1000)
    }
}

enum Delivery {
    Event(usize, LeaseEvent),
    Arrive(usize, CallId, StoreRequest, bool),
}

struct Entry(u64, u64, Delivery);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// The fake cluster. A violated invariant is kept in `violation`.
pub struct FakeCluster {
    /// Real time in milliseconds.
    pub now: u64,
    /// Nodes.
    pub nodes: Vec<FakeNode>,
    /// Faults of the store.
    pub faults: StoreFaults,
    /// First violated invariant.
    pub violation: Option<String>,
    /// Times of reads and writes that reached the store.
    pub calls: Vec<(u64, bool)>,
    /// Acquisitions as (time, node, shard).
    pub acquired: Vec<(u64, usize, FabricDomainId)>,
    objects: BTreeMap<String, (ObjectVersion, String)>,
    epochs: BTreeMap<FabricDomainId, LeaseEpoch>,
    noise: u64,
    queue: BinaryHeap<Reverse<Entry>>,
    numbers: u64,
}

impl FakeCluster {
    /// All nodes know all shards and each other; clock rates differ by up to 5 % from real time.
    pub fn new(seed: u64, nodes: usize, shards: usize) -> Self {
        let mut cluster = Self {
            now: 0,
            nodes: Vec::new(),
            faults: StoreFaults::default(),
            violation: None,
            calls: Vec::new(),
            acquired: Vec::new(),
            objects: BTreeMap::new(),
            epochs: BTreeMap::new(),
            noise: seed,
            queue: BinaryHeap::new(),
            numbers: 0,
        };
        for index in 0..nodes {
            let settings = LeaseSettings::default();
            let node = FakeNode {
                table: LeaseTable::new(settings, node_key(index), seed),
                paused_until: 0,
                rate: 950 + cluster.below(101),
                offset: cluster.below(1_000_000),
                reported: BTreeSet::new(),
            };
            cluster.nodes.push(node);
            cluster.send(index, LeaseEvent::ShardsChanged(shard_places(shards)));
            let places = candidates(0..nodes);
            cluster.send(index, LeaseEvent::CandidatesChanged(places));
            let phase = cluster.below(TICK_MS);
            cluster.push(phase, Delivery::Event(index, LeaseEvent::Tick));
        }
        cluster
    }

    /// Random number below `bound` (SplitMix64).
    pub fn below(&mut self, bound: u64) -> u64 {
        self.noise = self.noise.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.noise ^ (self.noise >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// Queues an event for a node.
    pub fn send(&mut self, node: usize, event: LeaseEvent) {
        self.push(self.now, Delivery::Event(node, event));
    }

    /// Queues an event for a node at a later time.
    pub fn send_at(&mut self, time: u64, node: usize, event: LeaseEvent) {
        self.push(time, Delivery::Event(node, event));
    }

    /// Nodes that hold the shard now.
    pub fn holders(&self, shard: &FabricDomainId) -> Vec<usize> {
        let holds = |index: &usize| {
            let node = &self.nodes[*index];
            node.table.holds(shard, node.clock(self.now)).is_some()
        };
        (0..self.nodes.len()).filter(holds).collect()
    }

    /// Lets real time pass.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse(entry)) = self.queue.pop() {
            if entry.0 > end {
                self.queue.push(Reverse(entry));
                break;
            }
            let Entry(time, number, delivery) = entry;
            self.now = self.now.max(time);
            match delivery {
                Delivery::Event(node, event) => {
                    let resume = self.nodes[node].paused_until;
                    if resume > self.now {
                        let delivery = Delivery::Event(node, event);
                        self.queue.push(Reverse(Entry(resume, number, delivery)));
                    } else {
                        self.step(node, event);
                    }
                }
                Delivery::Arrive(node, call, request, lost) => {
                    self.arrive(node, call, request, lost);
                }
            }
        }
        self.now = end;
    }

    fn push(&mut self, time: u64, delivery: Delivery) {
        self.numbers += 1;
        self.queue
            .push(Reverse(Entry(time, self.numbers, delivery)));
    }

    fn violate(&mut self, text: String) {
        if self.violation.is_none() {
            self.violation = Some(format!("{text} at {} ms", self.now));
        }
    }

    fn step(&mut self, index: usize, event: LeaseEvent) {
        if event == LeaseEvent::Tick {
            let next = self.now + TICK_MS;
            self.push(next, Delivery::Event(index, LeaseEvent::Tick));
        }
        let node = &mut self.nodes[index];
        let clock = node.clock(self.now);
        let ended: BTreeSet<FabricDomainId> = node
            .reported
            .iter()
            .filter(|shard| node.table.holds(shard, clock).is_none())
            .cloned()
            .collect();
        let effects = node.table.step(event, clock);
        self.check_lost_first(index, ended, &effects);
        for effect in effects {
            self.apply(index, effect);
        }
        self.check_holders(index);
    }

    /// A holder whose lease has ended reports that before any other effect.
    fn check_lost_first(
        &mut self,
        index: usize,
        mut ended: BTreeSet<FabricDomainId>,
        effects: &[LeaseEffect],
    ) {
        for effect in effects {
            match effect {
                LeaseEffect::Lost { shard } => {
                    ended.remove(shard);
                }
                LeaseEffect::Decision(_) => {}
                _ => break,
            }
        }
        if let Some(shard) = ended.first() {
            self.violate(format!("node {index} did not first report {shard} as lost"));
        }
    }

    fn check_holders(&mut self, index: usize) {
        let node = &self.nodes[index];
        let clock = node.clock(self.now);
        for (shard, _, _) in node.table.held(clock) {
            let holders = self.holders(&shard);
            if holders.len() > 1 {
                self.violate(format!("nodes {holders:?} both hold {shard}"));
            }
        }
    }

    fn apply(&mut self, index: usize, effect: LeaseEffect) {
        match effect {
            LeaseEffect::Acquired { shard, epoch } => {
                let last = self.epochs.insert(shard.clone(), epoch);
                if last.is_some_and(|last| last >= epoch) {
                    self.violate(format!("epoch of {shard} went from {last:?} to {epoch}"));
                }
                self.nodes[index].reported.insert(shard.clone());
                self.acquired.push((self.now, index, shard));
            }
            LeaseEffect::Lost { shard } => {
                self.nodes[index].reported.remove(&shard);
            }
            LeaseEffect::Call { call, request } => self.send_call(index, call, request),
            LeaseEffect::Decision(_) => {}
        }
    }

    fn travel_ms(&mut self) -> u64 {
        let longest = if self.faults.slow_until > self.now {
            3_000
        } else {
            20
        };
        1 + self.below(longest)
    }

    fn send_call(&mut self, index: usize, call: CallId, request: StoreRequest) {
        let lossy = self.faults.lossy_until > self.now;
        if lossy && self.below(2) == 0 {
            // The client gives up; the call still arrives, possibly after that.
            let gives_up = self.now + 500 + self.below(1_000);
            let outcome = StoreOutcome::Unknown;
            let event = LeaseEvent::CallAnswered { call, outcome };
            self.push(gives_up, Delivery::Event(index, event));
            let arrives = self.now + self.below(4_000);
            self.push(arrives, Delivery::Arrive(index, call, request, true));
            return;
        }
        let arrives = self.now + self.travel_ms();
        self.push(arrives, Delivery::Arrive(index, call, request, false));
    }

    fn arrive(&mut self, index: usize, call: CallId, request: StoreRequest, lost: bool) {
        let is_write = matches!(request, StoreRequest::Put { .. });
        self.calls.push((self.now, is_write));
        let outcome = if self.faults.down_until > self.now {
            StoreOutcome::Unavailable
        } else {
            self.serve(request)
        };
        if lost {
            return;
        }
        let answered = self.now + self.travel_ms();
        let event = LeaseEvent::CallAnswered { call, outcome };
        self.push(answered, Delivery::Event(index, event));
    }

    fn serve(&mut self, request: StoreRequest) -> StoreOutcome {
        match request {
            StoreRequest::Get { name, .. } => match self.objects.get(name.as_str()) {
                None => StoreOutcome::Missing,
                Some((version, value)) => StoreOutcome::Found(StoredObject {
                    name,
                    version: *version,
                    revision: StoreRevision(0),
                    value: value.clone(),
                }),
            },
            StoreRequest::Put {
                name,
                expected,
                value,
                ..
            } => {
                let stored = self.objects.get(name.as_str());
                let version = stored.map_or(ObjectVersion(0), |object| object.0);
                if version != expected {
                    return StoreOutcome::Conflict(version);
                }
                self.objects
                    .insert(name.to_string(), (version.next(), value));
                StoreOutcome::Written(version.next())
            }
        }
    }

    /// Overwrites an object, as an operator may.
    pub fn overwrite(&mut self, shard: &FabricDomainId, value: &str) {
        let object = self.objects.entry(shard.to_string()).or_default();
        *object = (object.0.next(), value.into());
    }

    /// The lease as stored.
    pub fn stored(&self, shard: &FabricDomainId) -> Option<LeaseRecord> {
        let (_, value) = self.objects.get(shard.as_str())?;
        serde_json::from_str(value).ok()
    }
}
