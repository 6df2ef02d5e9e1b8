//! Number of stranded accelerators under a plan, and a lower bound for it.

use std::collections::BTreeMap;

use jaysaddle_types::view::VmState;

use crate::draft::GroupAction;
use crate::draft::PlanDraft;

/// Counts the accelerators of live VMs that are in no complete group of the size in the rules
/// under the plan.
///
/// A group that is to be dissolved does not count as complete.
pub(crate) fn stranded(draft: &PlanDraft<'_>) -> u32 {
    let mut placed = vec![false; draft.vms.len()];
    for group in 0..draft.groups.len() {
        for vm in complete_members(draft, group) {
            placed[vm] = true;
        }
    }
    let idle = draft
        .vms
        .iter()
        .zip(&placed)
        .filter(|(vm, placed)| vm.state == VmState::Live && !**placed);
    idle.map(|(vm, _)| vm.accelerators).sum()
}

/// Members of the group, or none if it is not complete or not of the size in the rules.
fn complete_members(draft: &PlanDraft<'_>, group: usize) -> Vec<usize> {
    let entry = &draft.groups[group];
    let size = entry.model.map(|model| draft.demand.models[model].size);
    let members: Vec<usize> = match &entry.action {
        GroupAction::Assign(members) => members.clone(),
        GroupAction::Keep | GroupAction::RebuildAfterDrain => entry.remaining().collect(),
        GroupAction::Incomplete | GroupAction::Retire | GroupAction::Dissolve => return Vec::new(),
    };
    if size == Some(members.len()) {
        members
    } else {
        Vec::new()
    }
}

/// Lower bound for the number of stranded accelerators that the inventory and the rules allow.
///
/// For each fabric domain, computes the maximum number of VMs that complete groups can cover, with
/// at most the wanted number of groups of each model and at most as many as the VMs that may host
/// the model allow. The covered VMs are assumed to be those with the most accelerators. The bound
/// is the sum over all domains, or the number that the wanted groups of the entire fleet leave
/// uncovered, whichever is larger.
///
/// The bound is exact when every VM may host every model, all VMs have the same number of
/// accelerators, and either the wanted groups do not limit the fleet or all groups have one size.
/// Otherwise it may be too low, but never too high: a VM that two models compete for is counted for
/// both, one wanted group may be counted in several domains, and a straggler counts as a possible
/// member although it is not placed in new groups.
pub(crate) fn stranded_bound(draft: &PlanDraft<'_>) -> u32 {
    let limits = group_limits(draft);
    let mut by_domain: Vec<Vec<usize>> = vec![Vec::new(); draft.domains.len()];
    for vm in 0..draft.vms.len() {
        if may_be_covered(draft, vm) {
            by_domain[draft.vm_domain[vm]].push(vm);
        }
    }
    let domains: u32 = by_domain
        .iter()
        .map(|vms| uncovered(draft, vms, most_covered(draft, vms, &limits)))
        .sum();
    let everything: Vec<usize> = by_domain.concat();
    let wanted = limits
        .iter()
        .zip(&draft.demand.models)
        .map(|(limit, model)| limit * model.size);
    domains.max(uncovered(draft, &everything, wanted.sum()))
}

/// Maximum number of groups per model: the wanted number, or the number of complete groups if a
/// rollout temporarily keeps more.
fn group_limits(draft: &PlanDraft<'_>) -> Vec<usize> {
    let mut kept = vec![0; draft.demand.models.len()];
    for group in 0..draft.groups.len() {
        if let (Some(model), false) = (
            draft.groups[group].model,
            complete_members(draft, group).is_empty(),
        ) {
            kept[model] += 1;
        }
    }
    let wanted = draft.demand.models.iter().map(|model| model.wanted);
    wanted
        .zip(kept)
        .map(|(wanted, kept)| wanted.max(kept))
        .collect()
}

/// Whether the VM can be a member of a complete group, including VMs that are not placed
/// in new groups.
fn may_be_covered(draft: &PlanDraft<'_>, vm: usize) -> bool {
    match draft.vms[vm].state {
        VmState::Live | VmState::Unknown | VmState::Straggler => true,
        VmState::Suspect => !draft.input.expired_suspects.contains(&draft.vms[vm].vm),
        VmState::Dead | VmState::Leaving | VmState::Returning => false,
    }
}

/// Maximum number of VMs in a domain that complete groups can cover.
fn most_covered(draft: &PlanDraft<'_>, vms: &[usize], limits: &[usize]) -> usize {
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for (model, limit) in limits.iter().enumerate() {
        let size = draft.demand.models[model].size;
        let hosts = vms
            .iter()
            .filter(|vm| draft.hostable[**vm].contains(&model))
            .count();
        *counts.entry(size).or_default() += (*limit).min(hosts / size);
    }
    // used[n] is the minimum number of groups of the current size with which exactly n
    // VMs are covered.
    let mut reachable = vec![false; vms.len() + 1];
    reachable[0] = true;
    for (size, count) in counts {
        let mut used = vec![usize::MAX; vms.len() + 1];
        for covered in 0..=vms.len() {
            if reachable[covered] {
                used[covered] = 0;
            } else if covered >= size && used[covered - size] < count {
                used[covered] = used[covered - size] + 1;
                reachable[covered] = true;
            }
        }
    }
    reachable
        .iter()
        .rposition(|reachable| *reachable)
        .unwrap_or(0)
}

/// Accelerators of live VMs among `vms` that remain when the `count` VMs with the most
/// accelerators are covered.
fn uncovered(draft: &PlanDraft<'_>, vms: &[usize], count: usize) -> u32 {
    let mut accelerators: Vec<u32> = vms.iter().map(|vm| draft.vms[*vm].accelerators).collect();
    accelerators.sort_unstable_by(|a, b| b.cmp(a));
    let covered: u32 = accelerators.iter().take(count).sum();
    let healthy = vms
        .iter()
        .filter(|vm| draft.vms[**vm].state == VmState::Live);
    let healthy: u32 = healthy.map(|vm| draft.vms[*vm].accelerators).sum();
    healthy.saturating_sub(covered)
}
