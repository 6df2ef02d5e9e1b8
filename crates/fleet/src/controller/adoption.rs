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
use crate::controller::stop_evidence::StopEvidence;
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
        let unregistered = &self.unregistered_leaders;
        self.vms.retain(|id, _| {
            view.table.get(id).is_some()
                || groups.group_of(id).is_some()
                || unregistered.contains(id)
        });
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
            .retain(|_, ended| now.since(ended.at) < retention);
        self.unregistered_leaders.clear();
        for (key, group) in reported {
            if self.groups.contains_key(key) || self.has_ended(key, group) {
                continue;
            }
            let Some(phase) = group.leader_phase else {
                self.watch_unregistered_leader(key, group, view, now);
                continue;
            };
            let has_managed_member = group.members.values().any(|id| self.group_of(id).is_some());
            let stage = match phase {
                _ if has_managed_member => match phase {
                    MemberPhase::Broken => continue,
                    _ => GroupStage::Dissolving,
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
                // The other members may only not be shown yet.
                MemberPhase::Joining
                    if now.since(self.term_start) < self.timing.join_visibility_timeout =>
                {
                    continue;
                }
                // An order of the previous holder may still be in flight, to open this group or to join a member to
                // another one, or may have taken effect unseen. Once the leader has left, neither has an effect.
                MemberPhase::Joining | MemberPhase::Ready | MemberPhase::Unknown => {
                    GroupStage::Dissolving
                }
                MemberPhase::Broken => continue,
            };
            let members: Vec<VmId> = group.members.values().cloned().collect();
            self.log_decision(format_compact!(
                "group={key} decision=adopt model={} phase={phase:?} members={}",
                group.model,
                members.len()
            ));
            self.insert_adopted(key, group, members, stage, now);
        }
    }

    fn insert_adopted(
        &mut self,
        key: &GroupKey,
        group: &ReportedGroup,
        members: Vec<VmId>,
        stage: GroupStage,
        now: Timestamp,
    ) {
        let joined = members.iter().map(|id| (id.clone(), now)).collect();
        self.groups.insert(
            key.clone(),
            ControlledGroup {
                service: group.service.clone(),
                model: group.model.clone(),
                members,
                stage,
                is_adopted: true,
                created: now,
                origins: BTreeMap::new(),
                joined,
                last_order: None,
            },
        );
    }

    /// Probes the leader of a reported group whose entry was removed. The group ends when the leader is gone. A leader that
    /// still answers when its entry should have returned, or when it should have finished its requests, is ordered to leave.
    fn watch_unregistered_leader(
        &mut self,
        key: &GroupKey,
        group: &ReportedGroup,
        view: FleetView<'_>,
        now: Timestamp,
    ) {
        let Some(removed) = view.table.removed_leader(key) else {
            return;
        };
        let leader = &removed.entry.id;
        if self.group_of(leader).is_some() {
            return;
        }
        self.unregistered_leaders.insert(leader.clone());
        let vm = self
            .vms
            .entry(leader.clone())
            .or_insert_with(|| ControlledVm {
                started: removed.entry.started,
                address: Some(removed.entry.address),
                failure_domain: Some(removed.entry.failure_domain.clone()),
                ..ControlledVm::default()
            });
        let is_probe_due = vm.next_probe.is_none()
            && !vm.probe_in_flight
            && vm
                .last_report
                .is_none_or(|time| now.since(time) >= self.timing.report_validity);
        if is_probe_due {
            vm.next_probe = Some(now);
        }
        let limit = if removed.has_expired {
            self.timing.unknown_leader_timeout
        } else {
            self.timing.finish_timeout
        };
        if self.has_stopped_serving(leader, view.table, now) {
            let evidence = StopEvidence::Gone;
            self.log_decision(format_compact!(
                "group={key} decision=free reason={evidence}"
            ));
            self.end_group(key, evidence, now);
        } else if now.since(removed.removed_at) >= limit {
            let others = group.members.values().cloned();
            let members: Vec<VmId> = std::iter::once(leader.clone()).chain(others).collect();
            self.log_decision(format_compact!(
                "group={key} decision=adopt model={} phase=None vm={leader} members={}",
                group.model,
                members.len()
            ));
            self.insert_adopted(key, group, members, GroupStage::Dissolving, now);
        }
    }

    /// Whether a reported group has ended. That a leader without an answer was gone is withdrawn when it reports the group
    /// again.
    fn has_ended(&mut self, key: &GroupKey, group: &ReportedGroup) -> bool {
        let Some(ended) = self.ended_groups.get(key) else {
            return false;
        };
        let has_returned = ended.evidence == StopEvidence::Gone
            && group
                .leader_phase
                .is_some_and(|phase| phase != MemberPhase::Broken);
        if has_returned {
            self.ended_groups.remove(key);
            self.log_decision(format_compact!(
                "group={key} decision=withdraw_end reason=leader_returned"
            ));
        }
        !has_returned
    }
}
