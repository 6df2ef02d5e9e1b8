//! The control plane: configuration, membership, health, leases and placement.
//!
//! Each component owns its state and returns effects as data; this module passes events between the
//! components and converts their effects. Store calls carry the component that issued them, so that
//! the outcome can be delivered to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use jaysaddle_admission::AdmissionSettings;
use jaysaddle_health::HealthEvent;
use jaysaddle_health::HealthSettings;
use jaysaddle_health::HealthTracker;
use jaysaddle_health::ProbeFailure;
use jaysaddle_lease::LeaseEvent;
use jaysaddle_lease::LeaseSettings;
use jaysaddle_lease::LeaseTable;
use jaysaddle_membership::MembershipEvent;
use jaysaddle_membership::MembershipSettings;
use jaysaddle_membership::MembershipTracker;
use jaysaddle_membership::RumorBody;
use jaysaddle_placement::PlacementSettings;
use jaysaddle_placement::ShardController;
use jaysaddle_placement::ShardEvent;
use jaysaddle_types::decision::DecisionKind;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::VmState;

use crate::config::ConfigTable;
use crate::control_event::ControlEffect;
use crate::control_event::ControlEvent;
use crate::document_exchange::DocumentExchange;
use crate::fleet::FleetIndex;
use crate::operator::ChangeTracker;

/// Interval of periodic work, such as building the planner's input.
const HOUSEKEEPING_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// Minimum interval between views that contain only non-urgent changes, such as reports and usage.
const VIEW_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// Interval between probes of the VMs of held shards. The lease holder needs reports of
/// all of them.
const SHARD_PROBE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Time without a response after which the store counts as unreachable, so that a single failed
/// call does not count as an outage.
const STORE_OUTAGE_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// Settings of the control plane's components.
#[derive(Clone, Debug, Default)]
pub struct ControlSettings {
    /// Probe and rumor intervals of the membership protocol.
    pub membership: MembershipSettings,
    /// VM probing and failure detection.
    pub health: HealthSettings,
    /// Acquisition and renewal of shard leases.
    pub lease: LeaseSettings,
    /// Planning of placements, and the orders that implement them.
    pub placement: PlacementSettings,
    /// Division of the accounts' floors among nodes.
    pub admission: AdmissionSettings,
}

/// State of the control plane.
pub struct ControlState {
    pub(crate) settings: ControlSettings,
    pub(crate) own: NodeRecord,
    pub(crate) config: ConfigTable,
    pub(crate) fleet: FleetIndex,
    pub(crate) membership: MembershipTracker,
    pub(crate) health: HealthTracker,
    pub(crate) leases: LeaseTable,
    pub(crate) shards: ShardController,
    pub(crate) operator_changes: ChangeTracker,
    pub(crate) usage: Vec<AccountUsage>,
    pub(crate) peer_usage: BTreeMap<NodeKey, Vec<AccountUsage>>,
    /// Latest report of each VM that this node probed, with the time of its arrival.
    pub(crate) reports: BTreeMap<VmId, (EngineReport, Timestamp)>,
    pub(crate) store_reachable: bool,
    /// Time of the store's latest response.
    last_store_response: Timestamp,
    pub(crate) stopping: bool,
    pub(crate) documents: DocumentExchange,
    pub(crate) health_probes: BTreeSet<VmId>,
    last_housekeeping: Timestamp,
    last_shard_probe: Timestamp,
    /// Time and content of the latest usage rumor.
    pub(crate) published_usage: (Timestamp, Vec<AccountUsage>),
    /// Whether the published view is out of date.
    pub(crate) view_changed: bool,
    /// Whether the view must be published with the next tick, without waiting
    /// for [`VIEW_INTERVAL`].
    pub(crate) view_urgent: bool,
    last_view: Timestamp,
}

