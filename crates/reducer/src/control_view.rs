//! The fleet view and the planner's input, derived from the state of the control plane.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_admission::divide_shares_ranked;
use jaysaddle_placement::PlannerGroup;
use jaysaddle_placement::PlannerInput;
use jaysaddle_placement::PlannerVm;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::FleetView;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::GroupView;
use jaysaddle_types::view::ServiceView;
use jaysaddle_types::view::VmState;

use crate::control::ControlState;
use crate::control_event::ControlEffect;
use crate::invariant::InvariantKind;
use crate::invariant::InvariantViolation;

/// Age up to which a report determines the state of a group. Routing applies its own limit.
const MAX_REPORT_AGE: TimeSpan = TimeSpan::from_secs(3);

impl ControlState {
    pub(crate) fn publish_view(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        let (view, violations) = self.fleet_view(now);
        effects.extend(violations.into_iter().map(ControlEffect::Violation));
        effects.push(ControlEffect::PublishView(Arc::new(view)));
    }

    /// Returns the fleet view for routing, and the invariants that the stored placement violates.
    pub fn fleet_view(&self, now: Timestamp) -> (FleetView, Vec<InvariantViolation>) {
        let groups_by_vm = self.groups_by_vm();
        let mut violations = Vec::new();
        for (vm, groups) in groups_by_vm.iter().filter(|(_, groups)| groups.len() > 1) {
            violations.push(InvariantViolation {
                kind: InvariantKind::OneGroupPerVm,
                subject: format_compact!("{vm}"),
                detail: format_compact!(
                    "stored in {} groups; none of them receives requests",
                    groups.len()
                ),
            });
        }
        let rules = self.config.rules();
        let mut groups = Vec::new();
        for (_, document) in self.shards.placements().values() {
            for record in &document.groups {
                if let Some(group) = self.group_view(document, record, &groups_by_vm, now) {
                    groups.push(group);
                }
            }
        }
        let live_nodes = self.live_nodes();
        let others: Vec<_> = self
            .peer_usage
            .iter()
            .map(|(key, usage)| (key.clone(), usage.clone()))
            .collect();
        let view = FleetView {
            configured: self.config.is_complete(),
            shares: divide_shares_ranked(
                &self.own.key,
                &self.settings.admission,
                &rules,
                &self.usage,
                &others,
                live_nodes,
            ),
            rules,
            groups,
            services: self.service_views(),
            nodes: self
                .membership
                .nodes()
                .map(|(record, state)| (record.clone(), self.published_state(&record.key, state)))
                .collect(),
            handovers: self.handovers(),
            capacity_permille: self.capacity_permille(live_nodes),
        };
        (view, violations)
    }

    fn published_state(&self, key: &NodeKey, state: NodeState) -> NodeState {
        if self.stopping && *key == self.own.key {
            NodeState::Leaving
        } else {
            state
        }
    }

    pub(crate) fn live_nodes(&self) -> usize {
        self.membership
            .nodes()
            .filter(|(_, state)| matches!(state, NodeState::Alive | NodeState::Suspect))
            .count()
            .max(1)
    }

    /// Returns this node's share of the fleet's slots, in thousandths.
    ///
    /// A quarter of the slots is divided evenly, so that a node without demand can accept its first
    /// requests immediately; the rest is divided in proportion to the demand that the nodes report.
    fn capacity_permille(&self, live_nodes: usize) -> u32 {
        const EVEN_SHARE_PERMILLE: u64 = 250;
        let demand = |usage: &[jaysaddle_types::evidence::AccountUsage]| -> u64 {
            usage.iter().map(|entry| u64::from(entry.wanted.0)).sum()
        };
        let own = demand(&self.usage);
        let total = own
            + self
                .peer_usage
                .values()
                .map(|usage| demand(usage))
                .sum::<u64>();
        let nodes = u64::try_from(live_nodes).unwrap_or(u64::MAX);
        let even = 1000 / nodes;
        if total == 0 {
            return u32::try_from(even).unwrap_or(1000);
        }
        let share = EVEN_SHARE_PERMILLE / nodes + (1000 - EVEN_SHARE_PERMILLE) * own / total;
        u32::try_from(share.clamp(1, 1000)).unwrap_or(1000)
    }

