//! Explanations for operators: why a VM is idle, why a group does not serve.

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::Timestamp;

use crate::control::ControlState;

impl ControlState {
    /// What is known about a VM and what follows from it, one sentence each.
    pub fn explain_vm(&self, vm: &VmId) -> Vec<CompactString> {
        let mut lines = Vec::new();
        match (self.fleet.vms.get(vm), self.fleet.conflicts.get(vm)) {
            (_, Some(reason)) => lines.push(reason.clone()),
            (Some(entry), None) => lines.push(format_compact!(
                "{vm} is in fabric domain {} of failure domain {}.",
                entry.entry.fabric_domain,
                entry.failure_domain
            )),
            (None, None) => {
                let known = self.fleet.services.iter().any(|s| s.entry.vm == *vm);
                if !known {
                    lines.push(format_compact!("{vm} is in no inventory in force."));
                    return lines;
                }
                lines.push(format_compact!("{vm} runs a plain service."));
            }
        }
        lines.push(format_compact!("Its state is {:?}.", self.health.state(vm)));
        lines.extend(self.health.explain(vm));
        lines.extend(self.shards.explain_vm(vm));
        lines
    }

    /// What is known about a group and what follows from it, one sentence each.
    pub fn explain_group(&self, id: &GroupId, now: Timestamp) -> Vec<CompactString> {
        let (view, _) = self.fleet_view(now);
        let mut lines = Vec::new();
        match view.groups.iter().find(|group| group.id == *id) {
            Some(group) => {
                let members: Vec<_> = group
                    .members
                    .iter()
                    .map(|(vm, state)| format!("{vm} ({state:?})"))
                    .collect();
                lines.push(format_compact!(
                    "{id} runs {} version {} in {} at generation {} with {}.",
                    group.model,
                    group.version,
                    group.fabric_domain,
                    group.generation,
                    members.join(", ")
                ));
                if group.reason.is_empty() {
                    lines.push(format_compact!("Its state is {:?}.", group.state));
                } else {
                    lines.push(format_compact!(
                        "Its state is {:?}: {}.",
                        group.state,
                        group.reason
                    ));
                }
                let lease = self.leases.explain(&group.fabric_domain);
                lines.extend(lease);
            }
            None => lines.push(format_compact!("{id} is in no stored placement.")),
        }
        lines.extend(self.shards.explain_group(id));
        lines
    }
}
