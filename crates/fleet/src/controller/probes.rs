//! Probes VMs that are suspected to have failed, and counts failed probes.

use compact_str::format_compact;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::Timestamp;

use crate::controller::ControlledGroup;
use crate::controller::FleetController;
use crate::controller::FleetEffect;
use crate::controller::FleetView;
use crate::controller::GroupStage;
use crate::controller::ProbeResult;
use crate::controller::VmState;

impl FleetController {
    pub(super) fn probe_done(&mut self, id: &VmId, result: ProbeResult, now: Timestamp) {
        let is_member = self.group_of(id).is_some();
        let timing = self.timing;
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        vm.probe_in_flight = false;
        let reachability = &mut vm.reachability;
        let (was_silent, was_lost) = (
            reachability.is_silent(&timing),
            reachability.is_lost(&timing),
        );
        match &result {
            ProbeResult::Reported(state) => {
                reachability.record_response();
                vm.last_report = Some(now);
                // A report can be a few hundred milliseconds old, and older than the response to an order.
                let is_older = vm
                    .state
                    .as_ref()
                    .is_some_and(|known| known.order_count > state.order_count);
                if !is_older {
                    vm.state = Some(state.clone());
                }
                vm.next_probe = None;
            }
            ProbeResult::Void => vm.next_probe = Some(now + timing.retry_delay),
            ProbeResult::Refused | ProbeResult::Unreachable | ProbeResult::Silent => {
                reachability.record_failure(&result, &timing, now);
                let pause = if reachability.is_lost(&timing) {
                    timing.lost_probe_interval
                } else if reachability.is_silent(&timing) {
                    timing.silent_probe_interval
                } else {
                    timing.retry_delay
                };
                vm.next_probe = Some(now + pause);
            }
        }
        let (is_silent, is_lost) = (
            reachability.is_silent(&timing),
            reachability.is_lost(&timing),
        );
        let decision = if is_lost && !was_lost {
            "unreachable"
        } else if is_silent && !was_silent {
            "silent"
        } else if (was_silent || was_lost) && !is_silent && !is_lost {
            "reachable_again"
        } else {
            return;
        };
        let failed = reachability.failed();
        self.log_decision(format_compact!(
            "vm={id} decision={decision} failed_probes={failed} last={result:?} is_member={is_member}"
        ));
    }

    /// Schedules probes of the members of a stalled group, except of members that have reported recently.
    pub(super) fn handle_stalled_leader(&mut self, id: &VmId, now: Timestamp) {
        let Some(key) = self.group_of(id).cloned() else {
            return;
        };
        let Some(group) = self.groups.get(&key) else {
            return;
        };
        let validity = self.timing.report_validity;
        for member in &group.members {
            if let Some(vm) = self.vms.get_mut(member)
                && vm.next_probe.is_none()
                && !vm.probe_in_flight
                && vm
                    .last_report
                    .is_none_or(|time| now.since(time) >= validity)
            {
                vm.next_probe = Some(now);
            }
        }
    }

    /// Schedules probes of the members of all groups that are not serving. While the store is unreachable, their
    /// reports replace the updates of their entries.
    pub(super) fn probe_changing_groups(&mut self, now: Timestamp) {
        let pause = self.timing.leader_retry_delay;
        let changing = self
            .groups
            .values()
            .filter(|group| group.stage != GroupStage::Serving)
            .flat_map(|group| &group.members);
        for id in changing {
            if let Some(vm) = self.vms.get_mut(id)
                && vm.next_probe.is_none()
                && !vm.probe_in_flight
                && vm
                    .last_report
                    .is_none_or(|time| now.since(time).0 >= pause.0 / 4)
            {
                vm.next_probe = Some(now);
            }
        }
    }

    /// Schedules probes of the VMs whose state must be known before they may join a group: those in no managed group, and the
    /// members of groups that are ending.
    pub(super) fn probe_unknown_states(&mut self, view: FleetView<'_>, now: Timestamp) {
        for row in view.table.rows() {
            let entry = &row.entry;
            if entry.is_draining {
                continue;
            }
            let managed = self.groups.group_of(&entry.id);
            let group = managed.and_then(|key| self.groups.get(key));
            if group.is_some_and(|group| {
                group.counts_as_capacity() && group.stage != GroupStage::Joining
            }) {
                continue;
            }
            let Some(vm) = self.vms.get_mut(&entry.id) else {
                continue;
            };
            let shown = entry.membership.as_ref().map(|membership| &membership.key);
            let has_joined = group.is_some_and(|group| group.joined.contains_key(&entry.id));
            let is_plausible = |state: &VmState| match &state.group {
                Some(group) => {
                    Some(group) == shown
                        || Some(group) == managed
                        || self.ended_groups.contains_key(group)
                }
                // A report that is older than the order to join names no group yet.
                None => managed.is_none() || !has_joined && shown != managed,
            };
            let has_reported = vm
                .last_report
                .is_some_and(|time| now.since(time) < self.timing.report_validity);
            let is_known = vm
                .state
                .as_ref()
                .is_some_and(|state| has_reported || is_plausible(state));
            let is_idle = vm.next_probe.is_none() && !vm.probe_in_flight && vm.in_flight.is_none();
            if !is_known && is_idle && vm.reachability.failed() == 0 {
                vm.next_probe = Some(now);
            }
        }
    }

    pub(super) fn send_due_probes(&mut self, now: Timestamp) {
        for (id, vm) in &mut self.vms {
            let Some(address) = vm.address else {
                continue;
            };
            let domain = vm.failure_domain.as_ref();
            let is_paused = self.paused.get(id).is_some_and(|until| now < *until)
                || domain.is_some_and(|domain| self.evacuated.contains(domain));
            let is_due = vm.next_probe.is_some_and(|time| now >= time) && !is_paused;
            if is_due && !vm.probe_in_flight {
                vm.probe_in_flight = true;
                vm.next_probe = None;
                self.effects.push(FleetEffect::Probe {
                    id: id.clone(),
                    address,
                    is_repeated: vm.reachability.failed() > 0,
                });
            }
        }
    }

    pub(super) fn is_lost(&self, id: &VmId) -> bool {
        let vm = self.vms.get(id);
        vm.is_some_and(|vm| vm.reachability.is_lost(&self.timing))
    }

    /// Whether the VM counts neither as lost nor as silent.
    pub(super) fn is_answering(&self, id: &VmId) -> bool {
        let vm = self.vms.get(id);
        vm.is_none_or(|vm| vm.reachability.failed() < self.timing.lost_probe_count)
    }

    /// Whether a member of the group is silent, so that requests would wait for it.
    pub(super) fn has_silent_member(&self, group: &ControlledGroup) -> bool {
        group.members.iter().any(|id| {
            let vm = self.vms.get(id);
            vm.is_some_and(|vm| vm.reachability.is_silent(&self.timing))
        })
    }
}