    fn handovers(&self) -> BTreeMap<NodeKey, NodeKey> {
        self.membership
            .nodes()
            .filter_map(|(record, _)| {
                let successor = self.membership.ledger_successor(&record.key)?;
                Some((record.key.clone(), successor.clone()))
            })
            .collect()
    }

    /// Returns, for each VM, the groups that contain it in the stored placement.
    fn groups_by_vm(&self) -> BTreeMap<&VmId, Vec<&GroupRecord>> {
        let mut groups_by_vm: BTreeMap<&VmId, Vec<&GroupRecord>> = BTreeMap::new();
        for (_, document) in self.shards.placements().values() {
            for record in &document.groups {
                for vm in &record.members {
                    groups_by_vm.entry(vm).or_default().push(record);
                }
            }
        }
        groups_by_vm
    }

    fn group_view(
        &self,
        document: &PlacementDocument,
        record: &GroupRecord,
        groups_by_vm: &BTreeMap<&VmId, Vec<&GroupRecord>>,
        now: Timestamp,
    ) -> Option<GroupView> {
        let leader = self.fleet.vms.get(record.members.first()?)?;
        let rules = self.config.rules();
        let members: Vec<(VmId, VmState)> = record
            .members
            .iter()
            .map(|vm| (vm.clone(), self.health.state(vm)))
            .collect();
        let duplicate = record
            .members
            .iter()
            .find(|vm| groups_by_vm.get(vm).is_some_and(|groups| groups.len() > 1));
        let misplaced = record
            .members
            .iter()
            .find(|vm| !self.is_in_fabric_domain(vm, &document.fabric_domain));
        let (state, reason) = if let Some(vm) = duplicate {
            let reason = format_compact!("{vm} is also stored in another group");
            (GroupState::Incomplete, reason)
        } else if let Some(vm) = misplaced {
            let reason = format_compact!("{vm} is no longer in {}", document.fabric_domain);
            (GroupState::Incomplete, reason)
        } else {
            self.group_state(record, &members, now)
        };
        Some(GroupView {
            id: record.id.clone(),
            generation: record.generation,
            model: record.model.clone(),
            version: record.version.clone(),
            fabric_domain: document.fabric_domain.clone(),
            failure_domain: leader.failure_domain.clone(),
            members,
            leader: leader.entry.address,
            state,
            slots: rules
                .model(&record.model)
                .map_or(SlotCount(0), |rule| rule.slots_per_group),
            reason,
        })
    }

    fn is_in_fabric_domain(&self, vm: &VmId, domain: &FabricDomainId) -> bool {
        self.fleet
            .vms
            .get(vm)
            .is_some_and(|vm| vm.entry.fabric_domain == *domain)
    }

    /// Derives the state of a group from its members' health and, if this node has one, from a
    /// report of its leader.
    ///
    /// Without a report the group counts as ready, because the node requests a report from the
    /// leader before it dispatches a request.
    fn group_state(
        &self,
        record: &GroupRecord,
        members: &[(VmId, VmState)],
        now: Timestamp,
    ) -> (GroupState, CompactString) {
        if let Some((vm, state)) = members.iter().find(|(_, state)| !state.may_serve()) {
            let reason = format_compact!("member {vm} is {state:?}");
            return (GroupState::Incomplete, reason);
        }
        if record.intent.is_draining() {
            return (GroupState::Draining, "the group is being dissolved".into());
        }
        let report = record
            .members
            .first()
            .and_then(|leader| self.reports.get(leader))
            .filter(|(_, at)| now.since(*at) <= MAX_REPORT_AGE)
            .map(|(report, _)| report);
        let Some(report) = report else {
            return (GroupState::Ready, CompactString::default());
        };
        if report.confirms(&record.id, record.generation, &record.members) {
            return (GroupState::Ready, CompactString::default());
        }
        let reason = if report.role == EngineRole::Loading {
            "the leader is loading weights".into()
        } else if report.missing.is_empty() {
            format_compact!(
                "the leader reports generation {} of {}",
                report.generation,
                report.group.as_ref().map_or("no group", |id| id.as_str())
            )
        } else {
            let missing: Vec<_> = report.missing.iter().map(VmId::as_str).collect();
            format_compact!("the leader cannot reach {}", missing.join(", "))
        };
        (GroupState::Loading, reason)
    }

