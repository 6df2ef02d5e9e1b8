//! A fake fleet of VMs that executes the controller's orders immediately.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use jaysaddle_fleet::controller::ControllerTiming;
use jaysaddle_fleet::controller::FleetController;
use jaysaddle_fleet::controller::FleetEffect;
use jaysaddle_fleet::controller::FleetEvent;
use jaysaddle_fleet::controller::FleetStats;
use jaysaddle_fleet::controller::FleetView;
use jaysaddle_fleet::controller::NodeTraffic;
use jaysaddle_fleet::controller::ProbeResult;
use jaysaddle_fleet::groups::reported_groups;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::EngineProfile;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::serving::ModelProfile;
use jaysaddle_types::serving::OrderResult;
use jaysaddle_types::serving::ServiceRule;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::fake_vm::FakeVm;

/// Interval of the controller's ticks.
const TICK_MS: u64 = 100;
/// Time after which the outcome of an order without a response counts as unknown.
const ORDER_TIMEOUT: TimeSpan = TimeSpan(800);

/// Time without a write after which an entry expires.
const EXPIRY_TIME: TimeSpan = TimeSpan(3600);

/// Name of the model with groups of four.
pub const LARGE: &str = "large";
/// Name of the model with groups of two.
pub const SMALL: &str = "small";

pub fn model(name: &str) -> ModelId {
    ModelId::new(name)
}

pub fn vm(name: &str) -> VmId {
    VmId::new(name)
}

fn profile(name: &str, group_size: usize) -> ModelProfile {
    ModelProfile {
        id: model(name),
        group_size,
        work_share: 0.5,
        load_time: TimeSpan::from_secs(12),
        staged_join_time: TimeSpan(1100),
        time_factor: 1.0,
    }
}

pub fn config() -> ServingConfig {
    ServingConfig {
        version: 1,
        services: vec![ServiceRule {
            id: ServiceId::new("engines"),
            max_connections: 100,
            cold_rate: 0.0,
            cold_time: TimeSpan(0),
            engine: Some(EngineProfile {
                slots: SlotCount(16),
                models: vec![profile(LARGE, 4), profile(SMALL, 2)],
                loads_per_second: 5.0,
                concurrent_loads: 7,
                open_time: TimeSpan(300),
                prompt_token_ms: 0.02,
                output_token_ms: 0.5,
                typical_output_tokens: 150,
                step_ms: 0.0,
                sequence_ms: 0.0,
                steps_per_event: 1,
            }),
        }],
        ..ServingConfig::default()
    }
}

pub fn entry(id: &str, domain: &str) -> BackendEntry {
    BackendEntry {
        id: vm(id),
        started: 1,
        service: ServiceId::new("engines"),
        address: "10.0.0.1:80".parse().expect("address"),
        failure_domain: FailureDomainId::new("a"),
        fabric_domain: Some(FabricDomainId::new(domain)),
        slots: SlotCount(16),
        is_draining: false,
        model: None,
        staged: Vec::new(),
        membership: None,
        cold_left: TimeSpan(0),
    }
}

/// An order to a VM whose process is paused.
#[derive(Clone, Debug)]
struct WaitingOrder {
    id: VmId,
    order: BackendOrder,
    order_count: Option<u64>,
    /// When its sender gives up; `None` if it has.
    sender_until: Option<Timestamp>,
}

/// A controller with the VMs and the table that it works on.
pub struct FakeFleet {
    pub controller: FleetController,
    pub table: BackendTable,
    pub config: ServingConfig,
    pub now: Timestamp,
    vms: BTreeMap<VmId, FakeVm>,
    /// All orders sent so far, oldest first.
    pub orders: Vec<(VmId, BackendOrder)>,
    pub decisions: Vec<String>,
    pub stats: Vec<FleetStats>,
    /// Passed to the controller with every event.
    pub is_table_current: bool,
    /// While set, the entries in the table are not updated.
    pub is_store_stale: bool,
    /// Time in milliseconds by which the table of the next holder is older than that of the first one.
    pub table_age: u64,
    /// Table of the next holder, until it takes over.
    next_table: Option<BackendTable>,
    /// Entries that the table of the next holder does not show yet, with the time in milliseconds at which it does.
    delayed: VecDeque<(u64, BackendEntry)>,
    /// VMs whose entries in the table are not updated.
    pub stale: BTreeSet<VmId>,
    /// Members of each group that was formed.
    formed: BTreeMap<GroupKey, Vec<VmId>>,
    /// Groups that were opened without all of their members.
    pub partial_opens: Vec<GroupKey>,
    /// VMs that ignore orders and do not respond to them.
    pub unresponsive: BTreeSet<VmId>,
    /// VMs that refuse their next order with the status 503.
    pub refusals: BTreeSet<VmId>,
    /// VMs whose process is paused: it accepts connections but sends nothing, and carries out its orders when it continues.
    pub paused: BTreeSet<VmId>,
    waiting: Vec<WaitingOrder>,
    /// Unreachable VMs that refuse connections instead of not responding.
    pub refusing: BTreeSet<VmId>,
    /// VMs that joined a group while the leader of their previous group was still serving.
    pub overlapping_joins: Vec<VmId>,
    /// Time that staging takes, in milliseconds.
    pub staging_ms: u64,
    /// Work of callers' requests so far, by model, in milliseconds of a fully utilized group.
    pub work: BTreeMap<ModelId, u64>,
}

