//! Forms and repairs groups. Runs at the node that holds the controller's lease.
//!
//! The truth about groups is what the backend servers report. The controller keeps only what it has ordered
//! and not yet seen done, so that another node can go on from the reports alone.
//!
//! # Invariants
//!
//! - A group is opened only after every member has reported that it holds its part under the group's name and
//!   generation.
//! - A VM is ordered into another group only when the leader of its group is not serving: it has answered an
//!   order to leave, reports that it does not serve, or is gone.
//! - Every order to join names the number of orders that the VM is known to have accepted, so that an order
//!   which arrives after a newer one has no effect.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::EngineProfile;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::serving::OrderResult;
use jaysaddle_types::serving::ServiceRule;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::demand::DemandMeter;
use crate::groups::ReportedGroup;
use crate::groups::reported_groups;
use crate::loads::LoadPacer;
use crate::plan::DonorGroup;
use crate::plan::FreeVm;
use crate::plan::JoinSource;
use crate::plan::LoadBudget;
use crate::plan::ModelNeed;
use crate::plan::PlannedExchange;
use crate::plan::PlannedGroup;
use crate::plan::PlannedStaging;
use crate::plan::plan_exchange;
use crate::plan::plan_groups;
use crate::plan::plan_one;
use crate::plan::plan_staging;
use crate::table::BackendTable;

/// Bits of a generation below the controller's term; a term forms fewer groups than this holds.
const COUNTER_BITS: u32 = 20;

/// The weight store loads this many times as fast until the platform's first request.
const EARLY_LOAD_FACTOR: u64 = 10;

/// Part of the fleet's capacity that the traffic is expected to take until it is measured.
const EXPECTED_UTILISATION: f64 = 0.5;

/// Interval of the summary in the log.
const SUMMARY_INTERVAL: TimeSpan = TimeSpan(1000);

/// Fabric domains in which groups are exchanged at a time.
const MAX_EXCHANGES: usize = 2;

/// Loads that are kept for joins: a pair of new VMs may come at any time.
const RESERVED_LOADS: usize = 3;

/// Load times after which a host that does not show a staged model is asked again.
const STAGING_PATIENCE: u64 = 3;

/// Times of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerTiming {
    /// Time without a new backend server after which the first plan is made.
    pub settle: TimeSpan,
    /// Latest time of the first plan after the first backend server was seen.
    pub settle_limit: TimeSpan,
    /// Pause before an order or probe without success is repeated.
    pub repeat: TimeSpan,
    /// Pause before an accepted order to a leader that shows no effect is repeated.
    pub leader_repeat: TimeSpan,
    /// Pause between probes of a VM that counts as lost.
    pub lost_repeat: TimeSpan,
    /// Time after which an accepted join that the entry does not show has failed.
    pub join_visible: TimeSpan,
    /// Longest formation of a group; loads share the weight store, so this is several load times.
    pub join_limit: TimeSpan,
    /// Longest time for which a leader that stopped listening finishes its requests; the platform's bound of 10 s and
    /// the age of the last report.
    pub finish_limit: TimeSpan,
    /// Time after which a new holder of the lease takes a leader as gone that it has never seen: the platform
    /// brings back the entry of a live one within two seconds.
    pub unknown_leader: TimeSpan,
    /// Failed probes in a row after which a member counts as lost.
    pub lost_probes: u32,
    /// Time for which a report shows that a VM lives, although its group is silent.
    pub report_trust: TimeSpan,
    /// Time after which a group with a leaving member is made to leave.
    pub close_limit: TimeSpan,
    /// Time after which a group that is closed for another model is made to leave; its streams go on elsewhere.
    pub exchange_close_limit: TimeSpan,
    /// Time for which free VMs are kept for a group that others are closed for.
    pub reservation: TimeSpan,
    /// Time between two exchanges in a fabric domain; an exchange takes about three seconds to show its effect.
    pub exchange_pause: TimeSpan,
    /// Time for which a group that was given up is remembered, against entries that are out of date.
    pub ended_memory: TimeSpan,
    /// Join with weights that are in memory.
    pub memory_join_time: TimeSpan,
}

impl Default for ControllerTiming {
    fn default() -> Self {
        Self {
            settle: TimeSpan(400),
            settle_limit: TimeSpan(4000),
            repeat: TimeSpan(60),
            leader_repeat: TimeSpan(1000),
            lost_repeat: TimeSpan(1000),
            join_visible: TimeSpan(3000),
            join_limit: TimeSpan::from_secs(60),
            finish_limit: TimeSpan(10_500),
            unknown_leader: TimeSpan(2000),
            lost_probes: 2,
            report_trust: TimeSpan(500),
            close_limit: TimeSpan(9000),
            exchange_close_limit: TimeSpan(2000),
            reservation: TimeSpan(5000),
            exchange_pause: TimeSpan(4000),
            ended_memory: TimeSpan::from_secs(20),
            memory_join_time: TimeSpan(200),
        }
    }
}

/// Where a group stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum GroupStage {
    /// Members join.
    Joining,
    /// The leader was told to open.
    Opening,
    /// The leader serves.
    Serving,
    /// The leader finishes its requests because a member is leaving.
    Closing { since: Timestamp, limit: TimeSpan },
    /// The leader is told to leave because a member is lost.
    Dissolving,
}

/// A group under control.
#[derive(Clone, Debug)]
struct ControlledGroup {
    service: ServiceId,
    model: ModelId,
    members: Vec<VmId>,
    stage: GroupStage,
    since: Timestamp,
    /// Members that have accepted the order to join, and when.
    joined: BTreeMap<VmId, Timestamp>,
    /// When the last order to the leader was sent.
    last_order: Option<Timestamp>,
}

impl ControlledGroup {
    fn leader(&self) -> &VmId {
        &self.members[0]
    }
}

