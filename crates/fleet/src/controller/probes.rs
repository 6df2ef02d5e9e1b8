//! Probes VMs that are suspected to have failed, and counts failed probes.

use compact_str::format_compact;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::Timestamp;

use crate::controller::FleetController;
use crate::controller::FleetEffect;
use crate::controller::GroupStage;
use crate::controller::ProbeResult;

impl FleetController {
    pub(super) fn probe_done(&mut self, id: &VmId, result: ProbeResult, now: Timestamp) {
        let is_member = self.group_of(id).is_some();
        let retry_delay = self.timing.retry_delay;
        let lost_probe_count = self.timing.lost_probe_count;
        let lost_probe_interval = self.timing.lost_probe_interval;
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        vm.probe_in_flight = false;
        match result {
            ProbeResult::Reported { order_count } => {
                if vm.failed_probes >= lost_probe_count {
                    self.effects.push(FleetEffect::LogDecision(format_compact!(
                        "vm={id} decision=reachable_again"
                    )));
                }
                vm.failed_probes = 0;
                vm.unreachable_since = None;
                vm.last_report = Some(now);
                vm.order_count = vm.order_count.max(Some(order_count));
                vm.next_probe = None;
            }
            ProbeResult::Refused | ProbeResult::TimedOut => {
                vm.failed_probes += 1;
                vm.unreachable_since.get_or_insert(now);
                vm.is_refusing = result == ProbeResult::Refused;
                let pause = if vm.failed_probes >= lost_probe_count {
                    lost_probe_interval
                } else {
                    retry_delay
                };
                vm.next_probe = Some(now + pause);
                if vm.failed_probes == lost_probe_count {
                    self.effects.push(FleetEffect::LogDecision(format_compact!(
                        "vm={id} decision=unreachable failed_probes={lost_probe_count} is_member={is_member}"
                    )));
                }
            }
        }
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

    pub(super) fn send_due_probes(&mut self, now: Timestamp) {
        for (id, vm) in &mut self.vms {
            let Some(address) = vm.address else {
                continue;
            };
            let is_paused = self.paused.get(id).is_some_and(|until| now < *until);
            let is_due = vm.next_probe.is_some_and(|time| now >= time) && !is_paused;
            if is_due && !vm.probe_in_flight {
                vm.probe_in_flight = true;
                vm.next_probe = None;
                self.effects.push(FleetEffect::Probe {
                    id: id.clone(),
                    address,
                });
            }
        }
    }

    pub(super) fn is_lost(&self, id: &VmId) -> bool {
        self.vms
            .get(id)
            .is_some_and(|vm| vm.failed_probes >= self.timing.lost_probe_count)
    }
}