    /// Counts the accelerators of live VMs that are not in a ready or loading group of `view`.
    pub fn stranded_accelerators(&self, view: &FleetView) -> u32 {
        let used: BTreeSet<&VmId> = view
            .groups
            .iter()
            .filter(|group| matches!(group.state, GroupState::Ready | GroupState::Loading))
            .flat_map(|group| group.members.iter().map(|(vm, _)| vm))
            .collect();
        self.fleet
            .vms
            .values()
            .filter(|vm| !used.contains(&vm.entry.name))
            .filter(|vm| self.health.state(&vm.entry.name) == VmState::Live)
            .map(|vm| vm.entry.accelerators)
            .sum()
    }

    fn service_views(&self) -> Vec<ServiceView> {
        self.fleet
            .services
            .iter()
            .map(|service| ServiceView {
                name: service.entry.name.clone(),
                vm: service.entry.vm.clone(),
                address: service.entry.address,
                failure_domain: service.failure_domain.clone(),
                state: self.health.state(&service.entry.vm),
                accounts: service.entry.accounts.clone(),
                idempotent: service.entry.idempotent,
            })
            .collect()
    }

    /// Builds the planner's input.
    pub(crate) fn planner_input(&self, now: Timestamp) -> PlannerInput {
        let vms = self
            .fleet
            .vms
            .values()
            .map(|vm| PlannerVm {
                vm: vm.entry.name.clone(),
                fabric_domain: vm.entry.fabric_domain.clone(),
                failure_domain: vm.failure_domain.clone(),
                can_host: vm.entry.can_host.clone(),
                accelerators: vm.entry.accelerators,
                state: self.health.state(&vm.entry.name),
                fencing: vm.entry.fencing,
            })
            .collect();
        let mut groups = BTreeMap::new();
        let mut executing = BTreeSet::new();
        for (_, document) in self.shards.placements().values() {
            for record in &document.groups {
                if self.is_executing(record, now) {
                    executing.insert(record.id.clone());
                }
                groups.insert(record.id.clone(), self.planner_group(record, now));
            }
        }
        PlannerInput {
            rules: self.config.rules(),
            vms,
            placements: self
                .shards
                .placements()
                .iter()
                .map(|(domain, (_, document))| (domain.clone(), document.clone()))
                .collect(),
            groups,
            executing,
            usage: self.fleet_usage(),
            // The shard controller fills in the fields that it tracks over time.
            ..PlannerInput::default()
        }
    }

    /// Whether the leader of a group reports that the group is complete and executes requests.
    fn is_executing(&self, record: &GroupRecord, now: Timestamp) -> bool {
        let leader = record.members.first();
        let received = leader.and_then(|leader| self.reports.get(leader));
        received.is_some_and(|(report, at)| {
            now.since(*at) <= MAX_REPORT_AGE
                && report.role == EngineRole::Leader
                && report.group.as_ref() == Some(&record.id)
                && report.generation == record.generation
                && report.missing.is_empty()
                && report.running + report.queued > 0
        })
    }

    fn planner_group(&self, record: &GroupRecord, now: Timestamp) -> PlannerGroup {
        let members: Vec<(VmId, VmState)> = record
            .members
            .iter()
            .map(|vm| (vm.clone(), self.health.state(vm)))
            .collect();
        let (state, _) = self.group_state(record, &members, now);
        let running = record
            .members
            .first()
            .and_then(|leader| self.reports.get(leader))
            .map_or(0, |(report, _)| report.running + report.queued);
        PlannerGroup { state, running }
    }

    /// Returns the number of running requests in the entire fleet, by account.
    fn fleet_usage(&self) -> BTreeMap<AccountId, SlotCount> {
        let mut usage: BTreeMap<AccountId, SlotCount> = BTreeMap::new();
        let all = self.usage.iter().chain(self.peer_usage.values().flatten());
        for entry in all {
            let slots = usage.entry(entry.account.clone()).or_default();
            slots.0 = slots.0.saturating_add(entry.in_use.0);
        }
        usage
    }
}
