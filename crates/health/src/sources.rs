//! Handles targets, watcher assignment and all evidence other than probes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_types::evidence::ListedState;
use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::evidence::VmEvidence;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::Timestamp;

use crate::event::AttemptFinding;
use crate::event::HealthEffect;
use crate::event::HealthTarget;
use crate::event::WatcherNode;
use crate::record::VmRecord;
use crate::rendezvous::WatcherCandidate;
use crate::rendezvous::hash_id;
use crate::rendezvous::pick_watchers;
use crate::tracker::HealthTracker;

/// Maximum number of VMs whose findings are kept while the inventory does not name them. Findings
/// and inventories arrive in any order, and a finding is sent only when it changes.
const MAX_PENDING_VMS: usize = 4096;

impl HealthTracker {
    /// Replaces the targets after a change of the inventory.
    pub(crate) fn on_targets(
        &mut self,
        targets: Vec<HealthTarget>,
        now: Timestamp,
        effects: &mut Vec<HealthEffect>,
    ) {
        let kept: BTreeSet<&VmId> = targets.iter().map(|target| &target.vm).collect();
        let removed: Vec<VmId> = self
            .records
            .iter()
            .filter(|(vm, record)| record.target.is_some() && !kept.contains(vm))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in &removed {
            self.remove_target(vm);
        }
        for target in targets {
            self.set_target(target, now, effects);
        }
        self.update_isolation(now, effects);
    }

    /// Removes a target but keeps its findings: another document may add the VM again, and watchers
    /// that saw no removal do not resend their findings.
    fn remove_target(&mut self, vm: &VmId) {
        self.stop_probing(vm);
        self.time_dependent.remove(vm);
        let Some(record) = self.records.remove(vm) else {
            return;
        };
        if record.findings.is_empty() || self.pending_vms >= MAX_PENDING_VMS {
            return;
        }
        self.pending_vms += 1;
        let kept = VmRecord {
            findings: record.findings,
            ..VmRecord::default()
        };
        self.records.insert(vm.clone(), kept);
    }

    fn set_target(
        &mut self,
        target: HealthTarget,
        now: Timestamp,
        effects: &mut Vec<HealthEffect>,
    ) {
        let vm = target.vm.clone();
        if let Some(record) = self.records.get_mut(&vm)
            && record.target.is_some()
        {
            record.target = Some(target);
            return;
        }
        self.pending_vms -= usize::from(self.records.contains_key(&vm));
        let record = self.records.entry(vm.clone()).or_default();
        record.hash = hash_id(vm.as_str());
        record.target = Some(target);
        record.listed = self.listed.get(&vm).copied();
        record.drained = self.drains.contains(&vm);
        self.assign_watchers(&vm, now);
        self.reevaluate(&vm, now, effects);
    }

    /// Reassigns the watchers after a change of the node list.
    ///
    /// Findings of a removed node no longer count, because it is not a watcher any more. They stay
    /// stored until a later run of the node appears: a node that was only unreachable resends its
    /// findings only when they change.
    pub(crate) fn on_watchers(
        &mut self,
        nodes: Vec<WatcherNode>,
        now: Timestamp,
        effects: &mut Vec<HealthEffect>,
    ) {
        let runs: BTreeMap<NodeId, Incarnation> = nodes
            .iter()
            .map(|entry| (entry.node.id.clone(), entry.node.incarnation))
            .collect();
        let is_replaced = |node: &NodeKey| {
            runs.get(&node.id)
                .is_some_and(|incarnation| *incarnation > node.incarnation)
        };
        self.set_nodes(nodes);
        let vms: Vec<VmId> = self.records.keys().cloned().collect();
        for vm in vms {
            if let Some(record) = self.records.get_mut(&vm) {
                record.findings.retain(|stored| !is_replaced(&stored.node));
            }
            self.assign_watchers(&vm, now);
            self.reevaluate(&vm, now, effects);
        }
        self.records
            .retain(|_, record| record.target.is_some() || !record.findings.is_empty());
        let is_pending = |record: &&VmRecord| record.target.is_none();
        self.pending_vms = self.records.values().filter(is_pending).count();
        self.update_isolation(now, effects);
    }

