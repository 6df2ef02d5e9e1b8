//! The control lane: configuration, membership, health, leases and placement.
//!
//! Each part owns its state and returns effects as data; this module passes facts between them and
//! wraps their effects. Calls to the store carry the part they belong to, so that the answer finds
//! its way back.

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
use crate::documents::DocumentExchange;
use crate::fleet::FleetIndex;
use crate::operator::ChangeTracker;

/// Time between the control lane's periodic work, such as the planner's input.
const HOUSEKEEPING_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// Time between views that carry only news which can wait, such as reports and usage.
const VIEW_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// Time between probes of the VMs of held shards; their holder needs all reports itself.
const SHARD_PROBE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Time without any answer after which the store counts as down. A single failed call is no outage.
const STORE_GRACE: TimeSpan = TimeSpan::from_secs(2);

/// Settings of the control lane.
#[derive(Clone, Debug, Default)]
pub struct ControlSettings {
    /// Membership.
    pub membership: MembershipSettings,
    /// Health.
    pub health: HealthSettings,
    /// Leases.
    pub lease: LeaseSettings,
    /// Placement.
    pub placement: PlacementSettings,
    /// Division of account floors.
    pub admission: AdmissionSettings,
}

/// State of the control lane.
pub struct ControlState {
    pub(crate) settings: ControlSettings,
    pub(crate) own: NodeRecord,
    pub(crate) config: ConfigTable,
    pub(crate) fleet: FleetIndex,
    pub(crate) membership: MembershipTracker,
    pub(crate) health: HealthTracker,
    pub(crate) leases: LeaseTable,
    pub(crate) shards: ShardController,
    pub(crate) changes: ChangeTracker,
    pub(crate) usage: Vec<AccountUsage>,
    pub(crate) peer_usage: BTreeMap<NodeKey, Vec<AccountUsage>>,
    /// Reports read by this node, with the time of their arrival.
    pub(crate) reports: BTreeMap<VmId, (EngineReport, Timestamp)>,
    pub(crate) store_reachable: bool,
    /// When the store last answered.
    store_seen: Timestamp,
    pub(crate) stopping: bool,
    pub(crate) documents: DocumentExchange,
    pub(crate) health_probes: BTreeSet<VmId>,
    last_housekeeping: Timestamp,
    last_shard_probe: Timestamp,
    /// When account usage was last spread, and what was.
    pub(crate) usage_spread: (Timestamp, Vec<AccountUsage>),
    /// Whether the view is out of date.
    pub(crate) view_changed: bool,
    /// Whether routing must see the change with the next tick.
    pub(crate) view_urgent: bool,
    last_view: Timestamp,
}

impl ControlState {
    /// A node that knows nothing but itself and its seeds.
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
            changes: ChangeTracker::new(key.clone()),
            config: ConfigTable::default(),
            fleet: FleetIndex::default(),
            usage: Vec::new(),
            peer_usage: BTreeMap::new(),
            reports: BTreeMap::new(),
            store_reachable: true,
            store_seen: Timestamp::default(),
            stopping: false,
            documents: DocumentExchange::new(&key),
            usage_spread: (Timestamp::default(), Vec::new()),
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

