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
use compact_str::format_compact;
use jaysaddle_admission::AdmissionSettings;
use jaysaddle_health::HealthEffect;
use jaysaddle_health::HealthEvent;
use jaysaddle_health::HealthSettings;
use jaysaddle_health::HealthTracker;
use jaysaddle_health::ProbeFailure;
use jaysaddle_health::WatcherPlace;
use jaysaddle_lease::CandidatePlace;
use jaysaddle_lease::LeaseEffect;
use jaysaddle_lease::LeaseEvent;
use jaysaddle_lease::LeaseSettings;
use jaysaddle_lease::LeaseTable;
use jaysaddle_membership::MembershipEffect;
use jaysaddle_membership::MembershipEvent;
use jaysaddle_membership::MembershipSettings;
use jaysaddle_membership::MembershipTracker;
use jaysaddle_membership::RumorBody;
use jaysaddle_placement::PlacementSettings;
use jaysaddle_placement::ShardController;
use jaysaddle_placement::ShardEffect;
use jaysaddle_placement::ShardEvent;
use jaysaddle_types::decision::DecisionKind;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::DocumentName;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::VmState;
use jaysaddle_wire::messages::DocumentReplyMessage;
use jaysaddle_wire::messages::DocumentRequestMessage;
use jaysaddle_wire::messages::PeerBody;
use jaysaddle_wire::messages::PeerMessage;

use crate::config::ConfigTable;
use crate::config::OfferOutcome;
use crate::control_event::ControlEffect;
use crate::control_event::ControlEvent;
use crate::control_event::StoreCaller;
use crate::fleet::FleetIndex;
use crate::operator::OperatorDesk;
use crate::operator::OperatorEffect;

/// Time between the control lane's periodic work, such as the planner's input.
const HOUSEKEEPING_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// Time between views that carry only news which can wait, such as reports and usage.
const VIEW_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// Time between probes of the VMs of held shards; their holder needs all reports itself.
const SHARD_PROBE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Time for which a watch may deliver a document before a peer is asked for it. The watch is
/// usually faster, and then costs the peers nothing.
const PEER_FETCH_DELAY: TimeSpan = TimeSpan::from_millis(500);

/// Time until another request for the same document.
const PEER_FETCH_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

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

