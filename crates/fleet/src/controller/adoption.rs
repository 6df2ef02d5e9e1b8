//! Synchronizes the controller with the entries, and adopts groups that a previous lease holder has formed.

use std::collections::BTreeMap;

use compact_str::format_compact;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::units::Timestamp;

use crate::controller::ControlledGroup;
use crate::controller::ControlledVm;
use crate::controller::FleetController;
use crate::controller::FleetView;
use crate::controller::GroupStage;
use crate::groups::ReportedGroup;

impl FleetController {
    pub(super) fn sync_vms(&mut self, view: FleetView<'_>) {
        for row in view.table.rows() {
            let entry = &row.entry;
            if view.config.engine(&entry.service).is_none() {
                continue;
            }
            let vm = self.vms.entry(entry.id.clone()).or_default();
            if vm.started != entry.started {
                *vm = ControlledVm {
                    started: entry.started,
                    ..ControlledVm::default()
                };
            }
            vm.address = Some(entry.address);
            if vm.failure_domain.as_ref() != Some(&entry.failure_domain) {
                vm.failure_domain = Some(entry.failure_domain.clone());
            }
        }
        let groups = &self.groups;
        self.vms
            .retain(|id, _| view.table.get(id).is_some() || groups.group_of(id).is_some());
    }

    /// Adopts reported groups that are not managed yet. A group that may not serve safely is dissolved.
    pub(super) fn adopt(
        &mut self,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        view: FleetView<'_>,
        now: Timestamp,
    ) {
        let retention = self.timing.ended_retention;
        self.ended_groups
            .retain(|_, ended| now.since(*ended) < retention);
        for (key, group) in reported {
            if self.groups.contains_key(key) || self.ended_groups.contains_key(key) {
                continue;
            }
            let Some(phase) = group.leader_phase else {
                continue;
            };
            let has_managed_member = group.members.values().any(|id| self.group_of(id).is_some());
            let stage = match phase {
                _ if has_managed_member => match phase {
                    MemberPhase::Open | MemberPhase::Closing | MemberPhase::Ready => {
                        GroupStage::Dissolving
                    }
                    _ => continue,
                },
                MemberPhase::Open if group.is_complete() && group.is_loaded => GroupStage::Serving,
                MemberPhase::Closing => GroupStage::Closing {
                    until: now + self.timing.close_timeout,
                },
                // The configuration has changed, which is no reason to cut the requests of the leader.
                MemberPhase::Open if group.is_larger_than_configured() && group.is_loaded => {
                    GroupStage::Closing {
                        until: now + self.timing.close_timeout,
                    }
                }
                // The missing member may have deregistered itself, and stays until the leader has finished its requests.
                MemberPhase::Open if group.is_loaded && !view.table.has_expired_member(key) => {
                    GroupStage::Closing {
                        until: now + self.timing.close_timeout,
                    }
                }
                MemberPhase::Open => GroupStage::Dissolving,
                MemberPhase::Joining | MemberPhase::Ready
                    if group.is_complete() && !group.is_loaded =>
                {
                    GroupStage::Joining
                }
                // An order of the previous holder may still be in flight, to open this group or to join a member to
                // another one. Once the leader has left, neither has an effect.
                MemberPhase::Ready => GroupStage::Dissolving,
                _ => continue,
            };
            let members: Vec<VmId> = group.members.values().cloned().collect();
            let joined = members.iter().map(|id| (id.clone(), now)).collect();
            self.log_decision(format_compact!(
                "group={key} decision=adopt model={} phase={phase:?} members={}",
                group.model,
                members.len()
            ));
            self.groups.insert(
                key.clone(),
                ControlledGroup {
                    service: group.service.clone(),
                    model: group.model.clone(),
                    members,
                    stage,
                    created: now,
                    joined,
                    last_order: None,
                },
            );
        }
    }
}
