//! A fake fleet that carries out the controller's orders at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

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
use jaysaddle_types::serving::GroupMembership;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::serving::ModelProfile;
use jaysaddle_types::serving::OrderResult;
use jaysaddle_types::serving::ServiceRule;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Interval of the controller's ticks.
const TICK: u64 = 100;

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
            engine: Some(EngineProfile {
                slots: SlotCount(16),
                models: vec![profile(LARGE, 4), profile(SMALL, 2)],
                loads_per_second: 5.0,
                concurrent_loads: 7,
                open_time: TimeSpan(300),
                prompt_token_ms: 0.02,
                answer_token_ms: 0.5,
                usual_answer: 150,
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
    }
}

#[derive(Clone, Debug)]
struct FakeVm {
    entry: BackendEntry,
    order_count: u64,
    /// When a join ends.
    ready_at: Option<u64>,
    is_reachable: bool,
}

/// The fake fleet.
pub struct FakeFleet {
    pub controller: FleetController,
    pub table: BackendTable,
    pub config: ServingConfig,
    pub now: Timestamp,
    vms: BTreeMap<VmId, FakeVm>,
    /// Orders in the order in which they were sent.
    pub orders: Vec<(VmId, BackendOrder)>,
    pub decisions: Vec<String>,
    pub figures: Vec<FleetStats>,
    /// Whether the entries are known to be current.
    pub is_table_current: bool,
    /// Entries are not updated while this holds.
    pub is_store_behind: bool,
    /// VMs whose orders get no answer and are not carried out.
    pub mute: BTreeSet<VmId>,
    /// Unreachable VMs that refuse connections instead of being silent.
    pub refusing: BTreeSet<VmId>,
    /// Joins of a VM into a group while the leader of its former group served.
    pub double_members: Vec<VmId>,
    /// Work of callers' requests so far, in milliseconds of a fully used group.
    pub work: BTreeMap<ModelId, u64>,
}

impl FakeFleet {
    /// A fleet of `count` VMs in one fabric domain, with a controller that has just taken the lease.
    pub fn new(count: usize) -> Self {
        let mut fleet = Self {
            controller: FleetController::new(ControllerTiming::default()),
            table: BackendTable::default(),
            config: config(),
            now: Timestamp(1000),
            vms: BTreeMap::new(),
            orders: Vec::new(),
            decisions: Vec::new(),
            figures: Vec::new(),
            is_table_current: true,
            is_store_behind: false,
            mute: BTreeSet::new(),
            refusing: BTreeSet::new(),
            double_members: Vec::new(),
            work: BTreeMap::new(),
        };
        for number in 0..count {
            fleet.add(&format!("vm{number}"), "d0");
        }
        fleet.acquire(1);
        fleet
    }

    pub fn add(&mut self, id: &str, domain: &str) {
        let entry = entry(id, domain);
        self.table.put(entry.clone(), self.now);
        let fake = FakeVm {
            entry,
            order_count: 0,
            ready_at: None,
            is_reachable: true,
        };
        self.vms.insert(vm(id), fake);
    }

    pub fn acquire(&mut self, term: u64) {
        self.event(FleetEvent::Acquired(LeaseEpoch(term)));
    }

    /// Lets a new controller take over.
    pub fn replace_controller(&mut self, term: u64) {
        self.controller = FleetController::new(ControllerTiming::default());
        self.acquire(term);
    }

