//! A simulated fleet of trackers, VMs and the links between them, driven by injected faults.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use jaysaddle_health::HealthEffect;
use jaysaddle_health::HealthEvent;
use jaysaddle_health::HealthSettings;
use jaysaddle_health::HealthTracker;
use jaysaddle_health::ProbeFailure;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::evidence::VmEvidence;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::VmState;

use crate::support::TestRng;
use crate::support::domain_of;
use crate::support::node_key;
use crate::support::report;
use crate::support::target;
use crate::support::vm_id;
use crate::support::watcher_nodes;

/// Number of nodes.
pub const NODES: usize = 5;
/// Nodes below this index are on the first side of a partition.
pub const PARTITION_BOUNDARY: usize = 2;
/// During a partition, VMs below the first index are reached from the first side only, those below
/// the second index from the second side only, and the others from both.
const VM_PARTITION_BOUNDS: (usize, usize) = (3, 6);
/// Number of VMs.
pub const VMS: usize = 9;
const TICK_MS: u64 = 200;
const TIMEOUT_MS: u64 = 1000;
/// Maximum delay of a rumor.
const RUMOR_MS: u64 = 1500;

/// A simulated VM.
#[derive(Clone, Debug, Default)]
pub struct FakeVm {
    /// Time until which the VM does not respond.
    pub down_until: u64,
    /// Whether its engine reports that it is leaving.
    pub leaving: bool,
}

/// A simulated node.
pub struct FakeNode {
    /// Health tracker of the node.
    pub tracker: HealthTracker,
    /// Time until which the node's process is paused.
    pub paused_until: u64,
    /// Time until which the node reaches all peers but no VM.
    pub vms_unreachable_until: u64,
    /// A VM and the time until which the node does not reach it.
    pub unreachable_vm: (usize, u64),
    /// Time until which the node reaches neither VMs nor peers.
    pub isolated_until: u64,
}

/// An item in the event queue of a node.
#[derive(Clone, Debug, PartialEq)]
enum Delivery {
    Tick,
    Event(HealthEvent),
    Probe(VmId, u64, Result<EngineReport, ProbeFailure>),
    Rumor(usize, usize, VmEvidence),
}

/// Queue entry: time, sequence number, node and item; compared by time and sequence number only.
struct QueueEntry(u64, u64, usize, Delivery);

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

/// The simulated fleet.
pub struct FakeFleet {
    /// Simulated time in milliseconds.
    pub now: u64,
    /// All nodes, by index.
    pub nodes: Vec<FakeNode>,
    /// All VMs, by index.
    pub vms: Vec<FakeVm>,
    /// Time until which a partition separates the two sides.
    pub partitioned_until: u64,
    /// Share of lost probes, in percent.
    pub loss: u64,
    /// State changes as (time, node, VM, state).
    pub changes: Vec<(u64, usize, VmId, VmState)>,
    /// Number of findings published so far.
    pub published: usize,
    rng: TestRng,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    sequence: u64,
    /// Number of the latest delivered rumor by origin, receiver and VM.
    latest_rumor: BTreeMap<(usize, usize, VmId), usize>,
}

impl FakeFleet {
    /// Creates a fleet in which all nodes know all VMs and each other.
    pub fn new(seed: u64, settings: &HealthSettings) -> Self {
        let node = |index| FakeNode {
            tracker: HealthTracker::new(settings.clone(), node_key(index), domain_of(index)),
            paused_until: 0,
            vms_unreachable_until: 0,
            unreachable_vm: (0, 0),
            isolated_until: 0,
        };
        let mut fleet = Self {
            now: 1000,
            nodes: (0..NODES).map(node).collect(),
            vms: vec![FakeVm::default(); VMS],
            partitioned_until: 0,
            loss: 0,
            changes: Vec::new(),
            published: 0,
            rng: TestRng(seed),
            queue: BinaryHeap::new(),
            sequence: 0,
            latest_rumor: BTreeMap::new(),
        };
        for index in 0..NODES {
            fleet.send(index, HealthEvent::WatchersChanged(watcher_nodes(0..NODES)));
            let targets = (0..VMS).map(target).collect();
            fleet.send(index, HealthEvent::TargetsChanged(targets));
            let phase = fleet.rng.below(TICK_MS);
            fleet.push(fleet.now + phase, index, Delivery::Tick);
        }
        fleet
    }

    /// Queues an event for a node.
    pub fn send(&mut self, node: usize, event: HealthEvent) {
        self.push(self.now, node, Delivery::Event(event));
    }