/// What the controller knows about a VM beyond its entry.
#[derive(Clone, Debug, Default)]
struct ControlledVm {
    started: u64,
    address: Option<SocketAddr>,
    /// Accepted orders, from reports and answers; `None` until a report was read.
    order_count: Option<u64>,
    in_flight: Option<BackendOrder>,
    next_order: Option<Timestamp>,
    /// Model that is being put on the host, and until when that is believed.
    staging: Option<(ModelId, Timestamp)>,
    /// Until when a load that was just ordered may not show in the entry.
    loading_until: Option<Timestamp>,
    probe_in_flight: bool,
    next_probe: Option<Timestamp>,
    failed_probes: u32,
    /// When the present row of failed probes began.
    unreachable_since: Option<Timestamp>,
    /// Whether the last failed probe was refused, which a silent VM does not do.
    is_refusing: bool,
    /// When a report was last read.
    reported: Option<Timestamp>,
}

/// Work of callers' requests at one node, refused ones included.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeTraffic {
    /// The node and its start.
    pub node: NodeKey,
    /// Work since that start, in milliseconds of a fully used group, by model.
    pub work: Vec<(ModelId, u64)>,
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The report was read.
    Reported {
        /// Accepted orders.
        order_count: u64,
    },
    /// The connection was refused, or the answer was not a report: something lives at the address.
    Refused,
    /// No answer.
    Silent,
}

/// An event of the controller.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// Time has passed.
    Tick,
    /// This node took the lease.
    Acquired(LeaseEpoch),
    /// This node lost the lease.
    Lost,
    /// An order ended.
    Ordered {
        /// VM.
        id: VmId,
        /// The order.
        order: BackendOrder,
        /// Result.
        result: OrderResult,
    },
    /// A report was read, or could not be.
    Probed {
        /// VM.
        id: VmId,
        /// Result.
        result: ProbeResult,
    },
    /// The store stopped to answer, or answers again. Meanwhile entries are kept up to date from reports.
    StoreLost(bool),
    /// Requests at the leader `id` get no data.
    Silent {
        /// VM.
        id: VmId,
    },
    /// Requests of callers at all nodes.
    Demand(Vec<NodeTraffic>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEffect {
    /// Send an order.
    Order {
        /// VM.
        id: VmId,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: BackendOrder,
        /// Accepted orders that the order names.
        order_count: Option<u64>,
    },
    /// Read a report.
    Probe {
        /// VM.
        id: VmId,
        /// Its address.
        address: SocketAddr,
    },
    /// A decision, for the log.
    Decided(CompactString),
}

/// What the controller reads.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Backend servers.
    pub table: &'a BackendTable,
    /// Configuration.
    pub config: &'a ServingConfig,
    /// Whether the entries show what the backend servers hold. Right after an outage of the store they may be from
    /// before it.
    pub is_settled: bool,
}

fn as_free_vm(entry: &BackendEntry) -> Option<FreeVm> {
    Some(FreeVm {
        id: entry.id.clone(),
        domain: entry.fabric_domain.clone()?,
        last_model: entry.model.clone(),
        staged: entry.staged.clone(),
    })
}

/// The controller.
#[derive(Debug)]
pub struct FleetController {
    timing: ControllerTiming,
    term: Option<LeaseEpoch>,
    next_counter: u64,
    groups: BTreeMap<GroupKey, ControlledGroup>,
    vms: BTreeMap<VmId, ControlledVm>,
    /// Groups that were given up, and when; their entries may still show them for a while.
    ended: BTreeMap<GroupKey, Timestamp>,
    /// Fabric domains whose free VMs are kept for a model, and until when.
    reserved: BTreeMap<FabricDomainId, (ModelId, Timestamp)>,
    /// When groups were last exchanged in a fabric domain.
    exchanged: BTreeMap<FabricDomainId, Timestamp>,
    demand: DemandMeter,
    loads: LoadPacer,
    acquired: Timestamp,
    has_planned: bool,
    summarised: Timestamp,
    is_store_lost: bool,
    effects: Vec<FleetEffect>,
}

impl FleetController {
    /// A controller without a term.
    pub fn new(timing: ControllerTiming) -> Self {
        Self {
            timing,
            term: None,
            next_counter: 0,
            groups: BTreeMap::new(),
            vms: BTreeMap::new(),
            ended: BTreeMap::new(),
            reserved: BTreeMap::new(),
            exchanged: BTreeMap::new(),
            demand: DemandMeter::default(),
            loads: LoadPacer::default(),
            acquired: Timestamp(0),
            has_planned: false,
            summarised: Timestamp(0),
            is_store_lost: false,
            effects: Vec::new(),
        }
    }

