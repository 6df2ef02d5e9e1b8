//! Changes not caused by lost members: surplus groups, version rollouts and stragglers. Also
//! retires incomplete groups that cannot be repaired.

use compact_str::format_compact;
use jaysaddle_types::view::VmState;

use crate::draft::GroupAction;
use crate::draft::MemberLoss;
use crate::draft::PlanDraft;
use crate::plan::BlockedItem;

/// Stored groups of a model that the plan keeps, either the current or the outdated ones, in the
/// order in which they are retired.
///
/// Stored properties take precedence over observed ones in the order, so that nodes with slightly
/// different observations make the same choice.
fn kept_groups(draft: &PlanDraft<'_>, model: usize, current: bool) -> Vec<usize> {
    let mut groups: Vec<usize> = (0..draft.groups.len())
        .filter(|group| {
            let group = &draft.groups[*group];
            group.stored.is_some()
                && group.model == Some(model)
                && group.current == current
                && group.action == GroupAction::Keep
        })
        .collect();
    let mut domain_counts = std::collections::BTreeMap::new();
    for group in &groups {
        let failure_domain = draft.domains[draft.groups[*group].domain].failure_domain;
        *domain_counts.entry(failure_domain).or_insert(0usize) += 1;
    }
    groups.sort_by_key(|group| {
        let entry = &draft.groups[*group];
        let count = domain_counts[&draft.domains[entry.domain].failure_domain];
        let id = entry.stored.map(|record| &record.id);
        (
            !entry.draining(),
            !entry
                .remaining()
                .any(|vm| draft.vms[vm].state == VmState::Straggler),
            std::cmp::Reverse(count),
            draft.ready(*group),
            std::cmp::Reverse(id),
        )
    });
    groups
}

/// Retires groups beyond the wanted number and groups of models without a rule.
pub(crate) fn retire_surplus(draft: &mut PlanDraft<'_>) {
    for group in 0..draft.groups.len() {
        if draft.groups[group].model.is_none() {
            draft.retire(group, "its model has no rule".into());
        }
    }
    for model in 0..draft.demand.models.len() {
        let name = draft.demand.models[model].rule.name.clone();
        let wanted = draft.demand.models[model].wanted;
        let surplus = draft.current[model].saturating_sub(wanted);
        for group in kept_groups(draft, model, true).into_iter().take(surplus) {
            let reason = format_compact!("model {name} has more than the wanted {wanted} groups");
            draft.retire(group, reason);
        }
        // An outdated group is retired only when a group of the current version serves in its
        // place. A current group that drains counts too: otherwise the drain of the outdated group
        // that it replaced would be cancelled.
        let ready = kept_groups(draft, model, true)
            .into_iter()
            .filter(|group| draft.ready(*group) || draft.groups[*group].draining())
            .count();
        let allowed = wanted.saturating_sub(ready);
        let surplus = draft.outdated[model].saturating_sub(allowed);
        for group in kept_groups(draft, model, false).into_iter().take(surplus) {
            let reason =
                format_compact!("replaced by a group with the current version of model {name}");
            draft.retire(group, reason);
        }
    }
}

/// Replaces outdated groups where too few free VMs exist to form the new group first: one at a time
/// per model, and only while all current groups serve. Returns whether VMs became free.
pub(crate) fn replace_in_place(draft: &mut PlanDraft<'_>, blocked: &mut Vec<BlockedItem>) -> bool {
    let mut freed = false;
    for model in 0..draft.demand.models.len() {
        let wanted = draft.demand.models[model].wanted;
        if draft.outdated[model] == 0 || draft.current[model] >= wanted {
            continue;
        }
        let current = kept_groups(draft, model, true);
        let retiring = draft
            .groups
            .iter()
            .any(|group| group.model == Some(model) && group.action == GroupAction::Retire);
        let stable = !retiring
            && draft.current[model] == current.len()
            && current.iter().all(|group| draft.ready(*group));
        if !stable {
            continue;
        }
        let Some(group) = kept_groups(draft, model, false).into_iter().next() else {
            continue;
        };
        report_reserve_shortfall(draft, model, blocked);
        let rule = draft.demand.models[model].rule;
        let same_size = draft.groups[group].members.len() == rule.vms_per_group as usize;
        let reason = format_compact!(
            "rollout of version {} of model {}: replaced in place for lack of free VMs",
            rule.version,
            rule.name
        );
        if same_size {
            draft.groups[group].reason = reason;
            let (replacements, stragglers) = draft.take_straggler_replacements(group, model);
            draft.rebuild(group, model, replacements, &stragglers);
        } else {
            draft.retire(group, reason);
            freed |= draft.groups[group].action == GroupAction::Dissolve;
        }
    }
    freed
}