impl ControlState {
    /// Creates the state of a node that has only its own record and its seed addresses.
    pub fn new(
        settings: ControlSettings,
        own: NodeRecord,
        seeds: Vec<SocketAddr>,
        seed: u64,
    ) -> Self {
        let key = own.key.clone();
        Self {
            membership: MembershipTracker::new(
                settings.membership.clone(),
                own.clone(),
                seeds,
                seed,
            ),
            health: HealthTracker::new(
                settings.health.clone(),
                key.clone(),
                own.failure_domain.clone(),
            ),
            leases: LeaseTable::new(settings.lease.clone(), key.clone(), seed),
            shards: ShardController::new(settings.placement.clone(), key.clone(), seed),
            operator_changes: ChangeTracker::new(key.clone()),
            config: ConfigTable::default(),
            fleet: FleetIndex::default(),
            usage: Vec::new(),
            peer_usage: BTreeMap::new(),
            reports: BTreeMap::new(),
            store_reachable: true,
            last_store_response: Timestamp::default(),
            stopping: false,
            documents: DocumentExchange::new(&key),
            published_usage: (Timestamp::default(), Vec::new()),
            health_probes: BTreeSet::new(),
            last_housekeeping: Timestamp::default(),
            last_shard_probe: Timestamp::default(),
            view_changed: true,
            view_urgent: true,
            last_view: Timestamp::default(),
            settings,
            own,
        }
    }

    /// Applies one event and returns the resulting effects.
    pub fn step(&mut self, event: ControlEvent, now: Timestamp) -> Vec<ControlEffect> {
        let mut effects = Vec::new();
        match event {
            ControlEvent::Tick => self.tick(now, &mut effects),
            ControlEvent::PeerReceived(message) => self.handle_message(message, now, &mut effects),
            ControlEvent::PeerFailed(to) => {
                self.step_membership(MembershipEvent::SendFailed(to), now, &mut effects);
            }
            ControlEvent::ObjectsChanged { kind, objects } => {
                self.handle_objects(kind, objects, now, &mut effects);
            }
            ControlEvent::StoreReachable(reachable) => {
                self.update_store_reachability(reachable, now, &mut effects);
            }
            ControlEvent::CallCompleted {
                caller,
                call,
                outcome,
            } => {
                let failed = matches!(outcome, StoreOutcome::Unavailable | StoreOutcome::Unknown);
                self.update_store_reachability(!failed, now, &mut effects);
                self.handle_call_outcome(caller, call, outcome, now, &mut effects);
            }
            ControlEvent::VmsListed(list) => {
                self.step_health(HealthEvent::Listed(list), now, &mut effects);
            }
            ControlEvent::VmReported {
                vm,
                outcome,
                latency,
            } => self.handle_vm_report(vm, outcome, latency, now, &mut effects),
            ControlEvent::OrderCompleted { vm, order, outcome } => {
                let event = ShardEvent::OrderCompleted { vm, order, outcome };
                self.step_shards(event, now, &mut effects);
            }
            ControlEvent::Attempted { vm, finding } => {
                self.step_health(HealthEvent::Attempted { vm, finding }, now, &mut effects);
            }
            ControlEvent::UsageMeasured(usage) => self.handle_usage(usage, now, &mut effects),
            ControlEvent::LedgerMoved { successor } => {
                let event = MembershipEvent::Publish(RumorBody::Handover(successor));
                self.step_membership(event, now, &mut effects);
            }
            ControlEvent::ApplyRequested {
                ticket,
                name,
                expected,
                value,
            } => {
                let operator_effects = self.operator_changes.apply(ticket, &name, expected, &value);
                self.apply_operator_effects(operator_effects, now, &mut effects);
            }
            ControlEvent::DrainRequested {
                ticket,
                vm,
                drained,
            } => {
                let operator_effects = self.operator_changes.drain(ticket, vm, drained);
                self.apply_operator_effects(operator_effects, now, &mut effects);
            }
            ControlEvent::StopRequested => {
                self.stopping = true;
                self.step_leases(LeaseEvent::Release, now, &mut effects);
                self.step_membership(MembershipEvent::Leave, now, &mut effects);
                self.view_urgent = true;
            }
            ControlEvent::Stopped => {
                self.step_membership(MembershipEvent::Stop, now, &mut effects);
            }
        }
        effects
    }

    /// Returns whether the node can accept callers: it is configured and not stopping.
    pub fn is_ready(&self) -> bool {
        self.config.is_complete() && !self.stopping
    }

    /// Returns whether the store counts as reachable; false once it has not
    /// responded for [`STORE_OUTAGE_TIMEOUT`].
    pub fn is_store_reachable(&self) -> bool {
        self.store_reachable
    }

