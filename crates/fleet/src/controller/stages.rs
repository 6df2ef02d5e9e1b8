//! Advances each group through the stages of its lifecycle.

use compact_str::format_compact;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::units::Timestamp;

use crate::controller::ControlledGroup;
use crate::controller::FleetController;
use crate::controller::FleetView;
use crate::controller::GroupStage;
use crate::controller::stop_evidence::StopEvidence;
use crate::groups::ReportedGroup;

/// Fault of a member that is not registered.
const GONE: &str = "gone";

/// Whether the configuration asks for groups of another size, or for none. A service that it does not name may only be
/// unreadable, which must not end its groups.
fn has_other_size(group: &ControlledGroup, view: FleetView<'_>) -> bool {
    let engine = view.config.engine(&group.service);
    engine.is_some_and(|engine| {
        let profile = engine.model(&group.model);
        profile.is_none_or(|profile| profile.group_size != group.members.len())
    })
}

/// Whether more members report the group than it was taken over with. The configured size was lowered meanwhile, so that the
/// group seemed complete before all of them were shown.
fn has_further_members(group: &ControlledGroup, reported: &ReportedGroup) -> bool {
    reported.members.len() > group.members.len()
}

impl FleetController {
    /// The reason why a member can no longer be part of its group; `None` if it can.
    pub(super) fn member_fault(
        &self,
        key: &GroupKey,
        id: &VmId,
        view: FleetView<'_>,
    ) -> Option<&'static str> {
        let Some(row) = view.table.get(id) else {
            return Some(GONE);
        };
        if self.is_lost(id) {
            return Some("unreachable");
        }
        let membership = row.entry.membership.as_ref();
        match membership {
            Some(membership) if membership.key == *key => match membership.phase {
                MemberPhase::Broken => Some("broken"),
                MemberPhase::Unknown => Some("unknown_phase"),
                _ => None,
            },
            Some(_) => Some("in_another_group"),
            None => Some("in_no_group"),
        }
    }

    pub(super) fn advance(
        &mut self,
        key: &GroupKey,
        view: FleetView<'_>,
        reported: Option<&ReportedGroup>,
        now: Timestamp,
    ) {
        let Some(group) = self.groups.get(key) else {
            return;
        };
        match group.stage.clone() {
            GroupStage::Joining => self.advance_joining(key, view, reported, now),
            GroupStage::Opening | GroupStage::Serving => {
                self.advance_serving(key, view, reported, now);
            }
            GroupStage::Closing { until } => self.advance_closing(key, view, until, now),
            GroupStage::Dissolving => self.advance_dissolving(key, view, now),
        }
    }

    pub(super) fn advance_joining(
        &mut self,
        key: &GroupKey,
        view: FleetView<'_>,
        reported: Option<&ReportedGroup>,
        now: Timestamp,
    ) {
        let Some(group) = self.groups.get(key).cloned() else {
            return;
        };
        let mut fault = None;
        for id in &group.members {
            let Some(row) = view.table.get(id) else {
                fault = Some((id.clone(), "gone"));
                break;
            };
            if row.entry.is_draining {
                fault = Some((id.clone(), "draining"));
            } else if self.is_lost(id) {
                fault = Some((id.clone(), "unreachable"));
            } else if self.has_moved(&group, id, key) {
                fault = Some((id.clone(), "in_another_group"));
            } else if let Some(accepted) = group.joined.get(id) {
                let is_shown = row
                    .entry
                    .membership
                    .as_ref()
                    .is_some_and(|membership| membership.key == *key);
                if !is_shown && now.since(*accepted) >= self.timing.join_visibility_timeout {
                    fault = Some((id.clone(), "join_not_shown"));
                }
            }
        }
        if has_other_size(&group, view)
            || reported.is_some_and(|reported| has_further_members(&group, reported))
        {
            fault = Some((group.leader().clone(), "group_size_changed"));
        }
        if fault.is_none() && now.since(group.created) >= self.timing.join_timeout {
            fault = Some((group.leader().clone(), "join_timeout"));
        }
        if let Some((id, reason)) = fault {
            self.log_decision(format_compact!(
                "group={key} decision=abandon vm={id} reason={reason}"
            ));
            if group.is_adopted {
                self.set_stage(key, GroupStage::Dissolving);
                self.advance_dissolving(key, view, now);
            } else {
                self.end_group(key, StopEvidence::NeverOpened, now);
            }
            return;
        }
        if self.leader_evidence(key, view, now) == Some(StopEvidence::Broken) {
            self.log_decision(format_compact!(
                "group={key} decision=free reason={}",
                StopEvidence::Broken
            ));
            self.end_group(key, StopEvidence::Broken, now);
            return;
        }
        let is_ready = reported.is_some_and(|group| {
            group.is_complete()
                && group.is_loaded
                && matches!(
                    group.leader_phase,
                    Some(MemberPhase::Ready | MemberPhase::Open)
                )
        });
        if is_ready {
            if group.is_adopted {
                self.settle_adopted(key, view, now);
                return;
            }
            let mut states = group.members.iter().map(|id| self.vms.get(id));
            let have_joined = states.all(|vm| {
                let state = vm.and_then(|vm| vm.state.as_ref());
                state.is_some_and(|state| state.group.as_ref() == Some(key))
            });
            if have_joined && self.order_leader(key, BackendOrder::Open { key: key.clone() }, now) {
                self.set_stage(key, GroupStage::Opening);
            }
            return;
        }
        for id in &group.members {
            let state = self.vms.get(id).and_then(|vm| vm.state.as_ref());
            if state.is_some_and(|state| state.group.as_ref() == Some(key))
                && let Some(group) = self.groups.get_mut(key)
            {
                group.joined.entry(id.clone()).or_insert(now);
            }
        }
        let Some(group) = self.groups.get(key).cloned() else {
            return;
        };
        let missing: Vec<VmId> = group
            .members
            .iter()
            .filter(|id| !group.joined.contains_key(*id))
            .cloned()
            .collect();
        for id in missing {
            let order = BackendOrder::Join {
                key: key.clone(),
                model: group.model.clone(),
                members: group.members.clone(),
            };
            self.send_order(&id, order, now);
        }
    }

    /// Decides about a group that a previous holder has formed, once all members are ready. If that holder has opened it, it
    /// serves. If not, that holder may have given it up and ordered a member to join another group, and that order would
    /// still be accepted. So the leader leaves, and the members join again with newer order counts.
    fn settle_adopted(&mut self, key: &GroupKey, view: FleetView<'_>, now: Timestamp) {
        let Some(leader) = self.groups.get(key).map(|group| group.leader().clone()) else {
            return;
        };
        let entry = view.table.get(&leader).map(|row| &row.entry);
        let is_shown_open = entry
            .and_then(|entry| entry.membership.as_ref())
            .is_some_and(|membership| {
                membership.key == *key && membership.phase == MemberPhase::Open
            });
        let state = self.vms.get(&leader).and_then(|vm| vm.state.as_ref());
        let has_opened = is_shown_open
            || state.is_some_and(|state| state.is_serving && state.group.as_ref() == Some(key));
        if has_opened {
            self.log_decision(format_compact!(
                "group={key} decision=serve reason=opened_before"
            ));
            self.set_stage(key, GroupStage::Serving);
        } else if state.is_some() || self.is_paused(&leader, now) {
            self.log_decision(format_compact!(
                "group={key} decision=dissolve reason=not_opened"
            ));
            self.set_stage(key, GroupStage::Dissolving);
            self.advance_dissolving(key, view, now);
        }
    }

    /// Whether a member that has not joined yet is known to be in a group other than the one it was taken from. One that has
    /// left that group may still join.
    fn has_moved(&self, group: &ControlledGroup, id: &VmId, key: &GroupKey) -> bool {
        let state = self.vms.get(id).and_then(|vm| vm.state.as_ref());
        let origin = group.origins.get(id);
        !group.joined.contains_key(id)
            && state.zip(origin).is_some_and(|(state, origin)| {
                let group = state.group.as_ref();
                group.is_some_and(|group| group != key) && group != origin.as_ref()
            })
    }

    pub(super) fn advance_serving(
        &mut self,
        key: &GroupKey,
        view: FleetView<'_>,
        reported: Option<&ReportedGroup>,
        now: Timestamp,
    ) {
        let Some(group) = self.groups.get(key).cloned() else {
            return;
        };
        let faults = group
            .members
            .iter()
            .filter_map(|id| Some((id.clone(), self.member_fault(key, id, view)?)));
        // A member that has deregistered itself stays until the leader has finished its requests.
        let (deregistered, faults): (Vec<_>, Vec<_>) = faults.partition(|(id, reason)| {
            *reason == GONE
                && id != group.leader()
                && view.table.removed(id).is_some_and(|row| !row.has_expired)
        });
        let fault = faults.into_iter().next();
        if let (None, Some((id, _))) = (&fault, deregistered.first()) {
            self.log_decision(format_compact!(
                "group={key} decision=close vm={id} reason=deregistered"
            ));
            let stage = GroupStage::Closing {
                until: now + self.timing.close_timeout,
            };
            self.set_stage(key, stage);
            self.order_leader(key, BackendOrder::Close { key: key.clone() }, now);
            return;
        }
        if let Some((id, reason)) = fault {
            self.log_decision(format_compact!(
                "group={key} decision=dissolve vm={id} reason={reason}"
            ));
            self.set_stage(key, GroupStage::Dissolving);
            self.advance_dissolving(key, view, now);
            return;
        }
        let Some(reported) = reported else {
            return;
        };
        let has_other_size = has_other_size(&group, view) || has_further_members(&group, reported);
        let close_reason = if reported.has_draining_member {
            Some("draining_member")
        } else {
            has_other_size.then_some("group_size_changed")
        };
        if let Some(reason) = close_reason {
            self.log_decision(format_compact!(
                "group={key} decision=close reason={reason}"
            ));
            let stage = GroupStage::Closing {
                until: now + self.timing.close_timeout,
            };
            self.set_stage(key, stage);
            self.order_leader(key, BackendOrder::Close { key: key.clone() }, now);
            return;
        }
        match reported.leader_phase {
            Some(MemberPhase::Open) if group.stage == GroupStage::Opening => {
                self.log_decision(format_compact!(
                    "group={key} decision=serve model={} formed_ms={}",
                    group.model,
                    now.since(group.created).as_millis()
                ));
                self.set_stage(key, GroupStage::Serving);
            }
            Some(MemberPhase::Ready) => {
                let is_due = group
                    .last_order
                    .is_none_or(|sent| now.since(sent) >= self.timing.leader_retry_delay);
                if is_due {
                    self.order_leader(key, BackendOrder::Open { key: key.clone() }, now);
                }
            }
            _ => {}
        }
    }

    pub(super) fn advance_closing(
        &mut self,
        key: &GroupKey,
        view: FleetView<'_>,
        until: Timestamp,
        now: Timestamp,
    ) {
        let Some(group) = self.groups.get(key) else {
            return;
        };
        let leader = group.leader().clone();
        // A member that refuses connections may only have stopped to listen.
        let is_broken = group.members.iter().any(|id| {
            let vm = self.vms.get(id);
            self.is_lost(id) && vm.is_some_and(|vm| !vm.reachability.is_refusing())
        });
        let phase = view.table.get(&leader).and_then(|row| {
            let membership = row.entry.membership.as_ref()?;
            (membership.key == *key).then_some(membership.phase)
        });
        match phase {
            // An unacknowledged order to open may still arrive; once the leader has left, it has no effect.
            Some(MemberPhase::Ready | MemberPhase::Broken) => {
                self.set_stage(key, GroupStage::Dissolving);
                self.advance_dissolving(key, view, now);
            }
            Some(MemberPhase::Open | MemberPhase::Closing) if now < until && !is_broken => {
                let is_due = group
                    .last_order
                    .is_none_or(|sent| now.since(sent) >= self.timing.leader_retry_delay);
                if phase == Some(MemberPhase::Open) && is_due {
                    self.order_leader(key, BackendOrder::Close { key: key.clone() }, now);
                }
            }
            _ => {
                self.set_stage(key, GroupStage::Dissolving);
                self.advance_dissolving(key, view, now);
            }
        }
    }

    pub(super) fn advance_dissolving(
        &mut self,
        key: &GroupKey,
        view: FleetView<'_>,
        now: Timestamp,
    ) {
        let Some(group) = self.groups.get(key) else {
            return;
        };
        let leader = group.leader().clone();
        if view.table.get(&leader).is_none()
            && let Some(vm) = self.vms.get_mut(&leader)
            && vm.next_probe.is_none()
            && !vm.probe_in_flight
        {
            vm.next_probe = Some(now);
        }
        if let Some(evidence) = self.leader_evidence(key, view, now) {
            self.log_decision(format_compact!(
                "group={key} decision=free reason={evidence}"
            ));
            self.end_group(key, evidence, now);
            return;
        }
        let is_due = group
            .last_order
            .is_none_or(|sent| now.since(sent) >= self.timing.retry_delay);
        if is_due {
            self.order_leader(key, BackendOrder::Leave { key: key.clone() }, now);
        }
    }

    pub(super) fn set_stage(&mut self, key: &GroupKey, stage: GroupStage) {
        if let Some(group) = self.groups.get_mut(key) {
            // When a group enters the opening stage, its order to open has just been sent. A repeated order would be
            // accepted without being counted by the VM.
            if stage != GroupStage::Opening {
                group.last_order = None;
            }
            group.stage = stage;
        }
    }
}
