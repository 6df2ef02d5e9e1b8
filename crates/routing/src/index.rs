//! Index of a fleet view by model, service and leader.

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

/// Load of a group with a straggler counts this many times, and as if so many times full, so that it
/// is chosen only when the others are busy.
const SLOW_FACTOR: f64 = 2.0;

/// Load added to a group that just failed or refused an attempt; above any real load.
const AVOIDED_LOAD: f64 = 100.0;

/// What a leader's last report says about its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// All members are present at the stored generation.
    Confirmed(Timestamp),
    /// The leader is leaving, misses a member or follows a later generation.
    Denied(Timestamp),
    /// No report that concerns the stored generation.
    Unproven,
}

/// A group of the view with this node's own knowledge of it.
#[derive(Clone, Debug)]
pub(crate) struct IndexedGroup {
    pub(crate) id: GroupId,
    pub(crate) generation: Generation,
    /// Differs between two generations of one group; names the group in the affinity table.
    pub(crate) instance: u32,
    /// Whether the view alone allows a send.
    pub(crate) serving: bool,
    /// Load that counts double, because a slow member slows the whole group.
    pub(crate) slow: bool,
    pub(crate) slots: f64,
    /// Members in rank order.
    members: Vec<VmId>,
    pub(crate) load: GroupLoad,
    pub(crate) presence: Presence,
}

/// The index.
///
/// # Invariants
///
/// `groups` has the order of the view's groups.
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
    /// Indexes `view` and keeps what is known of groups that stay.
    pub(crate) fn rebuild(
        &mut self,
        view: &FleetView,
        reports: &HashMap<VmId, (EngineReport, Timestamp)>,
    ) {
        let mut known: HashMap<GroupId, IndexedGroup> = self
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
            let indexed = self.index_group(group, known.remove(&group.id), reports);
            self.by_instance.insert(indexed.instance, position);
            self.by_id.insert(group.id.clone(), position);
            let of_model = self.by_model.entry(group.model.clone()).or_default();
            of_model.push(position);
            if let Some((leader, _)) = group.members.first() {
                self.by_leader.insert(leader.clone(), position);
            }
            self.groups.push(indexed);
        }
        for (position, service) in view.services.iter().enumerate() {
            let of_name = self.by_service.entry(service.name.clone()).or_default();
            of_name.push(position);
        }
    }

    fn index_group(
        &mut self,
        group: &GroupView,
        known: Option<IndexedGroup>,
        reports: &HashMap<VmId, (EngineReport, Timestamp)>,
    ) -> IndexedGroup {
        let mut load = known.as_ref().map(|old| old.load).unwrap_or_default();
        let instance = match known {
            Some(old) if old.generation == group.generation => old.instance,
            _ => {
                load.forget_report();
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
            serving: may_take_request(group),
            slow: group
                .members
                .iter()
                .any(|(_, state)| *state == VmState::Straggler),
            slots: f64::from(group.slots.0.max(1)),
            members: member_ids(group),
            load,
            presence: report.map_or(Presence::Unproven, |(report, at)| {
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

/// Whether the view alone allows a send to `group`.
pub(crate) fn may_take_request(group: &GroupView) -> bool {
    group.state == GroupState::Ready
        && !group.members.is_empty()
        && group.members.iter().all(|(_, state)| state.may_serve())
}

/// What `report`, made by the VM that leads `group`, says about it.
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
    // A report of an earlier generation shows only that it is older than the view.
    if report.generation < generation && !report.leaving {
        return Presence::Unproven;
    }
    Presence::Denied(at)
}

impl IndexedGroup {
    /// What `report`, made by the VM that leads the group, says about it.
    pub(crate) fn view_presence(&self, report: &EngineReport, at: Timestamp) -> Presence {
        presence(&self.id, self.generation, &self.members, report, at)
    }

    /// Estimated requests per slot; `mean_foreign` is the other nodes' usual part.
    pub(crate) fn load_per_slot(
        &self,
        estimate: LoadEstimate,
        mean_foreign: f64,
        now: Timestamp,
    ) -> f64 {
        let mut load = self.load.requests(estimate, mean_foreign) / self.slots;
        if self.slow {
            load = load * SLOW_FACTOR + SLOW_FACTOR;
        }
        if self.load.is_avoided(now) {
            load += AVOIDED_LOAD;
        }
        load
    }
}

/// Members of `group` in rank order.
pub(crate) fn member_ids(group: &GroupView) -> Vec<VmId> {
    group.members.iter().map(|(vm, _)| vm.clone()).collect()
}
