//! The health tracker: state and evaluation of each VM.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::decision::DecisionKind;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::evidence::ListedState;
use jaysaddle_types::evidence::VmEvidence;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::VmState;

use crate::damping::Verdict;
use crate::evaluation::EvaluationContext;
use crate::evaluation::evaluate;
use crate::evaluation::tally;
use crate::event::HealthEffect;
use crate::event::HealthEvent;
use crate::event::WatcherNode;
use crate::isolation::IsolationDetector;
use crate::latency::LatencyBaseline;
use crate::record::VmRecord;
use crate::rendezvous::WatcherCandidate;
use crate::settings::HealthSettings;

/// Derives the state of each VM from probes, engine reports, the platform's VM list, request
/// attempts, findings of other nodes and drains.
///
/// # Invariants
///
/// A VM has a `probe` and an entry in `schedule` exactly if it is a target and this node is
/// among its watchers. `nodes` is sorted by node key, so every node with the same list assigns
/// the same watchers.
#[derive(Debug)]
pub struct HealthTracker {
    pub(crate) settings: HealthSettings,
    pub(crate) own: NodeKey,
    pub(crate) own_hash: u64,
    pub(crate) own_index: Option<u16>,
    pub(crate) nodes: Vec<WatcherNode>,
    pub(crate) candidates: Vec<WatcherCandidate>,
    pub(crate) domain_count: usize,
    pub(crate) records: BTreeMap<VmId, VmRecord>,
    /// Next probe of each VM that this node watches.
    pub(crate) schedule: BTreeSet<(Timestamp, VmId)>,
    /// VMs whose state may change with time alone.
    pub(crate) time_dependent: BTreeSet<VmId>,
    pub(crate) isolation: IsolationDetector,
    pub(crate) baseline: LatencyBaseline,
    pub(crate) baseline_due: Timestamp,
    /// Platform's VM list, also for VMs that are not targets.
    pub(crate) listed: BTreeMap<VmId, ListedState>,
    pub(crate) listed_at: Option<Timestamp>,
    /// VMs drained by operators.
    pub(crate) drains: BTreeSet<VmId>,
    pub(crate) last_step: Option<Timestamp>,
    /// Probe failures before this time are discarded, because a pause of this node may
    /// have caused them.
    pub(crate) discard_failures_until: Timestamp,
    /// Number of VMs that are not targets but whose findings are kept.
    pub(crate) pending_vms: usize,
}

impl HealthTracker {
    /// Creates a tracker without targets. This node is the only watcher until the first
    /// [`HealthEvent::WatchersChanged`].
    pub fn new(settings: HealthSettings, own: NodeKey, own_domain: FailureDomainId) -> Self {
        let mut tracker = Self {
            settings,
            own_hash: crate::rendezvous::hash_id(own.id.as_str()),
            own: own.clone(),
            own_index: None,
            nodes: Vec::new(),
            candidates: Vec::new(),
            domain_count: 0,
            records: BTreeMap::new(),
            schedule: BTreeSet::new(),
            time_dependent: BTreeSet::new(),
            isolation: IsolationDetector::new(),
            baseline: LatencyBaseline::default(),
            baseline_due: Timestamp::default(),
            listed: BTreeMap::new(),
            listed_at: None,
            drains: BTreeSet::new(),
            last_step: None,
            discard_failures_until: Timestamp::default(),
            pending_vms: 0,
        };
        tracker.set_nodes(vec![WatcherNode {
            node: own,
            failure_domain: own_domain,
        }]);
        tracker
    }

    /// Processes one event and returns the resulting effects.
    pub fn step(&mut self, event: HealthEvent, now: Timestamp) -> Vec<HealthEffect> {
        let mut effects = Vec::new();
        self.detect_pause(now, &mut effects);
        match event {
            HealthEvent::Tick => self.on_tick(now, &mut effects),
            HealthEvent::TargetsChanged(targets) => self.on_targets(targets, now, &mut effects),
            HealthEvent::WatchersChanged(nodes) => self.on_watchers(nodes, now, &mut effects),
            HealthEvent::PeersReachable(permille) => {
                self.isolation.peers_permille = permille;
                self.update_isolation(now, &mut effects);
            }
            HealthEvent::Probed {
                vm,
                outcome,
                latency,
            } => self.on_probed(vm, outcome, latency, now, &mut effects),
            HealthEvent::Listed(list) => self.on_listed(list, now, &mut effects),
            HealthEvent::PeerFinding { node, evidence } => {
                self.on_finding(node, evidence, now, &mut effects);
            }
            HealthEvent::Attempted { vm, finding } => {
                self.on_attempted(vm, finding, now, &mut effects);
            }
            HealthEvent::DrainsChanged(drains) => self.on_drains(drains, now, &mut effects),
        }
        effects
    }