impl FakeFleet {
    /// Creates a fleet of `count` VMs in one fabric domain, whose controller has just acquired the lease.
    pub fn new(count: usize) -> Self {
        let mut fleet = Self::without_vms(config());
        for number in 0..count {
            fleet.add_vm(&format!("vm{number}"), "d0");
        }
        fleet.acquire(1);
        fleet
    }

    /// Creates a fleet without VMs, whose controller does not hold the lease.
    pub fn without_vms(config: ServingConfig) -> Self {
        Self {
            controller: FleetController::new(ControllerTiming::default()),
            table: BackendTable::default(),
            config,
            now: Timestamp(1000),
            vms: BTreeMap::new(),
            orders: Vec::new(),
            decisions: Vec::new(),
            stats: Vec::new(),
            is_table_current: true,
            is_store_stale: false,
            table_age: 0,
            next_table: Some(BackendTable::default()),
            delayed: VecDeque::new(),
            stale: BTreeSet::new(),
            formed: BTreeMap::new(),
            partial_opens: Vec::new(),
            unresponsive: BTreeSet::new(),
            refusals: BTreeSet::new(),
            paused: BTreeSet::new(),
            waiting: Vec::new(),
            refusing: BTreeSet::new(),
            overlapping_joins: Vec::new(),
            staging_ms: 0,
            work: BTreeMap::new(),
        }
    }

    pub fn add_vm(&mut self, id: &str, domain: &str) {
        self.add_vm_in(id, domain, "a");
    }

    /// Adds a VM in a failure domain other than the usual one.
    pub fn add_vm_in(&mut self, id: &str, domain: &str, failure_domain: &str) {
        let entry = BackendEntry {
            failure_domain: FailureDomainId::new(failure_domain),
            ..entry(id, domain)
        };
        self.register(entry);
    }

    /// Registers a VM with the given entry.
    pub fn register(&mut self, entry: BackendEntry) {
        self.table.put(entry.clone(), self.now);
        let id = entry.id.clone();
        self.vms.insert(id, FakeVm::new(entry));
    }

    /// Replaces the controller by one of another node whose table is older by [`FakeFleet::table_age`].
    pub fn take_over(&mut self, term: u64) {
        self.table = self
            .next_table
            .take()
            .expect("the first change of the holder");
        self.replace_controller(term);
    }

    pub fn acquire(&mut self, term: u64) {
        self.handle_event(FleetEvent::Acquired(LeaseEpoch(term)));
    }

    /// Replaces the controller by one of another node that acquires the lease.
    pub fn replace_controller(&mut self, term: u64) {
        self.controller = FleetController::new(ControllerTiming::default());
        self.acquire(term);
    }

    /// Makes a VM unreachable. Its entry stays until it is removed.
    pub fn make_unreachable(&mut self, id: &VmId) {
        self.vms.get_mut(id).expect("VM").is_reachable = false;
    }

    /// Lets the processes of all paused VMs continue: they carry out the orders that have arrived meanwhile.
    pub fn resume(&mut self) {
        self.paused.clear();
        for waiting in std::mem::take(&mut self.waiting) {
            let WaitingOrder { id, order, .. } = waiting;
            let result = self.execute_order(&id, &order, waiting.order_count);
            if waiting.sender_until.is_some() {
                self.handle_event(FleetEvent::OrderDone { id, order, result });
            }
        }
    }

    fn expire_orders(&mut self) {
        let now = self.now;
        let mut expired = Vec::new();
        for waiting in &mut self.waiting {
            if waiting
                .sender_until
                .take_if(|until| now >= *until)
                .is_some()
            {
                expired.push((waiting.id.clone(), waiting.order.clone()));
            }
        }
        for (id, order) in expired {
            let result = OrderResult::Unknown;
            self.handle_event(FleetEvent::OrderDone { id, order, result });
        }
    }

    /// Ends a VM's time without connections.
    pub fn make_reachable(&mut self, id: &VmId) {
        self.vms.get_mut(id).expect("VM").is_reachable = true;
    }

    /// Makes the entry of a VM expire, as after heartbeats that did not reach the store.
    pub fn expire_entry(&mut self, id: &VmId) {
        self.table.begin_watch(Timestamp(0));
        self.table.remove(id, self.now + EXPIRY_TIME);
    }