fn report_reserve_shortfall(draft: &PlanDraft<'_>, model: usize, blocked: &mut Vec<BlockedItem>) {
    let demand = &draft.demand.models[model];
    let group_count = draft.current[model] + draft.outdated[model];
    let uncovers_reserve =
        demand.reserve_shortfall(group_count) == 0 && demand.reserve_shortfall(group_count - 1) > 0;
    if uncovers_reserve {
        blocked.push(BlockedItem {
            subject: format_compact!("model {}", demand.rule.name),
            reason: format_compact!(
                "the rollout of version {} lowers capacity below the reserve for the time of one load, \
                 because no fabric domain has {} free VMs",
                demand.rule.version,
                demand.size
            ),
            remedy: format_compact!(
                "add {} VMs that may host the model to one fabric domain",
                demand.size
            ),
        });
    }
}

/// Replaces stragglers where free VMs exist, one group at a time per model. Nothing is replaced
/// while other groups of the model are being retired, because that relies on the remaining
/// groups to serve.
pub(crate) fn replace_stragglers(draft: &mut PlanDraft<'_>) {
    for model in 0..draft.demand.models.len() {
        let mut groups = kept_groups(draft, model, true);
        let not_ready: Vec<usize> = groups
            .iter()
            .copied()
            .filter(|group| !draft.ready(*group))
            .collect();
        let changing = draft.groups.iter().any(|group| {
            group.model == Some(model) && (!group.current || group.action == GroupAction::Retire)
        });
        if changing || draft.current[model] != groups.len() {
            continue;
        }
        groups.retain(|group| {
            let others = not_ready.iter().any(|other| other != group);
            !others
        });
        for group in groups {
            let (replacements, stragglers) = draft.take_straggler_replacements(group, model);
            if !stragglers.is_empty() {
                let names: Vec<&str> = stragglers
                    .iter()
                    .map(|vm| draft.vms[*vm].vm.as_str())
                    .collect();
                let names = names.join(" ");
                draft.groups[group].reason = format_compact!("replaces stragglers: {names}");
                draft.rebuild(group, model, replacements, &stragglers);
                break;
            }
        }
    }
}

/// Retires incomplete groups that the demand no longer requires, that must release a VM, or whose
/// VMs have all left the inventory. Returns whether VMs became free.
pub(crate) fn retire_incomplete(draft: &mut PlanDraft<'_>) -> bool {
    let mut freed = false;
    for group in 0..draft.groups.len() {
        let entry = &draft.groups[group];
        if entry.action != GroupAction::Incomplete {
            continue;
        }
        let superseded = entry.model.is_some_and(|model| {
            draft.current[model] + draft.outdated[model] >= draft.demand.models[model].wanted
        });
        let moved = entry.has_loss(MemberLoss::Moved);
        let all_removed = entry.members.iter().all(|member| member.vm.is_none());
        if superseded || moved || all_removed {
            let losses = draft.describe_losses(group);
            let cause = if superseded {
                "the model has enough other groups"
            } else {
                "it must release its VMs"
            };
            draft.retire(group, format_compact!("lost {losses}; {cause}"));
            freed |= draft.groups[group].action == GroupAction::Dissolve;
        }
    }
    freed
}
