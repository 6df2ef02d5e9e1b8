//! Simulation of a cluster: lease tables on clocks with different rates, over a store that loses
//! responses, delays writes and has outages.

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

/// Default seed of random simulations, which `JAYSADDLE_SEED` overrides.
pub const DEFAULT_SEED: u64 = 20_261_203;

/// Returns the key of node `index`.
pub fn node_key(index: usize) -> NodeKey {
    NodeKey {
        id: NodeId::new(format!("node-{index}")),
        incarnation: Incarnation(1),
    }
}

/// Returns the id of shard `index`.
pub fn shard_id(index: usize) -> FabricDomainId {
    FabricDomainId::new(format!("fabric-{index}"))
}

/// Returns the region of node or shard `index`.
pub fn region_of(index: usize) -> RegionId {
    RegionId::new(format!("region-{}", index % REGIONS))
}

/// Returns the given nodes as candidates.
pub fn candidates(nodes: impl IntoIterator<Item = usize>) -> Vec<LeaseCandidate> {
    let location = |index| LeaseCandidate {
        node: node_key(index),
        region: region_of(index),
    };
    nodes.into_iter().map(location).collect()
}

/// Returns the first `count` shards with their regions.
pub fn shard_locations(count: usize) -> Vec<ShardLocation> {
    let location = |index| ShardLocation {
        shard: shard_id(index),
        region: region_of(index),
    };
    (0..count).map(location).collect()
}

/// Faults of the store, each with its end in real time.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// The store is unavailable until this time.
    pub down_until: u64,
    /// Half of the responses are lost until this time.
    pub lossy_until: u64,
    /// Requests and responses take up to 3 s each until this time.
    pub slow_until: u64,
}

/// A node of the simulated cluster.
pub struct SimulatedNode {
    /// Lease table of the node.
    pub table: LeaseTable,
    /// The node handles no events until this time.
    pub paused_until: u64,
    /// Rate of its clock in thousandths of real time.
    clock_rate: u64,
    clock_offset: u64,
    /// Shards whose leases it has reported as acquired and not as lost since.
    reported: BTreeSet<FabricDomainId>,
}

impl SimulatedNode {
    /// Returns the time on its clock at a real time.
    pub fn clock(&self, real: u64) -> Timestamp {
        Timestamp(self.clock_offset + real * self.clock_rate / 1000)
    }
}

enum QueuedEvent {
    Node(usize, LeaseEvent),
    Store(usize, CallId, StoreRequest, bool),
}

struct QueueEntry(u64, u64, QueuedEvent);

impl PartialEq for QueueEntry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Simulated cluster, which checks the invariants of leases after each event.
pub struct SimulatedCluster {
    /// Real time in milliseconds.
    pub now: u64,
    /// Nodes by index.
    pub nodes: Vec<SimulatedNode>,
    /// Current faults of the store.
    pub faults: StoreFaults,
    /// Description of the first violated invariant.
    pub violation: Option<String>,
    /// Time of each call that reached the store, and whether it was a write.
    pub calls: Vec<(u64, bool)>,
    /// Acquisitions as (real time, node, shard).
    pub acquired: Vec<(u64, usize, FabricDomainId)>,
    objects: BTreeMap<String, (ObjectVersion, String)>,
    epochs: BTreeMap<FabricDomainId, LeaseEpoch>,
    random_state: u64,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    queued: u64,
}

