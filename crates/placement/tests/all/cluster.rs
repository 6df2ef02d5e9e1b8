//! Simulated cluster: several controllers with a fake store and fake engines, message loss,
//! delays and pauses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use jaysaddle_placement::PlacementSettings;
use jaysaddle_placement::PlannerInput;
use jaysaddle_placement::PlannerVm;
use jaysaddle_placement::ShardController;
use jaysaddle_placement::ShardEffect;
use jaysaddle_placement::ShardEvent;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::OrderAction;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::inventory::FencingSupport;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::VmState;

use crate::engines::FakeEngine;
use crate::fleet::model;
use crate::fleet::vms;
use crate::node::HeldLease;
use crate::node::Node;
use crate::node::group_state;
use crate::random::SeededRng;
use crate::store::FakeStore;

/// Simulated time per step.
const STEP: TimeSpan = TimeSpan::from_millis(250);

/// Maximum time for which an order is in flight on the network.
const MAX_ORDER_DELAY: TimeSpan = TimeSpan::from_secs(2);

/// Message in flight, with the number of the node that sent it or receives it.
#[derive(Clone, Debug)]
enum Message {
    Call(usize, CallId, StoreRequest),
    Event(usize, ShardEvent),
    Order(usize, VmId, EngineOrder),
}

/// Simulation of three nodes, two fabric domains and eleven VMs.
pub struct ClusterRun {
    pub rng: SeededRng,
    pub now: Timestamp,
    pub store: FakeStore,
    pub engines: BTreeMap<VmId, FakeEngine>,
    /// Whether faults are injected.
    pub faults: bool,
    rules: Arc<RulesDocument>,
    inventory: Vec<PlannerVm>,
    /// Current and previous state of each VM, and the time of the change.
    states: BTreeMap<VmId, (VmState, VmState, Timestamp)>,
    nodes: Vec<Node>,
    leases: BTreeMap<FabricDomainId, (usize, LeaseEpoch)>,
    messages: Vec<(Timestamp, Message)>,
    /// Highest epoch under which orders were sent, per shard.
    highest_epochs: BTreeMap<FabricDomainId, LeaseEpoch>,
    pub errors: Vec<String>,
    pub orders: u64,
}

impl ClusterRun {
    pub fn new(seed: u64, fencing: Option<FencingSupport>) -> Self {
        let mut rng = SeededRng::new(seed);
        let mut inventory = vms("hall-a", "fab-a", 6, &["chat", "draft"]);
        inventory.extend(vms("hall-b", "fab-b", 5, &["chat", "draft"]));
        for vm in &mut inventory {
            let random = if rng.chance(50) {
                FencingSupport::Enforced
            } else {
                FencingSupport::Ignored
            };
            vm.fencing = fencing.unwrap_or(random);
        }
        let rules = RulesDocument {
            models: vec![model("chat", 2, 3), model("draft", 1, 2)],
            ..RulesDocument::default()
        };
        let nodes = (0..3)
            .map(|number| Node {
                controller: ShardController::new(
                    PlacementSettings {
                        drain_timeout: TimeSpan::from_secs(8),
                        ..PlacementSettings::default()
                    },
                    NodeKey {
                        id: NodeId::new(format!("n{number}")),
                        incarnation: Incarnation(1),
                    },
                    seed ^ number,
                ),
                held_leases: BTreeMap::new(),
                observation_delay: TimeSpan::from_millis(rng.below(2000)),
                paused_until: Timestamp(0),
                unsent: Vec::new(),
                reports: BTreeMap::new(),
                calls: BTreeMap::new(),
                unknown_writes: BTreeMap::new(),
                last_read: BTreeMap::new(),
                tick_epochs: BTreeMap::new(),
            })
            .collect();
        let live = (VmState::Live, VmState::Live, Timestamp(0));
        let mut run = Self {
            rng,
            now: Timestamp(1000),
            store: FakeStore::default(),
            engines: inventory
                .iter()
                .map(|vm| (vm.vm.clone(), FakeEngine::new(vm)))
                .collect(),
            faults: true,
            rules: Arc::new(rules),
            states: inventory.iter().map(|vm| (vm.vm.clone(), live)).collect(),
            inventory,
            nodes,
            leases: BTreeMap::new(),
            messages: Vec::new(),
            highest_epochs: BTreeMap::new(),
            errors: Vec::new(),
            orders: 0,
        };
        for shard in ["fab-a", "fab-b"] {
            run.reassign_lease(FabricDomainId::new(shard));
        }
        run
    }

