//! Invariant checks on placement documents.

use std::collections::BTreeMap;
use std::fmt;

use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::rules::RulesDocument;

use crate::plan::PlannerVm;

/// Violation of a placement invariant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A VM is a member of two groups, or twice of one.
    VmInTwoGroups {
        /// VM that is listed twice.
        vm: VmId,
        /// Group that lists it first, in the order of documents and groups.
        first: GroupId,
        /// Group that lists it again; may be the same group.
        second: GroupId,
    },
    /// A member is in another fabric domain than its group.
    ForeignMember {
        /// VM that the inventory has in another fabric domain.
        vm: VmId,
        /// Group that lists the VM as a member.
        group: GroupId,
        /// Fabric domain of the document that contains the group.
        fabric_domain: FabricDomainId,
    },
    /// Two groups of a document have the same generation.
    SharedGeneration {
        /// Fabric domain of the document.
        fabric_domain: FabricDomainId,
        /// Generation that is used twice.
        generation: Generation,
    },
    /// A group has a higher generation than its document has issued.
    UnissuedGeneration {
        /// Group with that generation.
        group: GroupId,
        /// Generation above the document's `last_generation`.
        generation: Generation,
    },
    /// A group has another size than its model's rule requires.
    WrongSize {
        /// Group with the wrong size.
        group: GroupId,
        /// Generation of the group, which distinguishes its versions.
        generation: Generation,
        /// Number of members in the document.
        members: usize,
        /// Number of members that the rule requires.
        required: usize,
    },
    /// Two groups, in one document or in two, have the same id.
    SharedGroupId(GroupId),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::VmInTwoGroups { vm, first, second } => {
                write!(f, "VM {vm} is in group {first} and in group {second}")
            }
            Violation::ForeignMember {
                vm,
                group,
                fabric_domain,
            } => write!(
                f,
                "VM {vm} of group {group} is not in fabric domain {fabric_domain}"
            ),
            Violation::SharedGeneration {
                fabric_domain,
                generation,
            } => write!(
                f,
                "generation {generation} is used twice in fabric domain {fabric_domain}"
            ),
            Violation::UnissuedGeneration { group, generation } => write!(
                f,
                "generation {generation} of group {group} is above the document's last generation"
            ),
            Violation::WrongSize {
                group,
                members,
                required,
                ..
            } => write!(
                f,
                "group {group} has {members} members, but its model's rule requires {required}"
            ),
            Violation::SharedGroupId(group) => write!(f, "two groups have the id {group}"),
        }
    }
}

/// Checks the invariants across all `documents`.
///
/// Stored documents may legitimately violate some invariants for a while: after a change of the
/// rules a group keeps its old size until it is replaced, and a VM that moved stays in its old
/// document until it is released there. A writer therefore compares the violations before and after
/// its write, and withholds a write that adds one.
pub fn check_documents(
    documents: &BTreeMap<FabricDomainId, PlacementDocument>,
    vms: &[PlannerVm],
    rules: &RulesDocument,
) -> Vec<Violation> {
    let domains: BTreeMap<&VmId, &FabricDomainId> =
        vms.iter().map(|vm| (&vm.vm, &vm.fabric_domain)).collect();
    let mut owners: BTreeMap<&VmId, &GroupId> = BTreeMap::new();
    let mut ids: BTreeMap<&GroupId, ()> = BTreeMap::new();
    let mut violations = Vec::new();
    for document in documents.values() {
        check_generations(document, &mut violations);
        for group in &document.groups {
            if ids.insert(&group.id, ()).is_some() {
                violations.push(Violation::SharedGroupId(group.id.clone()));
            }
            check_size(group, rules, &mut violations);
            for vm in &group.members {
                if let Some(first) = owners.insert(vm, &group.id) {
                    violations.push(Violation::VmInTwoGroups {
                        vm: vm.clone(),
                        first: first.clone(),
                        second: group.id.clone(),
                    });
                }
                let foreign = domains
                    .get(vm)
                    .is_some_and(|domain| **domain != document.fabric_domain);
                if foreign {
                    violations.push(Violation::ForeignMember {
                        vm: vm.clone(),
                        group: group.id.clone(),
                        fabric_domain: document.fabric_domain.clone(),
                    });
                }
            }
        }
    }
    violations.sort();
    violations
}

fn check_generations(document: &PlacementDocument, violations: &mut Vec<Violation>) {
    let mut generations = BTreeMap::new();
    for group in &document.groups {
        if generations.insert(group.generation, ()).is_some() {
            violations.push(Violation::SharedGeneration {
                fabric_domain: document.fabric_domain.clone(),
                generation: group.generation,
            });
        }
        if group.generation > document.last_generation {
            violations.push(Violation::UnissuedGeneration {
                group: group.id.clone(),
                generation: group.generation,
            });
        }
    }
}

fn check_size(group: &GroupRecord, rules: &RulesDocument, violations: &mut Vec<Violation>) {
    let Some(rule) = rules.model(&group.model) else {
        return;
    };
    let required = rule.vms_per_group as usize;
    if group.members.len() != required {
        violations.push(Violation::WrongSize {
            group: group.id.clone(),
            generation: group.generation,
            members: group.members.len(),
            required,
        });
    }
}
