//! The controller forms and repairs groups. It runs on the node that holds the controller's lease.
//!
//! The reports of the backend servers are the authoritative state of groups. The controller itself keeps only orders
//! whose effect has not been observed yet, so that another node can continue from the reports alone.
//!
//! # Invariants
//!
//! - A group is opened only after every member has reported that it holds its part of the weights under the group's
//!   name and generation.
//! - A VM is ordered to join another group only if the leader of its current group cannot serve any more, on one of the
//!   grounds of [`StopEvidence`](stop_evidence::StopEvidence).
//! - A group is not ended because a member is silent, only closed to new requests until the member answers or counts as
//!   lost.
//! - Every order to join carries the number of orders that the VM is known to have accepted, so that an order which
//!   arrives after a newer one is rejected. The number is of the same moment as the group by which the VM was judged free:
//!   an entry may be older than the number and hide a move to another group.

mod adoption;
mod exchange;
mod forming;
mod group_table;
mod idle;
mod messages;
mod orders;
mod probes;
mod reachability;
mod release;
mod stages;
mod staging;
mod stats;
mod stop_evidence;
mod stranded;
mod summary;
mod timing;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use compact_str::CompactString;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::controller::group_table::GroupTable;
use crate::controller::reachability::Reachability;
use crate::controller::stop_evidence::EndedGroup;
use crate::controller::stranded::LeftoverVms;
use crate::demand::DemandEstimator;
use crate::groups::reported_groups;
use crate::load_rate::LoadRateLimiter;
use crate::plan::FreeVm;
use crate::table::TableRow;

pub use crate::controller::idle::IdleReason;
pub use crate::controller::messages::FleetEffect;
pub use crate::controller::messages::FleetEvent;
pub use crate::controller::messages::FleetView;
pub use crate::controller::messages::NodeTraffic;
pub use crate::controller::messages::ProbeResult;
pub use crate::controller::messages::VmState;
pub use crate::controller::stats::FleetStats;
pub use crate::controller::stats::ModelStats;
pub use crate::controller::timing::ControllerTiming;

/// Fraction of the fleet's capacity that the traffic is assumed to use until enough of it has been observed.
const EXPECTED_UTILIZATION: f64 = 0.5;

/// Interval of the summary in the log and the metrics.
const SUMMARY_INTERVAL: TimeSpan = TimeSpan(1000);

/// Stage in the lifecycle of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
enum GroupStage {
    /// Members have been ordered to join, and load or connect the weights.
    Joining,
    /// The leader has been ordered to open.
    Opening,
    /// The leader accepts requests.
    Serving,
    /// The leader finishes its requests, because a member is draining or the VMs are needed for another model. After
    /// `until`, the group is dissolved.
    Closing { until: Timestamp },
    /// The leader is ordered to leave immediately, because a member is lost or the group cannot be used.
    Dissolving,
}

/// A group that the controller manages.
#[derive(Clone, Debug)]
struct ControlledGroup {
    service: ServiceId,
    model: ModelId,
    members: Vec<VmId>,
    stage: GroupStage,
    /// Whether a previous holder has formed the group, so that its order to open may take effect unseen.
    is_adopted: bool,
    /// When this controller formed or adopted the group.
    created: Timestamp,
    /// Groups that the members belonged to when this group was formed.
    origins: BTreeMap<VmId, Option<GroupKey>>,
    /// Members that have accepted the order to join, with the time of acceptance.
    joined: BTreeMap<VmId, Timestamp>,
    /// When the last order of the current stage was sent to the leader.
    last_order: Option<Timestamp>,
}

impl ControlledGroup {
    fn leader(&self) -> &VmId {
        &self.members[0]
    }

    /// Whether the group serves or will.
    fn counts_as_capacity(&self) -> bool {
        matches!(
            self.stage,
            GroupStage::Joining | GroupStage::Opening | GroupStage::Serving
        )
    }
}