    /// Runs one step: faults, deliveries, reports, and a tick of every node that is not paused.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        if self.faults {
            self.inject_faults();
        }
        self.deliver();
        self.send_reports();
        for node in 0..self.nodes.len() {
            self.tick(node);
        }
        self.errors.extend(self.store.check());
    }

    /// Ends all faults: VMs and store recover, no node is paused, each shard has one holder.
    pub fn end_faults(&mut self) {
        self.faults = false;
        self.store.down = false;
        for (vm, state) in &mut self.states {
            if state.0 != VmState::Live {
                *state = (VmState::Live, state.0, self.now);
                if let Some(engine) = self.engines.get_mut(vm) {
                    engine.restart();
                }
            }
        }
        for node in &mut self.nodes {
            node.paused_until = self.now;
        }
        for (shard, (holder, epoch)) in &self.leases {
            for (number, node) in self.nodes.iter_mut().enumerate() {
                node.held_leases.retain(|held, lease| {
                    held != shard || (number == *holder && lease.epoch == *epoch)
                });
            }
        }
    }

    fn reassign_lease(&mut self, shard: FabricDomainId) {
        let holder = self.rng.below(3) as usize;
        let previous = self
            .leases
            .get(&shard)
            .map(|lease| lease.1)
            .unwrap_or_default();
        let epoch = previous.next();
        // The previous holder may consider its lease valid for some time longer.
        for node in &mut self.nodes {
            if let Some(lease) = node.held_leases.get_mut(&shard) {
                lease.until = self.now + TimeSpan::from_millis(self.rng.below(5000));
            }
        }
        let lease = HeldLease {
            epoch,
            unfenced_after: self.now + MAX_ORDER_DELAY,
            until: Timestamp(u64::MAX),
        };
        self.nodes[holder].held_leases.insert(shard.clone(), lease);
        self.leases.insert(shard, (holder, epoch));
    }

    fn inject_faults(&mut self) {
        if self.rng.chance(5) {
            let shard = if self.rng.chance(50) {
                "fab-a"
            } else {
                "fab-b"
            };
            self.reassign_lease(FabricDomainId::new(shard));
        }
        if self.rng.chance(8) {
            let number = self.rng.below(self.inventory.len() as u64) as usize;
            let vm = self.inventory[number].vm.clone();
            let Some(state) = self.states.get_mut(&vm) else {
                return;
            };
            let next = match state.0 {
                VmState::Live if self.rng.chance(20) => VmState::Straggler,
                VmState::Live => VmState::Dead,
                _ => VmState::Live,
            };
            *state = (next, state.0, self.now);
            if let Some(engine) = self.engines.get_mut(&vm) {
                engine.restart();
            }
        }
        let percent = if self.store.down { 10 } else { 1 };
        if self.rng.chance(percent) {
            self.store.down = !self.store.down;
        }
    }

    fn send(&mut self, message: Message, max_delay_ms: u64) {
        let delay =
            TimeSpan::from_millis(self.rng.below(if self.faults { max_delay_ms } else { 100 }));
        self.messages.push((self.now + delay, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<(Timestamp, Message)> = Vec::new();
        self.messages.retain(|(at, message)| {
            if *at <= now {
                due.push((*at, message.clone()));
            }
            *at > now
        });
        due.sort_by_key(|(at, _)| *at);
        for (_, message) in due {
            // A paused node receives its messages when it resumes.
            if let Message::Event(node, _) = &message
                && self.nodes[*node].paused_until > now
            {
                let at = self.nodes[*node].paused_until;
                self.messages.push((at, message));
                continue;
            }
            match message {
                Message::Call(node, call, request) => self.serve_call(node, call, request),
                Message::Event(node, event) => self.receive(node, event),
                Message::Order(node, vm, order) => self.deliver_order(node, vm, order),
            }
        }
    }

    /// Applies a call to the store and sends the outcome, which may be lost.
    fn serve_call(&mut self, node: usize, call: CallId, request: StoreRequest) {
        if let StoreRequest::Put { name, value, .. } = &request {
            let epoch = FakeStore::parse(value).epoch;
            let highest = self.highest_epochs.get(&FabricDomainId::new(name.clone()));
            let stale = highest.is_some_and(|highest| epoch < *highest);
            let version = self.store.version(name);
            let outcome = self.store.apply(&request);
            if stale && self.store.version(name) != version {
                self.errors.push(format!(
                    "a write with epoch {epoch} took effect after orders of epoch {highest:?} in {name}"
                ));
            }
            self.notify_watchers(name.as_str());
            return self.send_outcome(node, call, outcome);
        }
        let outcome = self.store.apply(&request);
        self.send_outcome(node, call, outcome);
    }

    fn send_outcome(&mut self, node: usize, call: CallId, outcome: StoreOutcome) {
        let lost = self.faults && self.rng.chance(15);
        let outcome = if lost { StoreOutcome::Unknown } else { outcome };

        self.send(
            Message::Event(node, ShardEvent::CallCompleted { call, outcome }),
            600,
        );
    }

    /// Sends a stored document to all nodes, as their watches do.
    fn notify_watchers(&mut self, name: &str) {
        let Some((version, document)) = self.store.document(name) else {
            return;
        };
        for node in 0..self.nodes.len() {
            let document = document.clone();
            let event = ShardEvent::PlacementChanged { version, document };
            self.send(Message::Event(node, event), 1500);
        }
    }

    fn receive(&mut self, number: usize, event: ShardEvent) {
        let node = &mut self.nodes[number];
        if let ShardEvent::Reported(report) = &event {
            node.reports.insert(report.vm.clone(), report.clone());
        }
        if let ShardEvent::CallCompleted { call, outcome } = &event {
            node.record_outcome(*call, outcome);
        }
        let effects = node.controller.step(event, self.now);
        node.unsent.extend(effects);
        self.flush(number);
    }

    fn tick(&mut self, number: usize) {
        let now = self.now;
        if self.nodes[number].paused_until > now {
            return;
        }
        let input = Arc::new(self.view(number));
        let node = &mut self.nodes[number];
        node.held_leases.retain(|_, lease| lease.until > now);
        let held = node
            .held_leases
            .iter()
            .map(|(shard, lease)| (shard.clone(), lease.epoch, lease.unfenced_after))
            .collect();
        node.tick_epochs = node
            .held_leases
            .iter()
            .map(|(shard, lease)| (shard.clone(), lease.epoch))
            .collect();
        let effects = node.controller.step(ShardEvent::Tick { input, held }, now);
        node.unsent.extend(effects);
        if self.faults && self.rng.chance(2) {
            let pause = TimeSpan::from_millis(self.rng.below(8000));
            self.nodes[number].paused_until = now + pause;
        }
        self.flush(number);
    }

    /// Carries out the node's pending effects, unless it is paused.
    fn flush(&mut self, number: usize) {
        if self.nodes[number].paused_until > self.now {
            return;
        }
        for effect in std::mem::take(&mut self.nodes[number].unsent) {
            match effect {
                ShardEffect::Call { call, request } => self.send_call(number, call, request),
                ShardEffect::Order { shard, vm, order } => {
                    self.send_order(number, shard, vm, order)
                }
                ShardEffect::Decision(record) => {
                    if record.choice == "withheld" {
                        self.errors.push(format!("withheld: {record}"));
                    }
                }
            }
        }
    }

    fn send_call(&mut self, number: usize, call: CallId, request: StoreRequest) {
        let (name, writes) = match &request {
            StoreRequest::Put { name, .. } => (name.to_string(), true),
            StoreRequest::Get { name, .. } => (name.to_string(), false),
        };
        if writes && self.nodes[number].has_unresolved_write(&name) {
            self.errors.push(format!(
                "node {number} writes {name} again without reading back"
            ));
        }
        self.nodes[number].calls.insert(call, (name, writes));
        if self.faults && self.rng.chance(5) {
            // The connection fails: the call is lost, or arrives long after the caller's timeout.
            let outcome = StoreOutcome::Unknown;
            self.send(
                Message::Event(number, ShardEvent::CallCompleted { call, outcome }),
                600,
            );
            if self.rng.chance(50) {
                self.send(Message::Call(number, CallId(u64::MAX), request), 6000);
            }
            return;
        }
        self.send(Message::Call(number, call, request), 600);
    }

    fn send_order(&mut self, number: usize, shard: FabricDomainId, vm: VmId, order: EngineOrder) {
        self.orders += 1;
        if let OrderAction::Join { members, .. } = &order.action
            && !self
                .store
                .was_stored(&order.group, order.generation, members)
        {
            self.errors.push(format!(
                "node {number} orders {vm} into {} generation {} that is not stored",
                order.group, order.generation
            ));
        }
        if let Some(epoch) = self.nodes[number].tick_epochs.get(&shard).copied() {
            let highest = self.highest_epochs.entry(shard).or_default();
            *highest = epoch.max(*highest);
        }
        self.send(
            Message::Order(number, vm, order),
            MAX_ORDER_DELAY.as_millis(),
        );
    }

    fn deliver_order(&mut self, node: usize, vm: VmId, order: EngineOrder) {
        let dead = self.states[&vm].0 == VmState::Dead;
        let lost = self.faults && self.rng.chance(10);
        let outcome = match self.engines.get_mut(&vm) {
            Some(engine) if !dead => Some(engine.handle_order(&order, self.now)),
            _ => None,
        };
        let outcome = outcome.filter(|_| !lost);
        self.send(
            Message::Event(node, ShardEvent::OrderCompleted { vm, order, outcome }),
            600,
        );
    }

    fn send_reports(&mut self) {
        let drains: BTreeSet<_> = self
            .records()
            .into_iter()
            .filter(|group| group.intent.is_draining())
            .map(|group| group.id)
            .collect();
        let states = &self.states;
        let reports: Vec<EngineReport> = self
            .engines
            .values()
            .filter(|engine| states[&engine.vm].0 != VmState::Dead)
            .map(|engine| engine.report(self.now, &self.engines, &drains))
            .collect();
        for report in reports {
            for node in 0..self.nodes.len() {
                let received = self.rng.chance(if self.faults { 30 } else { 60 });
                if received && self.nodes[node].paused_until <= self.now {
                    // Reports of one VM arrive in order, because each responds to a separate probe.
                    self.receive(node, ShardEvent::Reported(report.clone()));
                }
            }
        }
    }

    pub fn records(&self) -> Vec<GroupRecord> {
        let documents = self.store.documents();
        documents
            .into_iter()
            .flat_map(|document| document.groups)
            .collect()
    }

    /// Planner input of a node, from its delayed view of the fleet.
    fn view(&self, number: usize) -> PlannerInput {
        let node = &self.nodes[number];
        let mut vms = self.inventory.clone();
        for vm in &mut vms {
            let (state, before, at) = self.states[&vm.vm];
            vm.state = if self.now.since(at) >= node.observation_delay {
                state
            } else {
                before
            };
        }
        let mut groups = BTreeMap::new();
        for (_, document) in node.controller.placements().values() {
            for group in &document.groups {
                groups.insert(group.id.clone(), group_state(group, &node.reports));
            }
        }
        PlannerInput {
            rules: Arc::clone(&self.rules),
            vms,
            groups,
            ..PlannerInput::default()
        }
    }
}