    /// Registers a VM again under its entry.
    pub fn restore_entry(&mut self, id: &VmId) {
        self.table.put(self.vms[id].entry.clone(), self.now);
    }

    /// Members by rank of the groups whose leader is open, as the VMs themselves know it.
    pub fn open_groups(&self) -> Vec<Vec<VmId>> {
        let memberships = || {
            let entries = self.vms.values().map(|fake| &fake.entry);
            entries.filter_map(|entry| Some((&entry.id, entry.membership.as_ref()?)))
        };
        memberships()
            .filter(|(_, leader)| leader.rank == 0 && leader.phase == MemberPhase::Open)
            .map(|(_, leader)| {
                let members = memberships().filter(|(_, other)| other.key == leader.key);
                let by_rank: BTreeMap<u32, VmId> = members
                    .map(|(id, other)| (other.rank, id.clone()))
                    .collect();
                by_rank.into_values().collect()
            })
            .collect()
    }

    /// Ends the loading of a VM's weights before that of the other members.
    pub fn finish_join(&mut self, id: &VmId) {
        let fake = self.vms.get_mut(id).expect("VM");
        fake.ready_at = Some(self.now.0);
    }

    /// Carries out an order of a previous holder that arrives late, and names the order count that it knew.
    pub fn receive_late_order(&mut self, id: &VmId, order: &BackendOrder, order_count: u64) {
        self.execute_order(id, order, Some(order_count));
    }

    /// Makes a VM report a number of accepted orders.
    pub fn set_order_count(&mut self, id: &VmId, count: u64) {
        self.vms.get_mut(id).expect("VM").order_count = count;
    }

    /// Number of orders that a VM has accepted.
    pub fn order_count(&self, id: &VmId) -> u64 {
        self.vms[id].state().order_count
    }

    /// Replaces the table by one that was read just now and has seen no removal.
    pub fn read_table_anew(&mut self) {
        let entries = self.table.rows().map(|row| row.entry.clone()).collect();
        self.table = BackendTable::default();
        self.table.replace(entries, self.now);
    }

    /// Makes a VM fail for good: it is unreachable and serves nothing. Its entry stays until it is removed.
    pub fn kill(&mut self, id: &VmId) {
        let fake = self.vms.get_mut(id).expect("VM");
        fake.is_reachable = false;
        fake.entry.membership = None;
    }

    pub fn remove_entry(&mut self, id: &VmId) {
        self.table.remove(id, self.now);
    }

    pub fn drain(&mut self, id: &VmId) {
        let fake = self.vms.get_mut(id).expect("VM");
        fake.entry.is_draining = true;
        let entry = fake.entry.clone();
        self.table.put(entry, self.now);
    }

    /// Closes the group of a leader, as an order of a previous controller does.
    pub fn close_group(&mut self, id: &VmId) {
        let fake = self.vms.get_mut(id).expect("VM");
        if let Some(membership) = &mut fake.entry.membership {
            membership.phase = MemberPhase::Ready;
        }
        let entry = fake.entry.clone();
        self.table.put(entry, self.now);
    }

    /// Reports that a group's leader sends no data, as routing does.
    pub fn report_stall(&mut self, id: &VmId) {
        self.handle_event(FleetEvent::LeaderStalled { id: id.clone() });
    }

    pub fn handle_event(&mut self, event: FleetEvent) {
        let view = FleetView {
            table: &self.table,
            config: &self.config,
            is_table_current: self.is_table_current,
        };
        let effects = self.controller.step(event, view, self.now);
        for effect in effects {
            match effect {
                FleetEffect::LogDecision(text) => self.decisions.push(text.to_string()),
                FleetEffect::ReportStats(stats) => self.stats.push(stats),
                FleetEffect::Probe { id, .. } => {
                    let fake = &self.vms[&id];
                    let result = if self.paused.contains(&id) {
                        ProbeResult::Silent
                    } else if fake.is_reachable {
                        ProbeResult::Reported(fake.state())
                    } else if self.refusing.contains(&id) {
                        ProbeResult::Refused
                    } else {
                        ProbeResult::Unreachable
                    };
                    self.handle_event(FleetEvent::ProbeDone { id, result });
                }
                FleetEffect::Order {
                    id,
                    order,
                    order_count,
                    ..
                } => {
                    self.orders.push((id.clone(), order.clone()));
                    if self.paused.contains(&id) {
                        self.waiting.push(WaitingOrder {
                            id,
                            order,
                            order_count,
                            sender_until: Some(self.now + ORDER_TIMEOUT),
                        });
                        continue;
                    }
                    let result = self.execute_order(&id, &order, order_count);
                    self.handle_event(FleetEvent::OrderDone { id, order, result });
                }
            }
        }
    }

