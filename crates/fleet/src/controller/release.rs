//! Orders idle members to leave groups that have ended.
//!
//! The entry of a member names its last group until the member joins another one or leaves. If the leader of that
//! group has failed, the next lease holder cannot determine whether it still serves, and has to wait for as long as it
//! might.

use std::collections::BTreeMap;

use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::units::Timestamp;

use crate::controller::FleetController;
use crate::controller::FleetView;
use crate::controller::IdleReason;
use crate::groups::ReportedGroup;

impl FleetController {
    /// Orders each member that has been idle since its group ended to leave the group, once per group, and each member that
    /// must leave before it may join another group.
    pub(super) fn release_members(
        &mut self,
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) {
        let mut idle: Vec<(VmId, GroupKey)> = Vec::new();
        for row in view.table.rows() {
            let entry = &row.entry;
            let Some(membership) = &entry.membership else {
                continue;
            };
            let has_ended = self
                .ended_groups
                .get(&membership.key)
                .is_some_and(|ended| now.since(ended.at) >= self.timing.release_delay);
            let is_idle = self.vms.get(&entry.id).is_some_and(|vm| {
                vm.in_flight.is_none()
                    && vm.reachability.failed() == 0
                    && vm.released_from.as_ref() != Some(&membership.key)
            });
            if !is_idle
                || membership.phase != MemberPhase::Ready
                || self.group_of(&entry.id).is_some()
            {
                continue;
            }
            let is_due = has_ended
                || self.join_blocker(entry, view, reported, now) == Some(IdleReason::LeaveNeeded);
            if is_due {
                idle.push((entry.id.clone(), membership.key.clone()));
            }
        }
        for (id, key) in idle {
            let order = BackendOrder::Leave { key: key.clone() };
            if self.send_order(&id, order, now)
                && let Some(vm) = self.vms.get_mut(&id)
            {
                vm.released_from = Some(key);
            }
        }
    }
}