    /// Applies one event and returns what is to be done.
    pub fn step(&mut self, event: ControlEvent, now: Timestamp) -> Vec<ControlEffect> {
        let mut effects = Vec::new();
        match event {
            ControlEvent::Tick => self.tick(now, &mut effects),
            ControlEvent::PeerReceived(message) => self.peer_received(message, now, &mut effects),
            ControlEvent::PeerFailed(to) => {
                self.membership_step(MembershipEvent::SendFailed(to), now, &mut effects);
            }
            ControlEvent::ObjectsChanged { kind, objects } => {
                self.objects_changed(kind, objects, now, &mut effects);
            }
            ControlEvent::StoreReachable(reachable) => {
                self.store_answered(reachable, now, &mut effects);
            }
            ControlEvent::CallAnswered {
                caller,
                call,
                outcome,
            } => {
                let failed = matches!(outcome, StoreOutcome::Unavailable | StoreOutcome::Unknown);
                self.store_answered(!failed, now, &mut effects);
                self.call_answered(caller, call, outcome, now, &mut effects);
            }
            ControlEvent::VmsListed(list) => {
                self.health_step(HealthEvent::Listed(list), now, &mut effects);
            }
            ControlEvent::VmReported {
                vm,
                outcome,
                latency,
            } => self.vm_reported(vm, outcome, latency, now, &mut effects),
            ControlEvent::OrderAnswered { vm, order, outcome } => {
                let event = ShardEvent::OrderAnswered { vm, order, outcome };
                self.shard_step(event, now, &mut effects);
            }
            ControlEvent::Attempted { vm, finding } => {
                self.health_step(HealthEvent::Attempted { vm, finding }, now, &mut effects);
            }
            ControlEvent::UsageMeasured(usage) => self.usage_measured(usage, now, &mut effects),
            ControlEvent::LedgerMoved { successor } => {
                let event = MembershipEvent::Publish(RumorBody::Handover(successor));
                self.membership_step(event, now, &mut effects);
            }
            ControlEvent::ApplyRequested {
                ticket,
                name,
                expected,
                value,
            } => {
                let answers = self.changes.apply(ticket, &name, expected, &value);
                self.apply_operator_effects(answers, now, &mut effects);
            }
            ControlEvent::DrainRequested {
                ticket,
                vm,
                drained,
            } => {
                let answers = self.changes.drain(ticket, vm, drained);
                self.apply_operator_effects(answers, now, &mut effects);
            }
            ControlEvent::StopRequested => {
                self.stopping = true;
                self.lease_step(LeaseEvent::Release, now, &mut effects);
                self.membership_step(MembershipEvent::Leave, now, &mut effects);
                self.view_urgent = true;
            }
            ControlEvent::Stopped => {
                self.membership_step(MembershipEvent::Stop, now, &mut effects);
            }
        }
        effects
    }

    /// Whether the node may take callers.
    pub fn is_ready(&self) -> bool {
        self.config.is_complete() && !self.stopping
    }

    /// Whether the store answered when it was last called.
    pub fn is_store_reachable(&self) -> bool {
        self.store_reachable
    }

    /// States of all VMs of the inventory.
    pub fn vm_states(&self) -> impl Iterator<Item = VmState> + Clone {
        self.fleet.vms.keys().map(|vm| self.health.state(vm))
    }

    /// Shards whose lease this node holds.
    pub fn held_shards(&self, now: Timestamp) -> BTreeSet<FabricDomainId> {
        let held = self.leases.held(now);
        held.into_iter().map(|(shard, _, _)| shard).collect()
    }

    pub(crate) fn tick(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        self.membership_step(MembershipEvent::Tick, now, effects);
        self.lease_step(LeaseEvent::Tick, now, effects);
        self.health_step(HealthEvent::Tick, now, effects);
        self.exchange_documents(now, effects);
        if now.since(self.last_housekeeping) >= HOUSEKEEPING_INTERVAL {
            self.last_housekeeping = now;
            self.run_housekeeping(now, effects);
        }
        // A view per report would copy the fleet hundreds of times a second. What tells routing to
        // leave a VM or a node out does not wait.
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
        self.health_step(HealthEvent::PeersReachable(reachable), now, effects);
        let held = self.leases.held(now);
        if !held.is_empty() {
            self.probe_held_shards(&held, now, effects);
            let input = Arc::new(self.planner_input(now));
            self.shard_step(ShardEvent::Tick { input, held }, now, effects);
        }
        // Reports age without an event of their own, so the view is refreshed at this rate.
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

    pub(crate) fn store_answered(
        &mut self,
        reachable: bool,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        if reachable {
            self.store_seen = now;
        }
        let silent = !reachable && now.since(self.store_seen) >= STORE_GRACE;
        if self.store_reachable != silent {
            return;
        }
        self.store_reachable = reachable;
        let (choice, reason) = if reachable {
            ("resume", "the platform's store answers again")
        } else {
            (
                "freeze",
                "the platform's store does not answer; serving goes on with the known placement, \
                 and no placement or configuration changes",
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

    pub(crate) fn vm_reported(
        &mut self,
        vm: VmId,
        outcome: Result<EngineReport, ProbeFailure>,
        latency: TimeSpan,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        // An answer from another VM under this address is no report of this VM.
        let outcome = match outcome {
            Ok(report) if report.vm != vm => Err(ProbeFailure::Invalid),
            other => other,
        };
        match &outcome {
            Ok(report) => {
                self.reports.insert(vm.clone(), (report.clone(), now));
                self.shard_step(ShardEvent::Reported(report.clone()), now, effects);
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
            self.health_step(event, now, effects);
        }
        self.view_changed = true;
    }
}