    /// Returns the states of all VMs of the active inventories.
    pub fn vm_states(&self) -> impl Iterator<Item = VmState> + Clone {
        self.fleet.vms.keys().map(|vm| self.health.state(vm))
    }

    /// Returns the shards whose lease this node holds.
    pub fn held_shards(&self, now: Timestamp) -> BTreeSet<FabricDomainId> {
        let held = self.leases.held(now);
        held.into_iter().map(|(shard, _, _)| shard).collect()
    }

    pub(crate) fn tick(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        self.step_membership(MembershipEvent::Tick, now, effects);
        self.step_leases(LeaseEvent::Tick, now, effects);
        self.step_health(HealthEvent::Tick, now, effects);
        self.exchange_documents(now, effects);
        if now.since(self.last_housekeeping) >= HOUSEKEEPING_INTERVAL {
            self.last_housekeeping = now;
            self.run_housekeeping(now, effects);
        }
        // Publishing a view for each report would copy the fleet hundreds of times a second.
        // Changes that exclude a VM or a node from routing are published immediately.
        let due = now.since(self.last_view) >= VIEW_INTERVAL;
        if self.view_urgent || (self.view_changed && due) {
            self.view_changed = false;
            self.view_urgent = false;
            self.last_view = now;
            self.publish_view(now, effects);
        }
    }

    pub(crate) fn run_housekeeping(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        let reachable = self.membership.reachable_permille(now);
        self.step_health(HealthEvent::PeersReachable(reachable), now, effects);
        let held = self.leases.held(now);
        if !held.is_empty() {
            self.probe_held_shards(&held, now, effects);
            let input = Arc::new(self.planner_input(now));
            self.step_shards(ShardEvent::Tick { input, held }, now, effects);
        }
        // Reports age without producing an event, so the view is refreshed at this interval.
        self.view_changed = true;
    }

    pub(crate) fn probe_held_shards(
        &mut self,
        held: &[(FabricDomainId, LeaseEpoch, Timestamp)],
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        if now.since(self.last_shard_probe) < SHARD_PROBE_INTERVAL {
            return;
        }
        self.last_shard_probe = now;
        let shards: BTreeSet<_> = held.iter().map(|(shard, _, _)| shard).collect();
        for vm in self.fleet.vms.values() {
            let fresh = self
                .reports
                .get(&vm.entry.name)
                .is_some_and(|(_, at)| now.since(*at) < SHARD_PROBE_INTERVAL);
            if shards.contains(&vm.entry.fabric_domain) && !fresh {
                effects.push(ControlEffect::ProbeVm {
                    vm: vm.entry.name.clone(),
                    address: vm.entry.address,
                    timeout: self.settings.health.probe_timeout,
                });
            }
        }
    }

    pub(crate) fn update_store_reachability(
        &mut self,
        reachable: bool,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        if reachable {
            self.last_store_response = now;
        }
        let is_outage = !reachable && now.since(self.last_store_response) >= STORE_OUTAGE_TIMEOUT;
        if self.store_reachable != is_outage {
            return;
        }
        self.store_reachable = reachable;
        let (choice, reason) = if reachable {
            ("resume", "the platform's store responds again")
        } else {
            (
                "freeze",
                "the platform's store does not respond; serving continues with the known \
                 placement, and placement and configuration do not change",
            )
        };
        effects.push(ControlEffect::Decision(DecisionRecord {
            kind: DecisionKind::Config,
            subject: "store".into(),
            inputs: CompactString::default(),
            choice: choice.into(),
            reason: reason.into(),
        }));
    }

    pub(crate) fn handle_vm_report(
        &mut self,
        vm: VmId,
        outcome: Result<EngineReport, ProbeFailure>,
        latency: TimeSpan,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        // Reject the report if another VM responded at this address.
        let outcome = match outcome {
            Ok(report) if report.vm != vm => Err(ProbeFailure::Invalid),
            other => other,
        };
        match &outcome {
            Ok(report) => {
                self.reports.insert(vm.clone(), (report.clone(), now));
                self.step_shards(ShardEvent::Reported(report.clone()), now, effects);
            }
            Err(_) => {
                self.reports.remove(&vm);
            }
        }
        if self.health_probes.remove(&vm) {
            let event = HealthEvent::Probed {
                vm,
                outcome,
                latency,
            };
            self.step_health(event, now, effects);
        }
        self.view_changed = true;
    }
}