/// The controller's state of a VM, beyond what its entry contains.
#[derive(Clone, Debug, Default)]
struct ControlledVm {
    started: u64,
    address: Option<SocketAddr>,
    /// `None` until its entry has been seen.
    failure_domain: Option<FailureDomainId>,
    /// State by the VM's reports and responses; `None` while it is uncertain.
    state: Option<VmState>,
    in_flight: Option<BackendOrder>,
    /// Ended group that the VM was last ordered to leave.
    released_from: Option<GroupKey>,
    next_order: Option<Timestamp>,
    /// Model that is being staged on the host, and the time after which the staging counts as failed.
    staging: Option<(ModelId, Timestamp)>,
    /// Time until which a load for a join counts as running even if the entry does not show it yet.
    loading_until: Option<Timestamp>,
    probe_in_flight: bool,
    next_probe: Option<Timestamp>,
    reachability: Reachability,
    /// When a report was last received.
    last_report: Option<Timestamp>,
}

fn to_free_vm(row: &TableRow) -> Option<FreeVm> {
    let entry = &row.entry;
    Some(FreeVm {
        id: entry.id.clone(),
        domain: entry.fabric_domain.clone()?,
        last_model: row.last_model.clone(),
        staged: entry.staged.clone(),
    })
}

/// State machine that forms, repairs and closes groups while its node holds the lease.
#[derive(Debug)]
pub struct FleetController {
    timing: ControllerTiming,
    term: Option<LeaseEpoch>,
    /// Number of groups formed in the current term.
    groups_formed: u64,
    groups: GroupTable,
    vms: BTreeMap<VmId, ControlledVm>,
    /// Groups that the controller has ended, with the time. Entries may still show them for a while.
    ended_groups: BTreeMap<GroupKey, EndedGroup>,
    /// Fabric domains whose free VMs are reserved for a model, and the expiry of the reservation.
    reservations: BTreeMap<FabricDomainId, (ModelId, Timestamp)>,
    /// Leaders without an entry of groups that are not managed. They are probed as long as their members report them.
    unregistered_leaders: BTreeSet<VmId>,
    /// Time of the last exchange in each fabric domain.
    last_exchanges: BTreeMap<FabricDomainId, Timestamp>,
    /// VMs of each fabric domain that the last plan has left in no group.
    leftovers: BTreeMap<(ServiceId, FabricDomainId), LeftoverVms>,
    demand: DemandEstimator,
    load_limiter: LoadRateLimiter,
    term_start: Timestamp,
    has_planned: bool,
    last_summary: Timestamp,
    /// Reason that was last logged for each idle VM.
    idle_reasons: BTreeMap<VmId, IdleReason>,
    is_store_unreachable: bool,
    /// Parts of their slots that leaders with a request limit can use.
    limited: BTreeMap<VmId, f64>,
    /// VMs that want nothing from this node, with the time until which they do.
    paused: BTreeMap<VmId, Timestamp>,
    /// Failure domains whose VMs get nothing.
    evacuated: BTreeSet<FailureDomainId>,
    effects: Vec<FleetEffect>,
}

impl FleetController {
    /// Creates a controller that gives no orders until it receives a term.
    pub fn new(timing: ControllerTiming) -> Self {
        Self {
            timing,
            term: None,
            groups_formed: 0,
            groups: GroupTable::default(),
            vms: BTreeMap::new(),
            ended_groups: BTreeMap::new(),
            reservations: BTreeMap::new(),
            unregistered_leaders: BTreeSet::new(),
            last_exchanges: BTreeMap::new(),
            leftovers: BTreeMap::new(),
            demand: DemandEstimator::default(),
            load_limiter: LoadRateLimiter::default(),
            term_start: Timestamp(0),
            has_planned: false,
            last_summary: Timestamp(0),
            idle_reasons: BTreeMap::new(),
            is_store_unreachable: false,
            limited: BTreeMap::new(),
            paused: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            effects: Vec::new(),
        }
    }