    /// Processes all events up to `end`.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse(entry)) = self.queue.pop() {
            if entry.0 > end {
                self.queue.push(Reverse(entry));
                break;
            }
            let QueueEntry(time, number, node, delivery) = entry;
            self.now = self.now.max(time);
            if self.nodes[node].paused_until > self.now {
                self.postpone(number, node, delivery);
            } else {
                self.deliver(node, delivery);
            }
        }
        self.now = end;
    }

    /// Returns the state of a VM as seen by a node.
    pub fn state(&self, node: usize, vm: usize) -> VmState {
        self.nodes[node].tracker.state(&vm_id(vm))
    }

    /// Returns whether the node has been running with working links since `start`.
    pub fn is_healthy_since(&self, node: usize, start: u64) -> bool {
        let node = &self.nodes[node];
        let until = node
            .paused_until
            .max(node.vms_unreachable_until)
            .max(node.isolated_until);
        until <= start
    }

    fn push(&mut self, time: u64, node: usize, delivery: Delivery) {
        self.sequence += 1;
        let entry = QueueEntry(time, self.sequence, node, delivery);
        self.queue.push(Reverse(entry));
    }

    /// Delays an event of a paused node until it resumes; probes that have timed out by then fail.
    fn postpone(&mut self, number: u64, node: usize, delivery: Delivery) {
        let resume = self.nodes[node].paused_until;
        let delivery = match delivery {
            Delivery::Probe(vm, sent, _) if resume >= sent + TIMEOUT_MS => {
                Delivery::Probe(vm, sent, Err(ProbeFailure::Timeout))
            }
            other => other,
        };
        self.queue
            .push(Reverse(QueueEntry(resume, number, node, delivery)));
    }

    fn deliver(&mut self, node: usize, delivery: Delivery) {
        let event = match delivery {
            Delivery::Tick => {
                self.push(self.now + TICK_MS, node, Delivery::Tick);
                self.report_reachable_peers(node);
                HealthEvent::Tick
            }
            Delivery::Event(event) => event,
            Delivery::Probe(vm, sent, outcome) => HealthEvent::Probed {
                vm,
                outcome,
                latency: TimeSpan(self.now - sent),
            },
            Delivery::Rumor(from, number, evidence) => {
                if self.are_nodes_partitioned(from, node) {
                    // Anti-entropy delivers the rumor once the link is restored.
                    let delivery = Delivery::Rumor(from, number, evidence);
                    self.push(self.now + 500, node, delivery);
                    return;
                }
                // Membership numbers rumors and drops those that are older than a delivered one.
                let key = (from, node, evidence.vm.clone());
                let latest = self.latest_rumor.entry(key).or_default();
                if number < *latest {
                    return;
                }
                *latest = number;
                HealthEvent::PeerFinding {
                    node: node_key(from),
                    evidence,
                }
            }
        };
        let now = Timestamp(self.now);
        let effects = self.nodes[node].tracker.step(event, now);
        for effect in effects {
            self.apply(node, effect);
        }
    }

    fn report_reachable_peers(&mut self, node: usize) {
        let permille = if self.nodes[node].isolated_until > self.now {
            0
        } else {
            1000
        };
        self.send(node, HealthEvent::PeersReachable(permille));
    }

    /// Returns whether a partition separates a node from a VM.
    fn is_vm_partitioned(&self, node: usize, vm: usize) -> bool {
        let (first, second) = VM_PARTITION_BOUNDS;
        let unreachable = if node < PARTITION_BOUNDARY {
            first..second
        } else {
            0..first
        };
        self.partitioned_until > self.now && unreachable.contains(&vm)
    }

    fn are_nodes_partitioned(&self, from: usize, to: usize) -> bool {
        let is_partitioned = self.partitioned_until > self.now
            && (from < PARTITION_BOUNDARY) != (to < PARTITION_BOUNDARY);
        is_partitioned
            || self.nodes[from].isolated_until > self.now
            || self.nodes[to].isolated_until > self.now
    }

    fn apply(&mut self, node: usize, effect: HealthEffect) {
        match effect {
            HealthEffect::Probe { vm, .. } => self.probe(node, vm),
            HealthEffect::Publish(evidence) => self.publish(node, evidence),
            HealthEffect::StateChanged { vm, state } => {
                self.changes.push((self.now, node, vm, state));
            }
            HealthEffect::Decision(_) => {}
        }
    }

    fn probe(&mut self, node: usize, vm: VmId) {
        let index = (0..VMS).find(|&index| vm_id(index) == vm);
        let index = index.expect("a probe names a VM of the fleet");
        let fake = &self.vms[index];
        let fake_node = &self.nodes[node];
        let lost = fake_node.vms_unreachable_until > self.now
            || fake_node.isolated_until > self.now
            || (fake_node.unreachable_vm.0 == index && fake_node.unreachable_vm.1 > self.now)
            || self.is_vm_partitioned(node, index)
            || fake.down_until > self.now
            || self.rng.below(100) < self.loss;
        let (delay, outcome) = if lost {
            (TIMEOUT_MS, Err(ProbeFailure::Timeout))
        } else {
            let leaving = self.vms[index].leaving;
            (5 + self.rng.below(20), Ok(report(&vm, leaving)))
        };
        let delivery = Delivery::Probe(vm, self.now, outcome);
        self.push(self.now + delay, node, delivery);
    }

    fn publish(&mut self, from: usize, evidence: VmEvidence) {
        self.published += 1;
        for to in (0..NODES).filter(|&to| to != from) {
            let delay = 20 + self.rng.below(RUMOR_MS - 20);
            let delivery = Delivery::Rumor(from, self.published, evidence.clone());
            self.push(self.now + delay, to, delivery);
        }
    }
}