/// A document that a peer has in a higher version.
#[derive(Clone, Debug)]
struct WantedDocument {
    version: ObjectVersion,
    source: NodeKey,
    since: Timestamp,
    asked: Option<Timestamp>,
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
    pub(crate) operators: OperatorDesk,
    pub(crate) usage: Vec<AccountUsage>,
    pub(crate) peer_usage: BTreeMap<NodeKey, Vec<AccountUsage>>,
    /// Reports read by this node, with the time of their arrival.
    pub(crate) reports: BTreeMap<VmId, (EngineReport, Timestamp)>,
    pub(crate) store_reachable: bool,
    /// When the store last answered.
    store_seen: Timestamp,
    pub(crate) stopping: bool,
    wanted: BTreeMap<DocumentName, WantedDocument>,
    health_probes: BTreeSet<VmId>,
    last_housekeeping: Timestamp,
    last_shard_probe: Timestamp,
    /// Whether the view is out of date.
    view_changed: bool,
    /// Whether routing must see the change with the next tick.
    view_urgent: bool,
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
            operators: OperatorDesk::new(key),
            config: ConfigTable::default(),
            fleet: FleetIndex::default(),
            usage: Vec::new(),
            peer_usage: BTreeMap::new(),
            reports: BTreeMap::new(),
            store_reachable: true,
            store_seen: Timestamp::default(),
            stopping: false,
            wanted: BTreeMap::new(),
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
                let answers = self.operators.apply(ticket, &name, expected, &value);
                self.apply_operator_effects(answers, now, &mut effects);
            }
            ControlEvent::DrainRequested {
                ticket,
                vm,
                drained,
            } => {
                let answers = self.operators.drain(ticket, vm, drained);
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

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        self.membership_step(MembershipEvent::Tick, now, effects);
        self.lease_step(LeaseEvent::Tick, now, effects);
        self.health_step(HealthEvent::Tick, now, effects);
        self.fetch_wanted(now, effects);
        if now.since(self.last_housekeeping) >= HOUSEKEEPING_INTERVAL {
            self.last_housekeeping = now;
            self.keep_house(now, effects);
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

    fn keep_house(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
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

    fn probe_held_shards(
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

    fn store_answered(
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

    fn vm_reported(
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

    fn call_answered(
        &mut self,
        caller: StoreCaller,
        call: CallId,
        outcome: StoreOutcome,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        match caller {
            StoreCaller::Lease => {
                self.lease_step(LeaseEvent::CallAnswered { call, outcome }, now, effects);
            }
            StoreCaller::Placement => {
                self.shard_step(ShardEvent::CallAnswered { call, outcome }, now, effects);
            }
            StoreCaller::Operator => {
                let answers = self.operators.answered(call, outcome);
                self.apply_operator_effects(answers, now, effects);
            }
        }
    }

    fn usage_measured(
        &mut self,
        usage: Vec<AccountUsage>,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        if usage == self.usage {
            return;
        }
        self.usage = usage.clone();
        self.view_changed = true;
        let event = MembershipEvent::Publish(RumorBody::Usage(usage));
        self.membership_step(event, now, effects);
    }

    fn objects_changed(
        &mut self,
        kind: ObjectKind,
        objects: Vec<StoredObject>,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.store_answered(true, now, effects);
        for object in objects {
            match kind {
                ObjectKind::Config => self.offer_document(
                    &object.name,
                    object.version,
                    &object.value,
                    "watch",
                    now,
                    effects,
                ),
                ObjectKind::Placement => self.placement_changed(&object, now, effects),
                ObjectKind::Lease => {}
            }
        }
    }

    fn placement_changed(
        &mut self,
        object: &StoredObject,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        match serde_json::from_str::<PlacementDocument>(&object.value) {
            Ok(document) => {
                let event = ShardEvent::PlacementChanged {
                    version: object.version,
                    document,
                };
                self.shard_step(event, now, effects);
                self.view_urgent = true;
            }
            Err(error) => effects.push(ControlEffect::Decision(DecisionRecord {
                kind: DecisionKind::Place,
                subject: object.name.clone(),
                inputs: format_compact!("version={}", object.version),
                choice: "ignored".into(),
                reason: format_compact!("the stored placement cannot be parsed: {error}"),
            })),
        }
    }

    fn offer_document(
        &mut self,
        name: &str,
        version: ObjectVersion,
        value: &str,
        source: &str,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        let outcome = self.config.offer(name, version, value);
        let (choice, reason) = match outcome {
            OfferOutcome::Older => return,
            OfferOutcome::Applied => ("applied", format_compact!("learned from {source}")),
            OfferOutcome::Invalid(message) => ("rejected", message),
        };
        effects.push(ControlEffect::Decision(DecisionRecord {
            kind: DecisionKind::Config,
            subject: name.into(),
            inputs: format_compact!("version={version}"),
            choice: choice.into(),
            reason,
        }));
        if choice == "applied" {
            self.config_changed(now, effects);
        }
    }

    fn config_changed(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        self.fleet = FleetIndex::from_inventories(self.config.inventories());
        self.view_urgent = true;
        for (vm, reason) in &self.fleet.conflicts {
            effects.push(ControlEffect::Decision(DecisionRecord {
                kind: DecisionKind::Config,
                subject: format_compact!("{vm}"),
                inputs: CompactString::default(),
                choice: "excluded".into(),
                reason: reason.clone(),
            }));
        }
        let versions = MembershipEvent::Publish(RumorBody::Documents(self.config.versions()));
        self.membership_step(versions, now, effects);
        // Watchers come before targets: a node that knows no other watcher would probe every VM.
        self.nodes_changed(now, effects);
        let targets = HealthEvent::TargetsChanged(self.fleet.health_targets());
        self.health_step(targets, now, effects);
        let drains = HealthEvent::DrainsChanged(self.config.drains());
        self.health_step(drains, now, effects);
        let shards = LeaseEvent::ShardsChanged(self.fleet.shards());
        self.lease_step(shards, now, effects);
    }

    fn nodes_changed(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        self.view_urgent = true;
        let nodes: Vec<NodeRecord> = self
            .membership
            .nodes()
            .filter(|(record, state)| match state {
                NodeState::Alive | NodeState::Suspect => true,
                NodeState::Leaving => record.key == self.own.key && !self.stopping,
                NodeState::Dead => false,
            })
            .map(|(record, _)| record.clone())
            .collect();
        let watchers = nodes
            .iter()
            .map(|record| WatcherPlace {
                node: record.key.clone(),
                failure_domain: record.failure_domain.clone(),
            })
            .collect();
        let candidates = nodes
            .iter()
            .map(|record| CandidatePlace {
                node: record.key.clone(),
                region: record.region.clone(),
            })
            .collect();
        self.peer_usage
            .retain(|key, _| nodes.iter().any(|record| record.key == *key));
        self.health_step(HealthEvent::WatchersChanged(watchers), now, effects);
        self.lease_step(LeaseEvent::CandidatesChanged(candidates), now, effects);
    }

    fn peer_received(
        &mut self,
        message: PeerMessage,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        match &message.body {
            Some(PeerBody::DocumentRequest(request)) => {
                let request = request.clone();
                self.reply_document(&message, &request, effects);
            }
            Some(PeerBody::DocumentReply(reply)) => {
                let reply = reply.clone();
                self.offer_document(
                    &reply.name,
                    ObjectVersion(reply.version),
                    &reply.value,
                    &message.from_id,
                    now,
                    effects,
                );
            }
            _ => self.membership_step(MembershipEvent::Received(message), now, effects),
        }
    }

    fn peer_address(&self, id: &str) -> Option<SocketAddr> {
        let id: NodeId = id.parse().ok()?;
        self.membership.by_id(&id).map(|(record, _)| record.peers)
    }

    fn own_message(&self, body: PeerBody) -> PeerMessage {
        PeerMessage {
            from_id: self.own.key.id.as_str().to_owned(),
            from_incarnation: self.own.key.incarnation.0,
            body: Some(body),
        }
    }

    fn reply_document(
        &self,
        message: &PeerMessage,
        request: &DocumentRequestMessage,
        effects: &mut Vec<ControlEffect>,
    ) {
        let Some(to) = self.peer_address(&message.from_id) else {
            return;
        };
        let Ok(kind) = request.name.parse() else {
            return;
        };
        let Some(entry) = self.config.entry(&kind) else {
            return;
        };
        if entry.version.0 < request.version {
            return;
        }
        let body = PeerBody::DocumentReply(DocumentReplyMessage {
            name: request.name.clone(),
            version: entry.version.0,
            value: entry.value.clone(),
        });
        effects.push(ControlEffect::SendPeer {
            to,
            message: self.own_message(body),
        });
    }

    fn rumor_received(
        &mut self,
        origin: NodeKey,
        body: RumorBody,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        match body {
            RumorBody::Vm(evidence) => {
                let event = HealthEvent::PeerFinding {
                    node: origin,
                    evidence,
                };
                self.health_step(event, now, effects);
            }
            RumorBody::Documents(versions) => self.versions_received(&origin, versions, now),
            RumorBody::Usage(usage) => {
                self.peer_usage.insert(origin, usage);
                self.view_changed = true;
            }
            RumorBody::Handover(_) => self.view_urgent = true,
        }
    }

    fn versions_received(
        &mut self,
        origin: &NodeKey,
        versions: Vec<(DocumentName, ObjectVersion)>,
        now: Timestamp,
    ) {
        for (name, version) in versions {
            let Ok(kind) = name.as_str().parse() else {
                continue;
            };
            let known = self
                .wanted
                .get(&name)
                .map_or(ObjectVersion(0), |w| w.version);
            if version > self.config.version(&kind) && version > known {
                self.wanted.insert(
                    name,
                    WantedDocument {
                        version,
                        source: origin.clone(),
                        since: now,
                        asked: None,
                    },
                );
            }
        }
    }

    fn fetch_wanted(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        let config = &self.config;
        self.wanted.retain(|name, wanted| {
            name.as_str()
                .parse()
                .is_ok_and(|kind| config.version(&kind) < wanted.version)
        });
        let mut requests = Vec::new();
        for (name, wanted) in &mut self.wanted {
            let due = match wanted.asked {
                None => now.since(wanted.since) >= PEER_FETCH_DELAY,
                Some(asked) => now.since(asked) >= PEER_FETCH_INTERVAL,
            };
            if due {
                wanted.asked = Some(now);
                requests.push((name.clone(), wanted.version, wanted.source.id.clone()));
            }
        }
        for (name, version, source) in requests {
            let Some(to) = self.peer_address(source.as_str()) else {
                continue;
            };
            let body = PeerBody::DocumentRequest(DocumentRequestMessage {
                name: name.as_str().to_owned(),
                version: version.0,
            });
            effects.push(ControlEffect::SendPeer {
                to,
                message: self.own_message(body),
            });
        }
    }

    fn membership_step(
        &mut self,
        event: MembershipEvent,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        let mut nodes_changed = false;
        for effect in self.membership.step(event, now) {
            match effect {
                MembershipEffect::Send { to, message } => {
                    effects.push(ControlEffect::SendPeer { to, message });
                }
                MembershipEffect::Reconnect { to } => {
                    effects.push(ControlEffect::Reconnect { to });
                }
                MembershipEffect::NodeChanged { .. } => nodes_changed = true,
                MembershipEffect::RumorReceived { origin, body } => {
                    self.rumor_received(origin, body, now, effects);
                }
                MembershipEffect::Decision(record) => effects.push(ControlEffect::Decision(record)),
            }
        }
        if nodes_changed {
            self.nodes_changed(now, effects);
        }
    }

    fn health_step(
        &mut self,
        event: HealthEvent,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        for effect in self.health.step(event, now) {
            match effect {
                HealthEffect::Probe {
                    vm,
                    address,
                    timeout,
                } => {
                    self.health_probes.insert(vm.clone());
                    effects.push(ControlEffect::ProbeVm {
                        vm,
                        address,
                        timeout,
                    });
                }
                HealthEffect::Publish(evidence) => {
                    let event = MembershipEvent::Publish(RumorBody::Vm(evidence));
                    self.membership_step(event, now, effects);
                }
                HealthEffect::StateChanged { .. } => self.view_urgent = true,
                HealthEffect::Decision(record) => effects.push(ControlEffect::Decision(record)),
            }
        }
    }

    fn lease_step(&mut self, event: LeaseEvent, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        for effect in self.leases.step(event, now) {
            match effect {
                LeaseEffect::Call { call, request } => effects.push(ControlEffect::CallStore {
                    caller: StoreCaller::Lease,
                    call,
                    request,
                }),
                // The shard controller learns the held shards with each tick.
                LeaseEffect::Acquired { .. } | LeaseEffect::Lost { .. } => {}
                LeaseEffect::Decision(record) => effects.push(ControlEffect::Decision(record)),
            }
        }
    }

    fn shard_step(&mut self, event: ShardEvent, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        for effect in self.shards.step(event, now) {
            match effect {
                ShardEffect::Call { call, request } => effects.push(ControlEffect::CallStore {
                    caller: StoreCaller::Placement,
                    call,
                    request,
                }),
                ShardEffect::Order { shard, vm, order } => {
                    let Some(address) = self.fleet.vms.get(&vm).map(|vm| vm.entry.address) else {
                        continue;
                    };
                    effects.push(ControlEffect::OrderEngine {
                        shard,
                        vm,
                        address,
                        order,
                    });
                }
                ShardEffect::Decision(record) => effects.push(ControlEffect::Decision(record)),
            }
        }
        self.view_changed = true;
    }

    fn apply_operator_effects(
        &mut self,
        answers: Vec<OperatorEffect>,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        for effect in answers {
            match effect {
                OperatorEffect::Call(call, request) => effects.push(ControlEffect::CallStore {
                    caller: StoreCaller::Operator,
                    call,
                    request,
                }),
                OperatorEffect::Learned(object) => self.offer_document(
                    &object.name,
                    object.version,
                    &object.value,
                    "an operator's change",
                    now,
                    effects,
                ),
                OperatorEffect::Answer(ticket, answer) => {
                    effects.push(ControlEffect::AnswerOperator { ticket, answer });
                }
            }
        }
    }
}