    /// Handles an event and returns the effects to carry out, in order.
    pub fn step(
        &mut self,
        event: FleetEvent,
        view: FleetView<'_>,
        now: Timestamp,
    ) -> Vec<FleetEffect> {
        match event {
            FleetEvent::Acquired(term) => self.start_term(term, now),
            FleetEvent::Lost => self.end_term(),
            FleetEvent::Tick => self.tick(view, now),
            FleetEvent::OrderDone { id, order, result } => self.order_done(&id, order, result, now),
            FleetEvent::ProbeDone { id, result } => self.probe_done(&id, result, now),
            FleetEvent::LeaderStalled { id } => self.handle_stalled_leader(&id, now),
            FleetEvent::Limited(leaders) => self.limited = leaders.into_iter().collect(),
            FleetEvent::Paused(vms) => self.paused = vms.into_iter().collect(),
            FleetEvent::Evacuated(domains) => self.evacuated = domains,
            FleetEvent::StoreUnreachable(value) => self.is_store_unreachable = value,
            FleetEvent::Traffic(traffic) => {
                self.estimate_initial_demand(view);
                self.demand.observe(traffic, now);
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// Leaders of the groups that must not receive new requests.
    pub fn closed_leaders(&self) -> Vec<VmId> {
        self.groups
            .values()
            .filter(|group| {
                matches!(
                    group.stage,
                    GroupStage::Closing { .. } | GroupStage::Dissolving
                ) || self.has_silent_member(group)
            })
            .map(|group| group.leader().clone())
            .collect()
    }

    /// Derives the initial demand from the configured work shares and the number of registered VMs.
    fn estimate_initial_demand(&mut self, view: FleetView<'_>) {
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
                self.demand
                    .set_initial_estimate(&model.id, groups * EXPECTED_UTILIZATION);
            }
        }
    }

    fn start_term(&mut self, term: LeaseEpoch, now: Timestamp) {
        self.term = Some(term);
        self.groups_formed = 0;
        self.groups.clear();
        self.vms.clear();
        self.ended_groups.clear();
        self.reservations.clear();
        self.leftovers.clear();
        self.unregistered_leaders.clear();
        self.idle_reasons.clear();
        self.term_start = now;
        self.last_summary = now;
        self.has_planned = false;
    }

    fn end_term(&mut self) {
        self.term = None;
        self.groups.clear();
        self.vms.clear();
    }

    fn log_decision(&mut self, text: CompactString) {
        self.effects.push(FleetEffect::LogDecision(text));
    }

    fn tick(&mut self, view: FleetView<'_>, now: Timestamp) {
        if self.term.is_none() {
            return;
        }
        self.sync_vms(view);
        if !view.is_table_current {
            self.send_due_probes(now);
            return;
        }
        let reported = reported_groups(view.table, view.config);
        self.adopt(&reported, view, now);
        self.probe_unknown_states(view, now);
        let keys: Vec<GroupKey> = self.groups.keys().cloned().collect();
        for key in keys {
            self.advance(&key, view, reported.get(&key), now);
        }
        if self.is_store_unreachable {
            self.probe_changing_groups(now);
        }
        self.send_due_probes(now);
        if self.may_plan(view, now) {
            self.form_groups(view, &reported, now);
            self.release_members(view, &reported, now);
        }
        if now.since(self.last_summary) >= SUMMARY_INTERVAL {
            self.summarize(view, &reported, now);
            self.last_summary = now;
        }
    }

    /// Whether a VM must get nothing from this node for now: it has asked for a pause, or its failure domain is evacuated.
    fn is_paused(&self, id: &VmId, now: Timestamp) -> bool {
        self.is_evacuated(id) || self.paused.get(id).is_some_and(|until| now < *until)
    }

    /// Whether the failure domain of a VM is evacuated.
    fn is_evacuated(&self, id: &VmId) -> bool {
        let vm = self.vms.get(id);
        let domain = vm.and_then(|vm| vm.failure_domain.as_ref());
        domain.is_some_and(|domain| self.evacuated.contains(domain))
    }

    /// Whether the VMs of a group get nothing, because their failure domain is evacuated.
    fn is_group_evacuated(&self, group: &ControlledGroup) -> bool {
        self.is_evacuated(group.leader())
    }

    fn group_of(&self, id: &VmId) -> Option<&GroupKey> {
        self.groups.group_of(id)
    }
}