    /// Returns the damped state of a VM; `Unknown` if it is not a target.
    pub fn state(&self, vm: &VmId) -> VmState {
        match self.records.get(vm) {
            Some(record) if record.target.is_some() => record.damped.state,
            _ => VmState::Unknown,
        }
    }

    /// Returns the latest report that this node itself received from a VM, and when.
    pub fn report(&self, vm: &VmId) -> Option<(&EngineReport, Timestamp)> {
        let (report, at) = self.records.get(vm)?.report.as_ref()?;
        Some((report, *at))
    }

    /// Returns whether this node is isolated, that is, has lost contact with more than half of its
    /// targets or peers.
    pub fn is_isolated(&self) -> bool {
        self.isolation.is_isolated()
    }

    pub(crate) fn context(&self, now: Timestamp) -> EvaluationContext<'_> {
        EvaluationContext {
            nodes: &self.nodes,
            own_index: self.own_index,
            isolated: self.isolation.is_isolated(),
            now,
        }
    }

    /// Evaluates a VM again and emits the changes.
    pub(crate) fn reevaluate(
        &mut self,
        vm: &VmId,
        now: Timestamp,
        effects: &mut Vec<HealthEffect>,
    ) {
        let Some(record) = self.records.get(vm) else {
            return;
        };
        if record.target.is_none() {
            return;
        }
        let context = self.context(now);
        let (verdict, reason) = evaluate(record, &context);
        let tally = tally(record, &context);
        let Some(record) = self.records.get_mut(vm) else {
            return;
        };
        let before = record.damped.state;
        let changed = record.damped.apply_verdict(verdict, &self.settings, now);
        if record.is_time_dependent(now) {
            self.time_dependent.insert(vm.clone());
        }
        if !changed {
            return;
        }
        record.reason = reason;
        let state = record.damped.state;
        effects.push(HealthEffect::StateChanged {
            vm: vm.clone(),
            state,
        });
        // A node discovers all VMs when it starts; logging these changes would add no information.
        if before == VmState::Unknown && verdict == Verdict::Live {
            return;
        }
        let disagree = if tally.disagrees() {
            " watchers=disagree"
        } else {
            ""
        };
        effects.push(HealthEffect::Decision(DecisionRecord {
            kind: DecisionKind::Health,
            subject: vm.as_str().into(),
            inputs: format_compact!(
                "before={before:?} {tally} failed_requests={} flaps={}{disagree}",
                record.requests.count,
                record.damped.flaps
            ),
            choice: format_compact!("{state:?}"),
            reason: reason.into(),
        }));
    }

    /// Publishes this node's finding about a VM if it differs from the last published one.
    pub(crate) fn publish(&mut self, vm: &VmId, effects: &mut Vec<HealthEffect>) {
        let cut_off = self.isolation.is_isolated();
        let Some(probe) = self
            .records
            .get_mut(vm)
            .and_then(|record| record.probe.as_mut())
        else {
            return;
        };
        let Some(finding) = probe.finding else {
            return;
        };
        if probe.published == Some((finding, cut_off)) {
            return;
        }
        probe.published = Some((finding, cut_off));
        effects.push(HealthEffect::Publish(VmEvidence {
            vm: vm.clone(),
            finding,
            cut_off,
        }));
    }

    /// Creates a decision record about this node itself.
    pub(crate) fn node_decision(
        &self,
        choice: &str,
        reason: &str,
        inputs: CompactString,
    ) -> HealthEffect {
        HealthEffect::Decision(DecisionRecord {
            kind: DecisionKind::Health,
            subject: self.own.id.as_str().into(),
            inputs,
            choice: choice.into(),
            reason: reason.into(),
        })
    }
}