    /// Stores the nodes sorted by key, so that the order is the same on every node.
    pub(crate) fn set_nodes(&mut self, mut nodes: Vec<WatcherNode>) {
        nodes.sort_by(|a, b| a.node.cmp(&b.node));
        let mut domains: BTreeMap<FailureDomainId, usize> = BTreeMap::new();
        self.candidates = nodes
            .iter()
            .map(|entry| {
                let next = domains.len();
                WatcherCandidate {
                    hash: hash_id(entry.node.id.as_str()),
                    domain: *domains.entry(entry.failure_domain.clone()).or_insert(next),
                }
            })
            .collect();
        self.domain_count = domains.len();
        self.own_index = nodes
            .iter()
            .position(|entry| entry.node == self.own)
            .map(|index| index as u16);
        self.nodes = nodes;
    }

    /// Assigns the watchers of a target, and starts or stops probing it accordingly.
    fn assign_watchers(&mut self, vm: &VmId, now: Timestamp) {
        let Some(record) = self.records.get_mut(vm) else {
            return;
        };
        if record.target.is_none() {
            return;
        }
        let count = self.settings.watchers;
        record.watchers = pick_watchers(record.hash, &self.candidates, self.domain_count, count);
        let is_watcher = self
            .own_index
            .is_some_and(|own| record.watchers.contains(&own));
        match (is_watcher, record.probe.is_some()) {
            (true, false) => self.start_probing(vm, now),
            (false, true) => self.stop_probing(vm),
            _ => {}
        }
    }

    /// Stores a finding of another node.
    pub(crate) fn on_finding(
        &mut self,
        node: NodeKey,
        evidence: VmEvidence,
        now: Timestamp,
        effects: &mut Vec<HealthEffect>,
    ) {
        if node == self.own {
            return;
        }
        if !self.records.contains_key(&evidence.vm) {
            if self.pending_vms >= MAX_PENDING_VMS {
                return;
            }
            self.pending_vms += 1;
        }
        let record = self.records.entry(evidence.vm.clone()).or_default();
        record.store_finding(node, &evidence, &self.nodes, now);
        self.reevaluate(&evidence.vm, now, effects);
    }

    /// Replaces the platform's VM list. If a VM is listed more than once, leaving takes precedence.
    pub(crate) fn on_listed(
        &mut self,
        list: Vec<ListedVm>,
        now: Timestamp,
        effects: &mut Vec<HealthEffect>,
    ) {
        let mut listed: BTreeMap<VmId, ListedState> = BTreeMap::new();
        for entry in list {
            let state = listed.entry(entry.vm).or_insert(entry.state);
            if entry.state == ListedState::Leaving {
                *state = ListedState::Leaving;
            }
        }
        self.listed = listed;
        self.listed_at = Some(now);
        let mut changed: Vec<VmId> = Vec::new();
        for (vm, record) in &mut self.records {
            let state = self.listed.get(vm).copied();
            if record.listed != state {
                record.listed = state;
                changed.push(vm.clone());
            }
        }
        for vm in changed {
            self.reevaluate(&vm, now, effects);
        }
    }

    /// Replaces the list of VMs drained by operators.
    pub(crate) fn on_drains(
        &mut self,
        drains: Vec<VmId>,
        now: Timestamp,
        effects: &mut Vec<HealthEffect>,
    ) {
        self.drains = drains.into_iter().collect();
        let mut changed: Vec<VmId> = Vec::new();
        for (vm, record) in &mut self.records {
            let drained = self.drains.contains(vm);
            if record.drained != drained {
                record.drained = drained;
                changed.push(vm.clone());
            }
        }
        for vm in changed {
            self.reevaluate(&vm, now, effects);
        }
    }

    /// Records what a request attempt of this node showed about a VM.
    pub(crate) fn on_attempted(
        &mut self,
        vm: VmId,
        finding: AttemptFinding,
        now: Timestamp,
        effects: &mut Vec<HealthEffect>,
    ) {
        let Some(record) = self.records.get_mut(&vm) else {
            return;
        };
        match finding {
            AttemptFinding::Failed => record.requests.record_failure(now),
            AttemptFinding::Answered => {
                record.requests.count = 0;
                if let Some(probe) = record.probe.as_mut() {
                    self.isolation.failing_targets -= usize::from(probe.misses > 0);
                    probe.record_request_success();
                }
            }
        }
        self.reevaluate(&vm, now, effects);
    }
}
