//! Index of a fleet view by group, model, service and leader.

use std::collections::HashMap;

use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::FleetView;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::GroupView;
use jaysaddle_types::view::VmState;

use crate::load::GroupLoad;
use crate::load::LoadEstimate;

/// The load per slot of a group with a straggler is multiplied by this factor and then increased by
/// it, so that the group is chosen only when the others are busy.
const STRAGGLER_FACTOR: f64 = 2.0;

/// Load per slot added to a group that recently failed or refused an attempt; above any real load.
const AVOIDED_LOAD_PENALTY: f64 = 100.0;

/// Whether the leader's last report confirms that a group is present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// The report, received at this time, shows all members at the generation of the view.
    Confirmed(Timestamp),
    /// The report, received at this time, contradicts the view: the leader is leaving, misses a
    /// member or follows a later generation.
    Denied(Timestamp),
    /// There is no report for the generation of the view.
    Unconfirmed,
}

/// A group of the view with the state that this node keeps for it.
#[derive(Clone, Debug)]
pub(crate) struct IndexedGroup {
    pub(crate) id: GroupId,
    pub(crate) generation: Generation,
    /// Identifies one generation of the group in the affinity table.
    pub(crate) instance: u32,
    /// Whether the view, without regard to reports, allows requests to the group.
    pub(crate) may_serve: bool,
    /// Whether a member is a straggler; one slow member slows down the group.
    pub(crate) has_straggler: bool,
    pub(crate) slots: f64,
    /// Members in rank order.
    members: Vec<VmId>,
    pub(crate) load: GroupLoad,
    pub(crate) presence: Presence,
}

/// Groups and services of a fleet view with their lookup tables.
///
/// # Invariants
///
/// `groups` is in the order of the view's groups, so that a position is valid for both.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViewIndex {
    pub(crate) groups: Vec<IndexedGroup>,
    pub(crate) by_model: HashMap<ModelId, Vec<usize>>,
    pub(crate) by_service: HashMap<ServiceId, Vec<usize>>,
    by_id: HashMap<GroupId, usize>,
    by_leader: HashMap<VmId, usize>,
    by_instance: HashMap<u32, usize>,
    next_instance: u32,
}

impl ViewIndex {
    /// Rebuilds the index for `view` and keeps the load of groups that remain.
    pub(crate) fn rebuild(
        &mut self,
        view: &FleetView,
        reports: &HashMap<VmId, (EngineReport, Timestamp)>,
    ) {
        let mut previous: HashMap<GroupId, IndexedGroup> = self
            .groups
            .drain(..)
            .map(|group| (group.id.clone(), group))
            .collect();
        self.by_model.clear();
        self.by_service.clear();
        self.by_id.clear();
        self.by_leader.clear();
        self.by_instance.clear();
        for (position, group) in view.groups.iter().enumerate() {
            let indexed = self.index_group(group, previous.remove(&group.id), reports);
            self.by_instance.insert(indexed.instance, position);
            self.by_id.insert(group.id.clone(), position);
            let model_positions = self.by_model.entry(group.model.clone()).or_default();
            model_positions.push(position);
            if let Some((leader, _)) = group.members.first() {
                self.by_leader.insert(leader.clone(), position);
            }
            self.groups.push(indexed);
        }
        for (position, service) in view.services.iter().enumerate() {
            let service_positions = self.by_service.entry(service.name.clone()).or_default();
            service_positions.push(position);
        }
    }

    fn index_group(
        &mut self,
        group: &GroupView,
        previous: Option<IndexedGroup>,
        reports: &HashMap<VmId, (EngineReport, Timestamp)>,
    ) -> IndexedGroup {
        let mut load = previous.as_ref().map(|old| old.load).unwrap_or_default();
        let instance = match previous {
            Some(old) if old.generation == group.generation => old.instance,
            _ => {
                load.clear_report();
                self.next_instance = self.next_instance.wrapping_add(1);
                self.next_instance
            }
        };
        let report = group
            .members
            .first()
            .and_then(|(leader, _)| reports.get(leader));
        IndexedGroup {
            id: group.id.clone(),
            generation: group.generation,
            instance,
            may_serve: view_allows_requests(group),
            has_straggler: group
                .members
                .iter()
                .any(|(_, state)| *state == VmState::Straggler),
            slots: f64::from(group.slots.0.max(1)),
            members: member_ids(group),
            load,
            presence: report.map_or(Presence::Unconfirmed, |(report, at)| {
                presence_of(group, report, *at)
            }),
        }
    }

    pub(crate) fn position(&self, group: &GroupId) -> Option<usize> {
        self.by_id.get(group).copied()
    }

    pub(crate) fn position_of_leader(&self, vm: &VmId) -> Option<usize> {
        self.by_leader.get(vm).copied()
    }

    pub(crate) fn position_of_instance(&self, instance: u32) -> Option<usize> {
        self.by_instance.get(&instance).copied()
    }
}

/// Whether the view, without regard to reports, allows requests to `group`.
pub(crate) fn view_allows_requests(group: &GroupView) -> bool {
    group.state == GroupState::Ready
        && !group.members.is_empty()
        && group.members.iter().all(|(_, state)| state.may_serve())
}

/// Evaluates `report` of the VM that leads `group`, received at `at`.
pub(crate) fn presence_of(group: &GroupView, report: &EngineReport, at: Timestamp) -> Presence {
    presence(&group.id, group.generation, &member_ids(group), report, at)
}

fn presence(
    id: &GroupId,
    generation: Generation,
    members: &[VmId],
    report: &EngineReport,
    at: Timestamp,
) -> Presence {
    if report.confirms(id, generation, members) {
        return Presence::Confirmed(at);
    }
    // A report of an earlier generation is older than the view and contradicts nothing.
    if report.generation < generation && !report.leaving {
        return Presence::Unconfirmed;
    }
    Presence::Denied(at)
}

impl IndexedGroup {
    /// Evaluates `report` of the VM that leads the group, received at `at`.
    pub(crate) fn presence_from(&self, report: &EngineReport, at: Timestamp) -> Presence {
        presence(&self.id, self.generation, &self.members, report, at)
    }

    /// Estimates the requests per slot, with penalties for stragglers and recent failures.
    ///
    /// `mean_remote` is the mean number of other nodes' requests per group.
    pub(crate) fn load_per_slot(
        &self,
        estimate: LoadEstimate,
        mean_remote: f64,
        now: Timestamp,
    ) -> f64 {
        let mut load = self.load.estimate_requests(estimate, mean_remote) / self.slots;
        if self.has_straggler {
            load = load * STRAGGLER_FACTOR + STRAGGLER_FACTOR;
        }
        if self.load.is_avoided(now) {
            load += AVOIDED_LOAD_PENALTY;
        }
        load
    }
}

/// Returns the members of `group` in rank order.
pub(crate) fn member_ids(group: &GroupView) -> Vec<VmId> {
    group.members.iter().map(|(vm, _)| vm.clone()).collect()
}
