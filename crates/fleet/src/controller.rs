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

mod adoption;
mod exchange;
mod forming;
mod idle;
mod messages;
mod orders;
mod probes;
mod release;
mod stages;
mod staging;
mod stats;
mod summary;
mod timing;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::demand::DemandEstimator;
use crate::groups::reported_groups;
use crate::load_rate::LoadRateLimiter;
use crate::plan::FreeVm;

pub use crate::controller::idle::IdleReason;
pub use crate::controller::messages::FleetEffect;
pub use crate::controller::messages::FleetEvent;
pub use crate::controller::messages::FleetView;
pub use crate::controller::messages::NodeTraffic;
pub use crate::controller::messages::ProbeResult;
pub use crate::controller::stats::FleetStats;
pub use crate::controller::stats::ModelStats;
pub use crate::controller::timing::ControllerTiming;

/// Part of the fleet's capacity that the traffic is expected to take until it is measured.
const EXPECTED_UTILISATION: f64 = 0.5;

/// Interval of the summary in the log.
const SUMMARY_INTERVAL: TimeSpan = TimeSpan(1000);

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
    Closing { until: Timestamp },
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
    /// Ended group that it was last told to leave.
    released: Option<GroupKey>,
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
    /// Groups that were formed in the term, by earlier holders of it, too.
    groups_formed: u64,
    groups: BTreeMap<GroupKey, ControlledGroup>,
    vms: BTreeMap<VmId, ControlledVm>,
    /// Groups that were given up, and when; their entries may still show them for a while.
    ended: BTreeMap<GroupKey, Timestamp>,
    /// Fabric domains whose free VMs are kept for a model, and until when.
    reserved: BTreeMap<FabricDomainId, (ModelId, Timestamp)>,
    /// When groups were last exchanged in a fabric domain.
    exchanged: BTreeMap<FabricDomainId, Timestamp>,
    demand: DemandEstimator,
    loads: LoadRateLimiter,
    acquired: Timestamp,
    has_planned: bool,
    summarised: Timestamp,
    /// Why each VM without a group was in none at the last summary.
    idle_reasons: BTreeMap<VmId, IdleReason>,
    is_store_lost: bool,
    effects: Vec<FleetEffect>,
}

impl FleetController {
    /// A controller without a term.
    pub fn new(timing: ControllerTiming) -> Self {
        Self {
            timing,
            term: None,
            groups_formed: 0,
            groups: BTreeMap::new(),
            vms: BTreeMap::new(),
            ended: BTreeMap::new(),
            reserved: BTreeMap::new(),
            exchanged: BTreeMap::new(),
            demand: DemandEstimator::default(),
            loads: LoadRateLimiter::default(),
            acquired: Timestamp(0),
            has_planned: false,
            summarised: Timestamp(0),
            idle_reasons: BTreeMap::new(),
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
            FleetEvent::Acquired(term) => self.acquire(term, 0, now),
            FleetEvent::TakenOver {
                term,
                groups_formed,
            } => self.acquire(term, groups_formed, now),
            FleetEvent::Lost => self.release(),
            FleetEvent::Tick => self.tick(view, now),
            FleetEvent::OrderCompleted { id, order, result } => {
                self.ordered(&id, order, result, now)
            }
            FleetEvent::ProbeCompleted { id, result } => self.probed(&id, result, now),
            FleetEvent::LeaderSilent { id } => self.silent(&id, now),
            FleetEvent::StoreLost(is_lost) => self.is_store_lost = is_lost,
            FleetEvent::Traffic(demands) => {
                self.expect_demand(view);
                self.demand.observe(demands, now);
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// Groups that were formed in the term.
    pub fn groups_formed(&self) -> u64 {
        self.groups_formed
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

    fn acquire(&mut self, term: LeaseEpoch, groups_formed: u64, now: Timestamp) {
        self.term = Some(term);
        self.groups_formed = groups_formed;
        self.groups.clear();
        self.vms.clear();
        self.ended.clear();
        self.reserved.clear();
        self.idle_reasons.clear();
        self.acquired = now;
        self.summarised = now;
        self.has_planned = false;
    }

    fn release(&mut self) {
        self.term = None;
        self.groups.clear();
        self.vms.clear();
    }

    fn decided(&mut self, text: CompactString) {
        self.effects.push(FleetEffect::LogDecision(text));
    }

    fn tick(&mut self, view: FleetView<'_>, now: Timestamp) {
        if self.term.is_none() {
            return;
        }
        self.follow_entries(view);
        if !view.is_table_current {
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
            self.release_members(view, now);
        }
        if now.since(self.summarised) >= SUMMARY_INTERVAL {
            self.summarise(view, &reported, now);
            self.summarised = now;
        }
    }

    fn holder_of(&self, id: &VmId) -> Option<&GroupKey> {
        self.groups
            .iter()
            .find(|(_, group)| group.members.contains(id))
            .map(|(key, _)| key)
    }
}
