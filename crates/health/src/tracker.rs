//! The sub-reducer that judges the state of each VM.

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

use crate::contact::ContactMonitor;
use crate::damping::Verdict;
use crate::event::HealthEffect;
use crate::event::HealthEvent;
use crate::event::WatcherPlace;
use crate::judge::JudgeContext;
use crate::judge::judge;
use crate::judge::tally;
use crate::latency::LatencyBaseline;
use crate::record::VmRecord;
use crate::rendezvous::WatcherSlot;
use crate::settings::HealthSettings;

/// Judges each VM from probes, reports, the platform's list, requests, peers and drains.
///
/// # Invariants
///
/// A VM has a `watch` and a place in `schedule` exactly if it is a target and this node is among its
/// watchers. `places` is sorted by node, so every node with the same list computes the same watchers.
#[derive(Debug)]
pub struct HealthTracker {
    pub(crate) settings: HealthSettings,
    pub(crate) own: NodeKey,
    pub(crate) own_hash: u64,
    pub(crate) own_index: Option<u16>,
    pub(crate) places: Vec<WatcherPlace>,
    pub(crate) slots: Vec<WatcherSlot>,
    pub(crate) domains: usize,
    pub(crate) records: BTreeMap<VmId, VmRecord>,
    /// Next probe of each watched VM.
    pub(crate) schedule: BTreeSet<(Timestamp, VmId)>,
    /// VMs whose state may change by the passing of time alone.
    pub(crate) timed: BTreeSet<VmId>,
    pub(crate) contact: ContactMonitor,
    pub(crate) baseline: LatencyBaseline,
    pub(crate) baseline_due: Timestamp,
    /// The platform's list.
    pub(crate) listed: BTreeMap<VmId, ListedState>,
    pub(crate) listed_at: Option<Timestamp>,
    /// The operators' drains.
    pub(crate) drains: BTreeSet<VmId>,
    pub(crate) last_step: Option<Timestamp>,
    /// Until then, failed probes may show this node's own pause.
    pub(crate) discard_failures_until: Timestamp,
    /// VMs without a target whose findings are kept.
    pub(crate) early: usize,
}

impl HealthTracker {
    /// Starts without targets; this node is the only watcher until others are known.
    pub fn new(settings: HealthSettings, own: NodeKey, own_domain: FailureDomainId) -> Self {
        let mut tracker = Self {
            settings,
            own_hash: crate::rendezvous::hash_id(own.id.as_str()),
            own: own.clone(),
            own_index: None,
            places: Vec::new(),
            slots: Vec::new(),
            domains: 0,
            records: BTreeMap::new(),
            schedule: BTreeSet::new(),
            timed: BTreeSet::new(),
            contact: ContactMonitor::new(),
            baseline: LatencyBaseline::default(),
            baseline_due: Timestamp::default(),
            listed: BTreeMap::new(),
            listed_at: None,
            drains: BTreeSet::new(),
            last_step: None,
            discard_failures_until: Timestamp::default(),
            early: 0,
        };
        tracker.set_places(vec![WatcherPlace {
            node: own,
            failure_domain: own_domain,
        }]);
        tracker
    }

    /// Applies one event.
    pub fn step(&mut self, event: HealthEvent, now: Timestamp) -> Vec<HealthEffect> {
        let mut effects = Vec::new();
        self.notice_pause(now, &mut effects);
        match event {
            HealthEvent::Tick => self.on_tick(now, &mut effects),
            HealthEvent::TargetsChanged(targets) => self.on_targets(targets, now, &mut effects),
            HealthEvent::WatchersChanged(places) => self.on_watchers(places, now, &mut effects),
            HealthEvent::PeersReachable(permille) => {
                self.contact.peers_permille = permille;
                self.update_contact(now, &mut effects);
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

    /// Judged state of a VM.
    pub fn state(&self, vm: &VmId) -> VmState {
        match self.records.get(vm) {
            Some(record) if record.target.is_some() => record.damped.state,
            _ => VmState::Unknown,
        }
    }

    /// The latest report that this node itself received from a VM, and when.
    pub fn report(&self, vm: &VmId) -> Option<(&EngineReport, Timestamp)> {
        let (report, at) = self.records.get(vm)?.report.as_ref()?;
        Some((report, *at))
    }

    /// Whether this node has lost contact with more than half of its targets or peers.
    pub fn is_cut_off(&self) -> bool {
        self.contact.is_cut_off()
    }

    pub(crate) fn context(&self, now: Timestamp) -> JudgeContext<'_> {
        JudgeContext {
            places: &self.places,
            own: self.own_index,
            cut_off: self.contact.is_cut_off(),
            now,
        }
    }

    /// Judges a VM anew; emits what changed.
    pub(crate) fn rejudge(&mut self, vm: &VmId, now: Timestamp, effects: &mut Vec<HealthEffect>) {
        let Some(record) = self.records.get(vm) else {
            return;
        };
        if record.target.is_none() {
            return;
        }
        let context = self.context(now);
        let (verdict, reason) = judge(record, &context);
        let tally = tally(record, &context);
        let Some(record) = self.records.get_mut(vm) else {
            return;
        };
        let before = record.damped.state;
        let changed = record.damped.advance(verdict, &self.settings, now);
        if record.is_timed(now) {
            self.timed.insert(vm.clone());
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
        // A starting node learns of every VM at once; these changes decide nothing.
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

    /// Publishes this node's finding of a VM if it differs from the last one published.
    pub(crate) fn publish(&mut self, vm: &VmId, effects: &mut Vec<HealthEffect>) {
        let cut_off = self.contact.is_cut_off();
        let Some(watch) = self
            .records
            .get_mut(vm)
            .and_then(|record| record.watch.as_mut())
        else {
            return;
        };
        let Some(finding) = watch.finding else {
            return;
        };
        if watch.published == Some((finding, cut_off)) {
            return;
        }
        watch.published = Some((finding, cut_off));
        effects.push(HealthEffect::Publish(VmEvidence {
            vm: vm.clone(),
            finding,
            cut_off,
        }));
    }

    /// Log line about this node itself.
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
