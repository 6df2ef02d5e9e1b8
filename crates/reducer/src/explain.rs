//! Explanations for operators: why a VM is idle, or why a group does not serve requests.

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

/// A VM in the operator API's list.
#[derive(Clone, Debug, Serialize)]
pub struct VmSummary {
    /// Name from the inventory.
    pub vm: VmId,
    /// Fabric domain that the inventory assigns.
    pub fabric_domain: FabricDomainId,
    /// Failure domain of the inventory that lists the VM.
    pub failure_domain: FailureDomainId,
    /// State determined by this node's health tracker.
    pub state: VmState,
    /// Group of the VM in the stored placement; absent when it is in none.
    pub group: Option<GroupId>,
}

impl ControlState {
    /// Lists all VMs of the active inventories.
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

    /// Returns the version and content of an active document.
    pub fn document(&self, kind: &DocumentKind) -> Option<(ObjectVersion, serde_json::Value)> {
        let entry = self.config.entry(kind)?;
        let stored: serde_json::Value = serde_json::from_str(&entry.value).ok()?;
        Some((entry.version, stored.get("document")?.clone()))
    }

    /// Returns the names and versions of all active documents.
    pub fn document_versions(&self) -> Vec<(DocumentName, ObjectVersion)> {
        self.config.versions()
    }

    /// Explains the state of a VM and the decisions that depend on it, one sentence per element.
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
                let is_service = self
                    .fleet
                    .services
                    .iter()
                    .any(|service| service.entry.vm == *vm);
                if !is_service {
                    lines.push(format_compact!("{vm} is not in any active inventory."));
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

    /// Explains the state of a group and the decisions that depend on it, one sentence per element.
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
            None => lines.push(format_compact!("{id} is not in any stored placement.")),
        }
        lines.extend(self.shards.explain_group(id));
        lines
    }
}