    fn leader_serves(&self, entry: &BackendEntry) -> bool {
        let Some(membership) = &entry.membership else {
            return false;
        };
        self.vms.values().any(|fake| {
            fake.entry.membership.as_ref().is_some_and(|other| {
                other.key == membership.key
                    && other.rank == 0
                    && matches!(other.phase, MemberPhase::Open | MemberPhase::Closing)
            })
        })
    }

    fn execute_order(
        &mut self,
        id: &VmId,
        order: &BackendOrder,
        order_count: Option<u64>,
    ) -> OrderResult {
        if self.unresponsive.contains(id) {
            return OrderResult::Unknown;
        }
        if !self.vms[id].is_reachable {
            return OrderResult::Unreachable;
        }
        if self.refusals.remove(id) {
            return OrderResult::Refused { status: 503 };
        }
        let is_leader_serving = self.leader_serves(&self.vms[id].entry);
        let fake = self.vms.get_mut(id).expect("VM");
        let result = fake.execute(order, order_count, self.now, self.staging_ms);
        if result != OrderResult::Begun {
            return result;
        }
        match order {
            BackendOrder::Join { key, members, .. } => {
                if is_leader_serving {
                    self.overlapping_joins.push(id.clone());
                }
                self.formed.insert(key.clone(), members.clone());
            }
            BackendOrder::Open { key } => {
                let is_member = |id: &VmId| {
                    let membership = self.vms[id].entry.membership.as_ref();
                    membership.is_some_and(|membership| membership.key == *key)
                };
                if !self.formed[key].iter().all(is_member) {
                    self.partial_opens.push(key.clone());
                }
            }
            _ => {}
        }
        result
    }

    /// Advances the clock in steps of [`TICK_MS`]: completes joins, updates entries and ticks the controller.
    pub fn advance(&mut self, millis: u64) {
        self.advance_clock(millis, true);
    }

    /// Advances the clock while no node holds the lease.
    pub fn advance_without_control(&mut self, millis: u64) {
        self.advance_clock(millis, false);
    }

    fn advance_clock(&mut self, millis: u64, has_controller: bool) {
        let end = self.now.0 + millis;
        while self.now.0 < end {
            self.now = Timestamp(self.now.0 + TICK_MS);
            self.expire_orders();
            for fake in self.vms.values_mut() {
                fake.finish_staging(self.now.0);
                if fake.ready_at.is_some_and(|time| self.now.0 >= time) {
                    fake.ready_at = None;
                    if let Some(membership) = &mut fake.entry.membership {
                        membership.phase = MemberPhase::Ready;
                    }
                }
                if !self.is_store_stale
                    && fake.is_reachable
                    && !self.paused.contains(&fake.entry.id)
                    && !self.stale.contains(&fake.entry.id)
                {
                    let shown_at = self.now.0 + self.table_age;
                    self.delayed.push_back((shown_at, fake.entry.clone()));
                    let is_first = self.next_table.is_some();
                    if is_first && self.table.get(&fake.entry.id).is_some() {
                        self.table.put(fake.entry.clone(), self.now);
                    }
                }
            }
            let now = self.now;
            while let Some((_, entry)) = self.delayed.pop_front_if(|(at, _)| *at <= now.0) {
                match &mut self.next_table {
                    Some(table) => {
                        table.put(entry, now);
                    }
                    None if self.table.get(&entry.id).is_some() => {
                        self.table.put(entry, now);
                    }
                    None => {}
                }
            }
            if !has_controller {
                continue;
            }
            let traffic = NodeTraffic {
                node: NodeKey {
                    id: NodeId::new("node"),
                    incarnation: Incarnation(1),
                },
                work: self
                    .work
                    .iter()
                    .map(|(model, work_ms)| (model.clone(), *work_ms))
                    .collect(),
            };
            self.handle_event(FleetEvent::Traffic(vec![traffic]));
            self.handle_event(FleetEvent::Tick);
        }
    }

    /// Members by rank of the groups of a model that accept requests.
    pub fn serving_groups(&self, name: &str) -> Vec<Vec<VmId>> {
        reported_groups(&self.table, &self.config)
            .into_values()
            .filter(|group| group.accepts_requests() && group.model == model(name))
            .map(|group| group.members.into_values().collect())
            .collect()
    }

    /// Members by rank of a group that serves the model `first`, or else `second`.
    pub fn serving_group(&self, first: &str, second: &str) -> Vec<VmId> {
        self.serving_groups(first)
            .pop()
            .or(self.serving_groups(second).pop())
            .expect("a group")
    }

    pub fn join_count(&self, id: &VmId) -> usize {
        self.orders
            .iter()
            .filter(|(to, order)| to == id && matches!(order, BackendOrder::Join { .. }))
            .count()
    }
}
