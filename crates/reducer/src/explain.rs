//! Explanations for operators: why a VM is idle, why a group does not serve.

use std::collections::BTreeMap;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_settings::documents::DocumentKind;
use jaysaddle_types::ids::DocumentName;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::VmState;
use serde::Serialize;

use crate::control::ControlState;

/// A VM as listed for operators.
#[derive(Clone, Debug, Serialize)]
pub struct VmSummary {
    /// The VM.
    pub vm: VmId,
    /// Fabric domain.
    pub fabric_domain: FabricDomainId,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Judged state.
    pub state: VmState,
    /// Group that the stored placement puts it in.
    pub group: Option<GroupId>,
}

impl ControlState {
    /// All VMs of the inventories in force.
    pub fn list_vms(&self) -> Vec<VmSummary> {
        let mut groups = BTreeMap::new();
        for (_, document) in self.shards.placements().values() {
            for record in &document.groups {
                for vm in &record.members {
                    groups.insert(vm, &record.id);
                }
            }
        }
        self.fleet
            .vms
            .values()
            .map(|vm| VmSummary {
                vm: vm.entry.name.clone(),
                fabric_domain: vm.entry.fabric_domain.clone(),
                failure_domain: vm.failure_domain.clone(),
                state: self.health.state(&vm.entry.name),
                group: groups.get(&vm.entry.name).map(|id| (*id).clone()),
            })
            .collect()
    }

    /// Version and content of a document in force.
    pub fn document(&self, kind: &DocumentKind) -> Option<(ObjectVersion, serde_json::Value)> {
        let entry = self.config.entry(kind)?;
        let stored: serde_json::Value = serde_json::from_str(&entry.value).ok()?;
        Some((entry.version, stored.get("document")?.clone()))
    }

    /// Versions of all documents in force.
    pub fn document_versions(&self) -> Vec<(DocumentName, ObjectVersion)> {
        self.config.versions()
    }

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