    /// Makes a VM unreachable; its entry stays until it is removed.
    pub fn cut(&mut self, id: &VmId) {
        self.vms.get_mut(id).expect("VM").is_reachable = false;
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

    /// Closes the group of a leader, as an earlier controller did.
    pub fn close(&mut self, id: &VmId) {
        let fake = self.vms.get_mut(id).expect("VM");
        if let Some(membership) = &mut fake.entry.membership {
            membership.phase = MemberPhase::Ready;
        }
        let entry = fake.entry.clone();
        self.table.put(entry, self.now);
    }

    /// Reports silence of a group's leader, as routing does.
    pub fn silence(&mut self, id: &VmId) {
        self.event(FleetEvent::LeaderSilent { id: id.clone() });
    }

    pub fn event(&mut self, event: FleetEvent) {
        let view = FleetView {
            table: &self.table,
            config: &self.config,
            is_table_current: self.is_table_current,
        };
        let effects = self.controller.step(event, view, self.now);
        for effect in effects {
            match effect {
                FleetEffect::LogDecision(text) => self.decisions.push(text.to_string()),
                FleetEffect::ReportStats(figures) => self.figures.push(figures),
                FleetEffect::Probe { id, .. } => {
                    let fake = &self.vms[&id];
                    let result = if fake.is_reachable {
                        ProbeResult::Reported {
                            order_count: fake.order_count,
                        }
                    } else if self.refusing.contains(&id) {
                        ProbeResult::Refused
                    } else {
                        ProbeResult::NoAnswer
                    };
                    self.event(FleetEvent::ProbeCompleted { id, result });
                }
                FleetEffect::Order {
                    id,
                    order,
                    order_count,
                    ..
                } => {
                    self.orders.push((id.clone(), order.clone()));
                    let result = self.carry_out(&id, &order, order_count);
                    self.event(FleetEvent::OrderCompleted { id, order, result });
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

    fn carry_out(
        &mut self,
        id: &VmId,
        order: &BackendOrder,
        order_count: Option<u64>,
    ) -> OrderResult {
        if self.mute.contains(id) {
            return OrderResult::Unknown;
        }
        if !self.vms[id].is_reachable {
            return OrderResult::Unreachable;
        }
        let was_held = self.leader_serves(&self.vms[id].entry);
        let fake = self.vms.get_mut(id).expect("VM");
        if order_count.is_some_and(|count| count != fake.order_count) {
            return OrderResult::Refused { status: 409 };
        }
        match order {
            BackendOrder::Join {
                key,
                model,
                members,
            } => {
                if was_held {
                    self.double_members.push(id.clone());
                }
                let rank = members
                    .iter()
                    .position(|member| member == id)
                    .expect("rank");
                let time = if fake.entry.model.as_ref() == Some(model) {
                    200
                } else if fake.entry.staged.contains(model) {
                    1100
                } else {
                    12_000
                };
                fake.ready_at = Some(self.now.0 + time);
                fake.entry.model = Some(model.clone());
                fake.entry.membership = Some(GroupMembership {
                    key: key.clone(),
                    rank: u32::try_from(rank).expect("rank"),
                    phase: MemberPhase::Joining,
                });
            }
            BackendOrder::Open { key } => {
                let Some(membership) = &mut fake.entry.membership else {
                    return OrderResult::Refused { status: 409 };
                };
                if membership.key != *key || membership.phase != MemberPhase::Ready {
                    return OrderResult::Refused { status: 409 };
                }
                membership.phase = MemberPhase::Open;
            }
            BackendOrder::Close { key } => {
                if let Some(membership) = &mut fake.entry.membership
                    && membership.key == *key
                {
                    membership.phase = MemberPhase::Ready;
                }
            }
            BackendOrder::Leave { key } => {
                if fake
                    .entry
                    .membership
                    .as_ref()
                    .is_none_or(|membership| membership.key != *key)
                {
                    return OrderResult::Refused { status: 409 };
                }
                fake.entry.membership = None;
            }
            BackendOrder::Stage { model } => fake.entry.staged = vec![model.clone()],
        }
        fake.order_count += 1;
        OrderResult::Begun
    }

    /// Lets time pass.
    pub fn run(&mut self, millis: u64) {
        let end = self.now.0 + millis;
        while self.now.0 < end {
            self.now = Timestamp(self.now.0 + TICK);
            for fake in self.vms.values_mut() {
                if fake.ready_at.is_some_and(|time| self.now.0 >= time) {
                    fake.ready_at = None;
                    if let Some(membership) = &mut fake.entry.membership {
                        membership.phase = MemberPhase::Ready;
                    }
                }
                if !self.is_store_behind
                    && fake.is_reachable
                    && self.table.get(&fake.entry.id).is_some()
                {
                    self.table.put(fake.entry.clone(), self.now);
                }
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
            self.event(FleetEvent::Traffic(vec![traffic]));
            self.event(FleetEvent::Tick);
        }
    }

    /// Whole groups whose leader serves, with their members.
    pub fn serving(&self, name: &str) -> Vec<Vec<VmId>> {
        reported_groups(&self.table, &self.config)
            .into_values()
            .filter(|group| group.accepts_requests() && group.model == model(name))
            .map(|group| group.members.into_values().collect())
            .collect()
    }

    /// Members of a group that serves `first`, or else `second`; the leader comes first.
    pub fn any_group(&self, first: &str, second: &str) -> Vec<VmId> {
        self.serving(first)
            .pop()
            .or(self.serving(second).pop())
            .expect("a group")
    }

    pub fn joins_of(&self, id: &VmId) -> usize {
        self.orders
            .iter()
            .filter(|(to, order)| to == id && matches!(order, BackendOrder::Join { .. }))
            .count()
    }
}