    /// Handles an event.
    pub fn step(
        &mut self,
        event: FleetEvent,
        view: FleetView<'_>,
        now: Timestamp,
    ) -> Vec<FleetEffect> {
        match event {
            FleetEvent::Acquired(term) => self.acquire(term, now),
            FleetEvent::Lost => self.release(),
            FleetEvent::Tick => self.tick(view, now),
            FleetEvent::Ordered { id, order, result } => self.ordered(&id, order, result, now),
            FleetEvent::Probed { id, result } => self.probed(&id, result, now),
            FleetEvent::Silent { id } => self.silent(&id, now),
            FleetEvent::StoreLost(is_lost) => self.is_store_lost = is_lost,
            FleetEvent::Demand(demands) => {
                self.expect_demand(view);
                self.demand.observe(demands, now);
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// Leaders of the groups that must get no new request.
    pub fn closed_leaders(&self) -> Vec<VmId> {
        self.groups
            .values()
            .filter(|group| {
                matches!(
                    group.stage,
                    GroupStage::Closing { .. } | GroupStage::Dissolving
                )
            })
            .map(|group| group.leader().clone())
            .collect()
    }

    /// Number of groups by stage, for metrics.
    pub fn group_count(&self) -> usize {
        self.groups.len()
    }

    /// Derives the demand at the start from the shares of the work that the configuration states.
    fn expect_demand(&mut self, view: FleetView<'_>) {
        for service in &view.config.services {
            let Some(profile) = &service.engine else {
                continue;
            };
            let vms = view
                .table
                .rows()
                .filter(|row| row.entry.service == service.id)
                .count();
            for model in &profile.models {
                let groups = model.work_share * vms as f64 / model.group_size as f64;
                self.demand.expect(&model.id, groups * EXPECTED_UTILISATION);
            }
        }
    }

    fn acquire(&mut self, term: LeaseEpoch, now: Timestamp) {
        self.term = Some(term);
        self.next_counter = 0;
        self.groups.clear();
        self.vms.clear();
        self.ended.clear();
        self.reserved.clear();
        self.acquired = now;
        self.has_planned = false;
    }

    fn release(&mut self) {
        self.term = None;
        self.groups.clear();
        self.vms.clear();
    }

    fn decided(&mut self, text: CompactString) {
        self.effects.push(FleetEffect::Decided(text));
    }

    fn tick(&mut self, view: FleetView<'_>, now: Timestamp) {
        if self.term.is_none() {
            return;
        }
        self.follow_entries(view);
        if !view.is_settled {
            self.probe_due(now);
            return;
        }
        let reported = reported_groups(view.table, view.config);
        self.adopt(&reported, now);
        let keys: Vec<GroupKey> = self.groups.keys().cloned().collect();
        for key in keys {
            self.advance(&key, view, reported.get(&key), now);
        }
        if self.is_store_lost {
            self.ask_changing(now);
        }
        self.probe_due(now);
        if self.may_plan(view, now) {
            self.form_groups(view, &reported, now);
        }
        if now.since(self.summarised) >= SUMMARY_INTERVAL {
            self.summarised = now;
            self.summarise(view, &reported, now);
        }
    }

    /// Tells how many groups each model has in each stage, and what the VMs without a group do.
    fn summarise(
        &mut self,
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) {
        let held: usize = self.groups.values().map(|group| group.members.len()).sum();
        let lost = self.vms.keys().filter(|id| self.is_lost(id)).count();
        let idle: Vec<&BackendEntry> = view
            .table
            .rows()
            .map(|row| &row.entry)
            .filter(|entry| view.config.engine(&entry.service).is_some())
            .filter(|entry| self.holder_of(&entry.id).is_none())
            .collect();
        let free: Vec<FreeVm> = idle
            .iter()
            .filter(|entry| self.free_vm(entry, view, reported, now))
            .filter_map(|entry| as_free_vm(entry))
            .collect();
        let leaving = idle.iter().filter(|entry| entry.is_draining).count();
        let joining = idle
            .iter()
            .filter(|entry| {
                let membership = entry.membership.as_ref();
                membership.is_some_and(|membership| membership.phase == MemberPhase::Joining)
            })
            .count();
        let loading = view
            .table
            .rows()
            .filter(|row| self.is_loading(&row.entry, now))
            .count();
        let mut models: BTreeMap<&ModelId, [usize; 3]> = BTreeMap::new();
        for group in self.groups.values() {
            let stage = match group.stage {
                GroupStage::Serving => 0,
                GroupStage::Joining | GroupStage::Opening => 1,
                GroupStage::Closing { .. } | GroupStage::Dissolving => 2,
            };
            models.entry(&group.model).or_default()[stage] += 1;
        }
        let mut text = format_compact!(
            "decision=summary vms={} members={held} lost={lost} idle={} free={} leaving={leaving} \
             joining={joining} loading={loading} reserved={}",
            view.table.len(),
            idle.len(),
            free.len(),
            self.reserved.len()
        );
        for (model, [serving, forming, ending]) in models {
            let quick = free
                .iter()
                .filter(|vm| vm.source_of(model) < JoinSource::WeightStore)
                .count();
            text.push_str(&format_compact!(
                " model={model} serving={serving} forming={forming} ending={ending} demand={:.1} quick={quick}",
                self.demand.groups(model, now)
            ));
        }
        self.effects.push(FleetEffect::Decided(text));
    }

    fn follow_entries(&mut self, view: FleetView<'_>) {
        for row in view.table.rows() {
            let entry = &row.entry;
            if view.config.engine(&entry.service).is_none() {
                continue;
            }
            let vm = self.vms.entry(entry.id.clone()).or_default();
            if vm.started != entry.started {
                *vm = ControlledVm {
                    started: entry.started,
                    ..ControlledVm::default()
                };
            }
            vm.address = Some(entry.address);
        }
        let held: BTreeSet<VmId> = self
            .groups
            .values()
            .flat_map(|group| group.members.iter().cloned())
            .collect();
        self.vms
            .retain(|id, _| view.table.get(id).is_some() || held.contains(id));
    }

    /// Takes over groups that an earlier holder of the lease has formed.
    fn adopt(&mut self, reported: &BTreeMap<GroupKey, ReportedGroup>, now: Timestamp) {
        let memory = self.timing.ended_memory;
        self.ended.retain(|_, ended| now.since(*ended) < memory);
        for (key, group) in reported {
            if self.groups.contains_key(key) || self.ended.contains_key(key) {
                continue;
            }
            let Some(phase) = group.leader_phase else {
                continue;
            };
            let is_held = group
                .members
                .values()
                .any(|id| self.holder_of(id).is_some());
            let stage = match phase {
                _ if is_held => match phase {
                    MemberPhase::Open | MemberPhase::Closing | MemberPhase::Ready => {
                        GroupStage::Dissolving
                    }
                    _ => continue,
                },
                MemberPhase::Open if group.is_whole() && group.is_loaded => GroupStage::Serving,
                MemberPhase::Closing => GroupStage::Closing {
                    since: now,
                    limit: self.timing.close_limit,
                },
                MemberPhase::Open => GroupStage::Dissolving,
                MemberPhase::Joining | MemberPhase::Ready
                    if group.is_whole() && !group.is_loaded =>
                {
                    GroupStage::Joining
                }
                // The earlier holder's order to open it may be on its way, or an order to join another group to a
                // member. After its leader has left neither has an effect.
                MemberPhase::Ready => GroupStage::Dissolving,
                _ => continue,
            };
            let members: Vec<VmId> = group.members.values().cloned().collect();
            let joined = members.iter().map(|id| (id.clone(), now)).collect();
            self.decided(format_compact!(
                "group={key} decision=adopt model={} phase={phase:?} members={}",
                group.model,
                members.len()
            ));
            self.groups.insert(
                key.clone(),
                ControlledGroup {
                    service: group.service.clone(),
                    model: group.model.clone(),
                    members,
                    stage,
                    since: now,
                    joined,
                    last_order: None,
                },
            );
        }
    }

    fn holder_of(&self, id: &VmId) -> Option<&GroupKey> {
        self.groups
            .iter()
            .find(|(_, group)| group.members.contains(id))
            .map(|(key, _)| key)
    }

    fn is_lost(&self, id: &VmId) -> bool {
        self.vms
            .get(id)
            .is_some_and(|vm| vm.failed_probes >= self.timing.lost_probes)
    }

    /// Why a member cannot stay in its group; `None` when it can.
    fn member_fault(&self, key: &GroupKey, id: &VmId, view: FleetView<'_>) -> Option<&'static str> {
        let Some(row) = view.table.get(id) else {
            return Some("gone");
        };
        if self.is_lost(id) {
            return Some("unreachable");
        }
        let membership = row.entry.membership.as_ref();
        match membership {
            Some(membership) if membership.key == *key => match membership.phase {
                MemberPhase::Broken => Some("broken"),
                MemberPhase::Unknown => Some("unknown_phase"),
                _ => None,
            },
            Some(_) => Some("in_another_group"),
            None => Some("in_no_group"),
        }
    }

    fn advance(
        &mut self,
        key: &GroupKey,
        view: FleetView<'_>,
        reported: Option<&ReportedGroup>,
        now: Timestamp,
    ) {
        let Some(group) = self.groups.get(key) else {
            return;
        };
        match group.stage.clone() {
            GroupStage::Joining => self.advance_joining(key, view, reported, now),
            GroupStage::Opening | GroupStage::Serving => {
                self.advance_serving(key, view, reported, now);
            }
            GroupStage::Closing { since, limit } => {
                self.advance_closing(key, view, since + limit, now);
            }
            GroupStage::Dissolving => self.advance_dissolving(key, view, now),
        }
    }

    fn advance_joining(
        &mut self,
        key: &GroupKey,
        view: FleetView<'_>,
        reported: Option<&ReportedGroup>,
        now: Timestamp,
    ) {
        let Some(group) = self.groups.get(key).cloned() else {
            return;
        };
        let mut fault = None;
        for id in &group.members {
            let Some(row) = view.table.get(id) else {
                fault = Some((id.clone(), "gone"));
                break;
            };
            if row.entry.is_draining {
                fault = Some((id.clone(), "draining"));
            } else if self.is_lost(id) {
                fault = Some((id.clone(), "unreachable"));
            } else if let Some(accepted) = group.joined.get(id) {
                let shown = row
                    .entry
                    .membership
                    .as_ref()
                    .is_some_and(|membership| membership.key == *key);
                if !shown && now.since(*accepted) >= self.timing.join_visible {
                    fault = Some((id.clone(), "join_not_shown"));
                }
            }
        }
        if fault.is_none() && now.since(group.since) >= self.timing.join_limit {
            fault = Some((group.leader().clone(), "join_timeout"));
        }
        if let Some((id, reason)) = fault {
            self.decided(format_compact!(
                "group={key} decision=abandon vm={id} reason={reason}"
            ));
            self.end_group(key, now);
            return;
        }
        let is_ready = reported.is_some_and(|group| {
            group.is_whole()
                && group.is_loaded
                && matches!(
                    group.leader_phase,
                    Some(MemberPhase::Ready | MemberPhase::Open)
                )
        });
        if is_ready {
            if self.order_leader(key, BackendOrder::Open { key: key.clone() }, now) {
                self.set_stage(key, GroupStage::Opening);
            }
            return;
        }
        let missing: Vec<VmId> = group
            .members
            .iter()
            .filter(|id| !group.joined.contains_key(*id))
            .cloned()
            .collect();
        for id in missing {
            let order = BackendOrder::Join {
                key: key.clone(),
                model: group.model.clone(),
                members: group.members.clone(),
            };
            self.send_order(&id, order, now);
        }
    }

    fn advance_serving(
        &mut self,
        key: &GroupKey,
        view: FleetView<'_>,
        reported: Option<&ReportedGroup>,
        now: Timestamp,
    ) {
        let Some(group) = self.groups.get(key).cloned() else {
            return;
        };
        let fault = group
            .members
            .iter()
            .find_map(|id| Some((id.clone(), self.member_fault(key, id, view)?)));
        if let Some((id, reason)) = fault {
            self.decided(format_compact!(
                "group={key} decision=dissolve vm={id} reason={reason}"
            ));
            self.set_stage(key, GroupStage::Dissolving);
            self.advance_dissolving(key, view, now);
            return;
        }
        let Some(reported) = reported else {
            return;
        };
        if reported.has_draining {
            self.decided(format_compact!(
                "group={key} decision=close reason=draining_member"
            ));
            let stage = GroupStage::Closing {
                since: now,
                limit: self.timing.close_limit,
            };
            self.set_stage(key, stage);
            self.order_leader(key, BackendOrder::Close { key: key.clone() }, now);
            return;
        }
        match reported.leader_phase {
            Some(MemberPhase::Open) if group.stage == GroupStage::Opening => {
                self.decided(format_compact!(
                    "group={key} decision=serve model={} formed_ms={}",
                    group.model,
                    now.since(group.since).as_millis()
                ));
                self.set_stage(key, GroupStage::Serving);
            }
            Some(MemberPhase::Ready) => {
                let due = group
                    .last_order
                    .is_none_or(|sent| now.since(sent) >= self.timing.leader_repeat);
                if due {
                    self.order_leader(key, BackendOrder::Open { key: key.clone() }, now);
                }
            }
            _ => {}
        }
    }

    fn advance_closing(
        &mut self,
        key: &GroupKey,
        view: FleetView<'_>,
        until: Timestamp,
        now: Timestamp,
    ) {
        let Some(group) = self.groups.get(key) else {
            return;
        };
        let leader = group.leader().clone();
        let phase = view.table.get(&leader).and_then(|row| {
            let membership = row.entry.membership.as_ref()?;
            (membership.key == *key).then_some(membership.phase)
        });
        match phase {
            // An order to open that was not answered may still arrive; after the leader has left it has no effect.
            Some(MemberPhase::Ready | MemberPhase::Broken) => {
                self.set_stage(key, GroupStage::Dissolving);
                self.advance_dissolving(key, view, now);
            }
            Some(MemberPhase::Open | MemberPhase::Closing) if now < until => {
                let due = group
                    .last_order
                    .is_none_or(|sent| now.since(sent) >= self.timing.leader_repeat);
                if phase == Some(MemberPhase::Open) && due {
                    self.order_leader(key, BackendOrder::Close { key: key.clone() }, now);
                }
            }
            _ => {
                self.set_stage(key, GroupStage::Dissolving);
                self.advance_dissolving(key, view, now);
            }
        }
    }

    fn advance_dissolving(&mut self, key: &GroupKey, view: FleetView<'_>, now: Timestamp) {
        let Some(group) = self.groups.get(key) else {
            return;
        };
        let leader = group.leader().clone();
        let entry = view.table.get(&leader).map(|row| &row.entry);
        let reason = match entry {
            Some(entry) => match &entry.membership {
                Some(membership) if membership.key == *key => match membership.phase {
                    MemberPhase::Broken => Some("leader_broken"),
                    _ => None,
                },
                _ => Some("leader_left"),
            },
            None => {
                if let Some(vm) = self.vms.get_mut(&leader)
                    && vm.next_probe.is_none()
                    && !vm.probe_in_flight
                {
                    vm.next_probe = Some(now);
                }
                self.is_finished(&leader, view.table, now)
                    .then_some("leader_gone")
            }
        };
        if let Some(reason) = reason {
            self.decided(format_compact!("group={key} decision=free reason={reason}"));
            self.end_group(key, now);
            return;
        }
        let due = group
            .last_order
            .is_none_or(|sent| now.since(sent) >= self.timing.repeat);
        if due {
            self.order_leader(key, BackendOrder::Leave { key: key.clone() }, now);
        }
    }

    /// Whether a leader without an entry serves no more. One that stops listening may still finish its requests, and
    /// its group is open until then; a silent one is treated as gone with its entry.
    fn is_finished(&self, leader: &VmId, table: &BackendTable, now: Timestamp) -> bool {
        if !self.is_lost(leader) {
            return false;
        }
        let has_lapsed = table.removed(leader).is_some_and(|row| row.has_lapsed);
        let Some(vm) = self.vms.get(leader) else {
            return true;
        };
        let may_finish = vm.is_refusing && !has_lapsed;
        let limit = self.timing.finish_limit;
        !may_finish
            || vm
                .unreachable_since
                .is_some_and(|since| now.since(since) >= limit)
    }

    fn end_group(&mut self, key: &GroupKey, now: Timestamp) {
        self.groups.remove(key);
        self.ended.insert(key.clone(), now);
    }

    fn set_stage(&mut self, key: &GroupKey, stage: GroupStage) {
        if let Some(group) = self.groups.get_mut(key) {
            // The order to open has just been sent; a second one would be accepted without being counted.
            if stage != GroupStage::Opening {
                group.last_order = None;
            }
            group.stage = stage;
        }
    }

    /// Sends an order to the leader of a group. Returns whether it was sent.
    fn order_leader(&mut self, key: &GroupKey, order: BackendOrder, now: Timestamp) -> bool {
        let Some(group) = self.groups.get(key) else {
            return false;
        };
        let leader = group.leader().clone();
        let sent = self.send_order(&leader, order, now);
        if sent && let Some(group) = self.groups.get_mut(key) {
            group.last_order = Some(now);
        }
        sent
    }

    fn send_order(&mut self, id: &VmId, order: BackendOrder, now: Timestamp) -> bool {
        let Some(vm) = self.vms.get_mut(id) else {
            return false;
        };
        let Some(address) = vm.address else {
            return false;
        };
        // An order to leave does not wait for the answer of another order.
        let is_leave = matches!(order, BackendOrder::Leave { .. });
        if vm.in_flight.is_some() && !is_leave {
            return false;
        }
        if vm.next_order.is_some_and(|time| now < time) && !is_leave {
            return false;
        }
        let is_join = matches!(order, BackendOrder::Join { .. });
        if is_join && vm.order_count.is_none() {
            if vm.next_probe.is_none() {
                vm.next_probe = Some(now);
            }
            return false;
        }
        let order_count = vm.order_count.filter(|_| is_join);
        vm.in_flight = Some(order.clone());
        self.effects.push(FleetEffect::Order {
            id: id.clone(),
            address,
            order,
            order_count,
        });
        true
    }

    fn ordered(&mut self, id: &VmId, order: BackendOrder, result: OrderResult, now: Timestamp) {
        let repeat = self.timing.repeat;
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        if vm.in_flight.as_ref() == Some(&order) {
            vm.in_flight = None;
        }
        match result {
            OrderResult::Begun => {
                vm.failed_probes = 0;
                vm.order_count = vm.order_count.map(|count| count + 1);
            }
            OrderResult::Done => vm.failed_probes = 0,
            OrderResult::Refused { .. } => {
                vm.failed_probes = 0;
                vm.next_order = Some(now + repeat);
                vm.order_count = None;
                vm.next_probe = Some(now + repeat);
            }
            OrderResult::Unreachable | OrderResult::Unknown => {
                vm.next_order = Some(now + repeat);
                vm.order_count = None;
                vm.next_probe = Some(now);
            }
        }
        match order {
            BackendOrder::Join { key, .. } => {
                if let Some(group) = self.groups.get_mut(&key) {
                    match result {
                        OrderResult::Begun | OrderResult::Done => {
                            group.joined.insert(id.clone(), now);
                        }
                        OrderResult::Refused { status } => {
                            self.decided(format_compact!(
                                "group={key} decision=retry_join vm={id} status={status}"
                            ));
                        }
                        OrderResult::Unreachable | OrderResult::Unknown => {}
                    }
                }
            }
            BackendOrder::Leave { key } => {
                let is_leader = self
                    .groups
                    .get(&key)
                    .is_some_and(|group| group.leader() == id);
                let has_left = match result {
                    OrderResult::Begun | OrderResult::Done => true,
                    OrderResult::Refused { status } => status == 409,
                    _ => false,
                };
                if is_leader && has_left {
                    self.decided(format_compact!("group={key} decision=free reason=left"));
                    self.end_group(&key, now);
                }
            }
            BackendOrder::Open { .. } | BackendOrder::Close { .. } | BackendOrder::Stage { .. } => {
            }
        }
    }

    fn probed(&mut self, id: &VmId, result: ProbeResult, now: Timestamp) {
        let is_held = self.holder_of(id).is_some();
        let repeat = self.timing.repeat;
        let lost_probes = self.timing.lost_probes;
        let lost_repeat = self.timing.lost_repeat;
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        vm.probe_in_flight = false;
        match result {
            ProbeResult::Reported { order_count } => {
                if vm.failed_probes >= lost_probes {
                    self.effects.push(FleetEffect::Decided(format_compact!(
                        "vm={id} decision=reachable_again"
                    )));
                }
                vm.failed_probes = 0;
                vm.unreachable_since = None;
                vm.reported = Some(now);
                vm.order_count = vm.order_count.max(Some(order_count));
                vm.next_probe = None;
            }
            ProbeResult::Refused | ProbeResult::Silent => {
                vm.failed_probes += 1;
                vm.unreachable_since.get_or_insert(now);
                vm.is_refusing = result == ProbeResult::Refused;
                let pause = if vm.failed_probes >= lost_probes {
                    lost_repeat
                } else {
                    repeat
                };
                vm.next_probe = Some(now + pause);
                if vm.failed_probes == lost_probes {
                    self.effects.push(FleetEffect::Decided(format_compact!(
                        "vm={id} decision=unreachable failed_probes={lost_probes} is_member={is_held}"
                    )));
                }
            }
        }
    }

    fn silent(&mut self, id: &VmId, now: Timestamp) {
        let Some(key) = self.holder_of(id).cloned() else {
            return;
        };
        let Some(group) = self.groups.get(&key) else {
            return;
        };
        let trust = self.timing.report_trust;
        for member in &group.members {
            if let Some(vm) = self.vms.get_mut(member)
                && vm.next_probe.is_none()
                && !vm.probe_in_flight
                && vm.reported.is_none_or(|time| now.since(time) >= trust)
            {
                vm.next_probe = Some(now);
            }
        }
    }

    /// Has the members of groups that change read their reports, because their entries do not change now.
    fn ask_changing(&mut self, now: Timestamp) {
        let pause = self.timing.leader_repeat;
        let changing = self
            .groups
            .values()
            .filter(|group| group.stage != GroupStage::Serving)
            .flat_map(|group| &group.members);
        for id in changing {
            if let Some(vm) = self.vms.get_mut(id)
                && vm.next_probe.is_none()
                && !vm.probe_in_flight
                && vm
                    .reported
                    .is_none_or(|time| now.since(time).0 >= pause.0 / 4)
            {
                vm.next_probe = Some(now);
            }
        }
    }

    fn probe_due(&mut self, now: Timestamp) {
        for (id, vm) in &mut self.vms {
            let Some(address) = vm.address else {
                continue;
            };
            let is_due = vm.next_probe.is_some_and(|time| now >= time);
            if is_due && !vm.probe_in_flight {
                vm.probe_in_flight = true;
                vm.next_probe = None;
                self.effects.push(FleetEffect::Probe {
                    id: id.clone(),
                    address,
                });
            }
        }
    }

    fn may_plan(&mut self, view: FleetView<'_>, now: Timestamp) -> bool {
        if self.has_planned {
            return true;
        }
        let engines = view
            .table
            .rows()
            .filter(|row| view.config.engine(&row.entry.service).is_some());
        let (mut first, mut last) = (None, None);
        for row in engines {
            let appeared = row.appeared;
            first = Some(first.map_or(appeared, |time: Timestamp| time.min(appeared)));
            last = Some(last.map_or(appeared, |time: Timestamp| time.max(appeared)));
        }
        let (Some(first), Some(last)) = (first, last) else {
            return false;
        };
        let has_settled =
            now.since(last) >= self.timing.settle || now.since(first) >= self.timing.settle_limit;
        self.has_planned = has_settled;
        has_settled
    }

    fn free_vm(
        &self,
        entry: &BackendEntry,
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) -> bool {
        if entry.is_draining || entry.fabric_domain.is_none() {
            return false;
        }
        let Some(vm) = self.vms.get(&entry.id) else {
            return false;
        };
        if vm.in_flight.is_some() || vm.failed_probes > 0 || self.holder_of(&entry.id).is_some() {
            return false;
        }
        let Some(membership) = &entry.membership else {
            return true;
        };
        match membership.phase {
            MemberPhase::Broken => true,
            MemberPhase::Ready if self.ended.contains_key(&membership.key) => true,
            MemberPhase::Ready => match reported.get(&membership.key) {
                // The leader reports, and it is not under control: it does not serve.
                Some(group) if group.leader_phase.is_some() => !matches!(
                    group.leader_phase,
                    Some(MemberPhase::Open | MemberPhase::Closing)
                ),
                // The leader is unknown to this holder of the lease, and cannot be asked.
                _ => {
                    let removed = view.table.removed_leader(&membership.key);
                    let has_lapsed = removed.is_some_and(|row| row.has_lapsed);
                    let since = removed.map_or(self.acquired, |row| row.removed);
                    let limit = if has_lapsed {
                        self.timing.unknown_leader
                    } else {
                        self.timing.finish_limit
                    };
                    now.since(since) >= limit
                }
            },
            MemberPhase::Joining
            | MemberPhase::Open
            | MemberPhase::Closing
            | MemberPhase::Unknown => false,
        }
    }

    fn needs_of(
        &self,
        service: &ServiceId,
        profile: &EngineProfile,
        now: Timestamp,
    ) -> Vec<ModelNeed> {
        let has_traffic = self.demand.has_traffic();
        profile
            .models
            .iter()
            .map(|model| {
                let groups = self.groups.values().filter(|group| {
                    group.service == *service
                        && group.model == model.id
                        && matches!(
                            group.stage,
                            GroupStage::Joining | GroupStage::Opening | GroupStage::Serving
                        )
                });
                // Groups that others are closed for will be formed.
                let reserved = self
                    .reserved
                    .values()
                    .filter(|(reserved, _)| *reserved == model.id)
                    .count();
                ModelNeed {
                    id: model.id.clone(),
                    group_size: model.group_size,
                    capacity: (groups.count() + reserved) as f64,
                    demand: self.demand.groups(&model.id, now),
                    memory_join_time: self.timing.memory_join_time,
                    host_join_time: model.staged_join_time,
                    load_time: if has_traffic {
                        model.load_time
                    } else {
                        TimeSpan(model.load_time.0 / EARLY_LOAD_FACTOR)
                    },
                }
            })
            .collect()
    }

    fn form_groups(
        &mut self,
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) {
        for service in &view.config.services {
            let Some(profile) = &service.engine else {
                continue;
            };
            let entries: Vec<&BackendEntry> = view
                .table
                .rows()
                .map(|row| &row.entry)
                .filter(|entry| entry.service == service.id)
                .collect();
            let free: Vec<FreeVm> = entries
                .iter()
                .filter(|entry| self.free_vm(entry, view, reported, now))
                .filter_map(|entry| as_free_vm(entry))
                .collect();
            let mut needs = self.needs_of(&service.id, profile, now);
            self.exchange_groups(service, &free, &needs, view, now);
            self.form_reserved(&service.id, &free, &needs, now);
            let open: Vec<FreeVm> = free
                .into_iter()
                .filter(|vm| !self.reserved.contains_key(&vm.domain))
                .filter(|vm| self.holder_of(&vm.id).is_none())
                .collect();
            for group in plan_groups(open.clone(), &mut needs, self.join_loads()) {
                self.start_group(&service.id, group, now);
            }
            let left: Vec<FreeVm> = open
                .into_iter()
                .filter(|vm| self.holder_of(&vm.id).is_none())
                .collect();
            self.stage_models(profile, &left, &needs, view, now);
        }
    }

    /// Loads that joins may start. Before the first request loads are free; later, weights are put on hosts first,
    /// so that the other members do not wait for a load.
    fn join_loads(&self) -> LoadBudget {
        LoadBudget {
            available: if self.demand.has_traffic() {
                0
            } else {
                usize::MAX
            },
            weight: 0.0,
        }
    }

    /// Loads that may start. Beyond the number that run at full speed, each load would only slow down the others.
    fn load_budget(
        &mut self,
        profile: &EngineProfile,
        view: FleetView<'_>,
        now: Timestamp,
    ) -> LoadBudget {
        if !self.demand.has_traffic() {
            return LoadBudget {
                available: usize::MAX,
                weight: 0.0,
            };
        }
        let running = view
            .table
            .rows()
            .filter(|row| self.is_loading(&row.entry, now))
            .count();
        let by_rate = self.loads.available(profile.loads_per_second, now);
        LoadBudget {
            available: profile
                .concurrent_loads
                .saturating_sub(running)
                .min(by_rate),
            weight: 1.0,
        }
    }

    /// Whether a VM is loading from the weight store, for a join or onto its host.
    fn is_loading(&self, entry: &BackendEntry, now: Timestamp) -> bool {
        let Some(vm) = self.vms.get(&entry.id) else {
            return false;
        };
        let is_staging = vm
            .staging
            .as_ref()
            .is_some_and(|(model, until)| now < *until && !entry.staged.contains(model));
        let is_joining = entry
            .membership
            .as_ref()
            .is_some_and(|membership| membership.phase == MemberPhase::Joining);
        let is_told_to_load = vm.loading_until.is_some_and(|until| now < until);
        is_staging
            || (is_joining
                && !entry
                    .model
                    .as_ref()
                    .is_some_and(|model| entry.staged.contains(model)))
            || is_told_to_load
    }

    /// Forms the groups for which free VMs are reserved, once there are enough.
    fn form_reserved(
        &mut self,
        service: &ServiceId,
        free: &[FreeVm],
        needs: &[ModelNeed],
        now: Timestamp,
    ) {
        self.reserved.retain(|_, (_, until)| now < *until);
        for (domain, (model, _)) in self.reserved.clone() {
            let Some(need) = needs.iter().find(|need| need.id == model) else {
                continue;
            };
            let free: Vec<FreeVm> = free
                .iter()
                .filter(|vm| vm.domain == domain && self.holder_of(&vm.id).is_none())
                .cloned()
                .collect();
            if let Some(group) = plan_one(&domain, &free, need) {
                self.reserved.remove(&domain);
                self.start_group(service, group, now);
            }
        }
    }

    /// Closes groups of one model where another needs their VMs more.
    fn exchange_groups(
        &mut self,
        service: &ServiceRule,
        free: &[FreeVm],
        needs: &[ModelNeed],
        view: FleetView<'_>,
        now: Timestamp,
    ) {
        let mut donors: BTreeMap<FabricDomainId, Vec<DonorGroup>> = BTreeMap::new();
        let mut soon_free: BTreeMap<FabricDomainId, Vec<FreeVm>> = BTreeMap::new();
        for (key, group) in &self.groups {
            if group.service != service.id {
                continue;
            }
            let members: Vec<FreeVm> = group
                .members
                .iter()
                .filter_map(|id| as_free_vm(&view.table.get(id)?.entry))
                .collect();
            let Some(domain) = members.first().map(|vm| vm.domain.clone()) else {
                continue;
            };
            if matches!(
                group.stage,
                GroupStage::Closing { .. } | GroupStage::Dissolving
            ) {
                let healthy = members.into_iter().filter(|vm| !self.is_lost(&vm.id));
                soon_free.entry(domain).or_default().extend(healthy);
            } else if group.stage == GroupStage::Serving {
                donors.entry(domain.clone()).or_default().push(DonorGroup {
                    key: key.clone(),
                    model: group.model.clone(),
                    domain,
                    members,
                });
            }
        }
        if self.reserved.len() >= MAX_EXCHANGES {
            return;
        }
        let mut best: Option<PlannedExchange> = None;
        for (domain, donors) in donors {
            let is_recent = self
                .exchanged
                .get(&domain)
                .is_some_and(|time| now.since(*time) < self.timing.exchange_pause);
            if is_recent || self.reserved.contains_key(&domain) {
                continue;
            }
            let mut free: Vec<FreeVm> = free
                .iter()
                .filter(|vm| vm.domain == domain)
                .cloned()
                .collect();
            free.extend(soon_free.remove(&domain).unwrap_or_default());
            let planned = plan_exchange(&domain, &free, &donors, needs);
            if let Some(planned) = planned
                && best.as_ref().is_none_or(|best| planned.value > best.value)
            {
                best = Some(planned);
            }
        }
        if let Some(exchange) = best {
            self.start_exchange(exchange, now);
        }
    }

    fn start_exchange(&mut self, exchange: PlannedExchange, now: Timestamp) {
        let PlannedExchange {
            donors,
            model,
            domain,
            value,
        } = exchange;
        self.exchanged.insert(domain.clone(), now);
        let until = now + self.timing.reservation;
        self.reserved.insert(domain.clone(), (model.clone(), until));
        for key in donors {
            self.decided(format_compact!(
                "group={key} decision=close reason=exchange for_model={model} domain={domain} value={value:.2}"
            ));
            let stage = GroupStage::Closing {
                since: now,
                limit: self.timing.exchange_close_limit,
            };
            self.set_stage(&key, stage);
            self.order_leader(&key, BackendOrder::Close { key: key.clone() }, now);
        }
    }

    /// Has weights put on hosts, so that VMs can join groups without a load.
    ///
    /// Free VMs that can join nothing come first, then other free VMs. VMs that serve get a second model only
    /// while the weight store has nothing else to do.
    fn stage_models(
        &mut self,
        profile: &EngineProfile,
        free: &[FreeVm],
        needs: &[ModelNeed],
        view: FleetView<'_>,
        now: Timestamp,
    ) {
        let allowed = self.load_budget(profile, view, now).available;
        if allowed == 0 {
            return;
        }
        let stageable: Vec<FreeVm> = free
            .iter()
            .filter(|vm| self.may_stage(vm, view, now))
            .cloned()
            .collect();
        let staged = self.stage_best(plan_staging(&stageable, free, needs), allowed, now);
        let mut allowed = allowed - staged;
        if self.demand.has_traffic() {
            allowed = allowed.saturating_sub(RESERVED_LOADS);
        }
        let serving: Vec<FreeVm> = self
            .groups
            .values()
            .filter(|group| group.stage == GroupStage::Serving)
            .flat_map(|group| &group.members)
            .filter_map(|id| as_free_vm(&view.table.get(id)?.entry))
            .collect();
        let stageable: Vec<FreeVm> = serving
            .iter()
            .filter(|vm| self.may_stage(vm, view, now))
            .cloned()
            .collect();
        self.stage_best(plan_staging(&stageable, &serving, needs), allowed, now);
    }

    fn stage_best(
        &mut self,
        planned: Vec<PlannedStaging>,
        allowed: usize,
        now: Timestamp,
    ) -> usize {
        let mut sent = 0;
        for staging in planned {
            if sent == allowed {
                break;
            }
            sent += usize::from(self.stage(&staging.vm, &staging.model, staging.load_time, now));
        }
        sent
    }

    /// Whether a host has room for another model: what it holds now is not the only copy of a model that its VM
    /// may go back to.
    fn may_stage(&self, vm: &FreeVm, view: FleetView<'_>, now: Timestamp) -> bool {
        let Some(row) = view.table.get(&vm.id) else {
            return false;
        };
        let is_loaded = row.entry.membership.as_ref().is_none_or(|membership| {
            matches!(
                membership.phase,
                MemberPhase::Ready | MemberPhase::Open | MemberPhase::Broken
            )
        });
        let holds_another = vm
            .staged
            .iter()
            .any(|staged| Some(staged) != vm.last_model.as_ref());
        let is_idle = self.vms.get(&vm.id).is_some_and(|known| {
            known.in_flight.is_none()
                && known.failed_probes == 0
                && known.loading_until.is_none_or(|until| now >= until)
                && known
                    .staging
                    .as_ref()
                    .is_none_or(|(_, until)| now >= *until)
        });
        is_loaded && !holds_another && is_idle
    }

    fn stage(&mut self, id: &VmId, model: &ModelId, load_time: TimeSpan, now: Timestamp) -> bool {
        let order = BackendOrder::Stage {
            model: model.clone(),
        };
        let sent = self.send_order(id, order, now);
        if sent {
            self.loads.started(now);
            let limit = TimeSpan(load_time.0 * STAGING_PATIENCE);
            if let Some(vm) = self.vms.get_mut(id) {
                vm.staging = Some((model.clone(), now + limit));
            }
        }
        sent
    }

    fn start_group(&mut self, service: &ServiceId, planned: PlannedGroup, now: Timestamp) {
        let Some(term) = self.term else {
            return;
        };
        self.next_counter += 1;
        let generation = Generation((term.0 << COUNTER_BITS) | self.next_counter);
        let key = GroupKey {
            group: GroupId::new(format_compact!("g{}-{}", term, self.next_counter)),
            generation,
        };
        for id in &planned.loading {
            self.loads.started(now);
            if let Some(vm) = self.vms.get_mut(id) {
                vm.loading_until = Some(now + self.timing.join_visible);
            }
        }
        self.decided(format_compact!(
            "group={key} decision=form model={} domain={} members={} loads={} expected_ms={}",
            planned.model,
            planned.domain,
            planned.members.len(),
            planned.loading.len(),
            planned.join_time.as_millis()
        ));
        let group = ControlledGroup {
            service: service.clone(),
            model: planned.model.clone(),
            members: planned.members.clone(),
            stage: GroupStage::Joining,
            since: now,
            joined: BTreeMap::new(),
            last_order: None,
        };
        self.groups.insert(key.clone(), group);
        for id in &planned.members {
            let order = BackendOrder::Join {
                key: key.clone(),
                model: planned.model.clone(),
                members: planned.members.clone(),
            };
            self.send_order(id, order, now);
        }
    }
}