impl SimulatedCluster {
    /// Creates a cluster whose nodes know all shards and each other. Clock rates differ from real
    /// time by up to 5 %.
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
            random_state: seed,
            queue: BinaryHeap::new(),
            queued: 0,
        };
        for index in 0..nodes {
            let settings = LeaseSettings::default();
            let node = SimulatedNode {
                table: LeaseTable::new(settings, node_key(index), seed),
                paused_until: 0,
                clock_rate: 950 + cluster.below(101),
                clock_offset: cluster.below(1_000_000),
                reported: BTreeSet::new(),
            };
            cluster.nodes.push(node);
            cluster.send(index, LeaseEvent::ShardsChanged(shard_locations(shards)));
            let live_nodes = candidates(0..nodes);
            cluster.send(index, LeaseEvent::CandidatesChanged(live_nodes));
            let phase = cluster.below(TICK_MS);
            cluster.push(phase, QueuedEvent::Node(index, LeaseEvent::Tick));
        }
        cluster
    }

    /// Returns a random number below `bound` (SplitMix64).
    pub fn below(&mut self, bound: u64) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed =
            (self.random_state ^ (self.random_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// Queues an event for a node at the current time.
    pub fn send(&mut self, node: usize, event: LeaseEvent) {
        self.push(self.now, QueuedEvent::Node(node, event));
    }

    /// Queues an event for a node at a later time.
    pub fn send_at(&mut self, time: u64, node: usize, event: LeaseEvent) {
        self.push(time, QueuedEvent::Node(node, event));
    }

    /// Returns the nodes that currently hold the lease of the shard.
    pub fn holders(&self, shard: &FabricDomainId) -> Vec<usize> {
        let holds = |index: &usize| {
            let node = &self.nodes[*index];
            node.table.holds(shard, node.clock(self.now)).is_some()
        };
        (0..self.nodes.len()).filter(holds).collect()
    }

    /// Simulates the cluster until a real time.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse(entry)) = self.queue.pop() {
            if entry.0 > end {
                self.queue.push(Reverse(entry));
                break;
            }
            let QueueEntry(time, number, queued_event) = entry;
            self.now = self.now.max(time);
            match queued_event {
                QueuedEvent::Node(node, event) => {
                    let resume = self.nodes[node].paused_until;
                    if resume > self.now {
                        let queued_event = QueuedEvent::Node(node, event);
                        self.queue
                            .push(Reverse(QueueEntry(resume, number, queued_event)));
                    } else {
                        self.step(node, event);
                    }
                }
                QueuedEvent::Store(node, call, request, lost) => {
                    self.arrive(node, call, request, lost);
                }
            }
        }
        self.now = end;
    }

    fn push(&mut self, time: u64, queued_event: QueuedEvent) {
        self.queued += 1;
        self.queue
            .push(Reverse(QueueEntry(time, self.queued, queued_event)));
    }

    fn record_violation(&mut self, text: String) {
        if self.violation.is_none() {
            self.violation = Some(format!("{text} at {} ms", self.now));
        }
    }

    fn step(&mut self, index: usize, event: LeaseEvent) {
        if event == LeaseEvent::Tick {
            let next = self.now + TICK_MS;
            self.push(next, QueuedEvent::Node(index, LeaseEvent::Tick));
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
        self.check_loss_reported_first(index, ended, &effects);
        for effect in effects {
            self.apply(index, effect);
        }
        self.check_holders(index);
    }

    /// Checks that a node reports an expired lease as lost before any other effect.
    fn check_loss_reported_first(
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
            self.record_violation(format!(
                "node {index} reported another effect before the loss of {shard}"
            ));
        }
    }

    fn check_holders(&mut self, index: usize) {
        let node = &self.nodes[index];
        let clock = node.clock(self.now);
        for (shard, _, _) in node.table.held(clock) {
            let holders = self.holders(&shard);
            if holders.len() > 1 {
                self.record_violation(format!("nodes {holders:?} both hold {shard}"));
            }
        }
    }

    fn apply(&mut self, index: usize, effect: LeaseEffect) {
        match effect {
            LeaseEffect::Acquired { shard, epoch } => {
                let last = self.epochs.insert(shard.clone(), epoch);
                if last.is_some_and(|last| last >= epoch) {
                    self.record_violation(format!(
                        "epoch of {shard} went from {last:?} to {epoch}"
                    ));
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

    fn network_delay_ms(&mut self) -> u64 {
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
            // The client times out; the call still reaches the store, possibly later.
            let times_out_at = self.now + 500 + self.below(1_000);
            let outcome = StoreOutcome::Unknown;
            let event = LeaseEvent::CallCompleted { call, outcome };
            self.push(times_out_at, QueuedEvent::Node(index, event));
            let arrives_at = self.now + self.below(4_000);
            self.push(arrives_at, QueuedEvent::Store(index, call, request, true));
            return;
        }
        let arrives_at = self.now + self.network_delay_ms();
        self.push(arrives_at, QueuedEvent::Store(index, call, request, false));
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
        let completes_at = self.now + self.network_delay_ms();
        let event = LeaseEvent::CallCompleted { call, outcome };
        self.push(completes_at, QueuedEvent::Node(index, event));
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

    /// Overwrites a lease object, as an operator may do.
    pub fn overwrite(&mut self, shard: &FabricDomainId, value: &str) {
        let object = self.objects.entry(shard.to_string()).or_default();
        *object = (object.0.next(), value.into());
    }

    /// Returns the stored lease; `None` when it is missing or cannot be decoded.
    pub fn stored(&self, shard: &FabricDomainId) -> Option<LeaseRecord> {
        let (_, value) = self.objects.get(shard.as_str())?;
        serde_json::from_str(value).ok()
    }
}
