//! Report of the demand that the plan cannot meet, with a reason and a remedy for each item.

use compact_str::CompactString;
use compact_str::format_compact;

use crate::draft::DraftGroup;
use crate::draft::GroupAction;
use crate::draft::PlanDraft;
use crate::plan::BlockedItem;

/// Appends an item for every rule, model, account and VM whose demand the plan does not meet.
pub(crate) fn list_blocked(draft: &PlanDraft<'_>, blocked: &mut Vec<BlockedItem>) {
    list_rules(draft, blocked);
    for model in 0..draft.demand.models.len() {
        list_model(draft, model, blocked);
    }
    list_accounts(draft, blocked);
    list_incomplete(draft, blocked);
    list_unusable(draft, blocked);
    blocked.sort();
    blocked.dedup();
}

fn list_rules(draft: &PlanDraft<'_>, blocked: &mut Vec<BlockedItem>) {
    for rule in draft
        .input
        .rules
        .models
        .iter()
        .filter(|rule| rule.vms_per_group == 0)
    {
        blocked.push(BlockedItem {
            subject: format_compact!("rule of model {}", rule.name),
            reason: "vms_per_group is 0".into(),
            remedy: "set vms_per_group to at least 1".into(),
        });
    }
}

/// Whether lost members of the group are to be replaced once it has drained.
fn awaits_drain(group: &DraftGroup<'_>, model: usize) -> bool {
    group.model == Some(model) && group.action == GroupAction::RebuildAfterDrain && group.lost() > 0
}

fn list_model(draft: &PlanDraft<'_>, model: usize, blocked: &mut Vec<BlockedItem>) {
    let demand = &draft.demand.models[model];
    let name = &demand.rule.name;
    let deferred = draft.pending[model]
        + draft
            .groups
            .iter()
            .filter(|group| awaits_drain(group, model))
            .count();
    if deferred > 0 {
        blocked.push(BlockedItem {
            subject: format_compact!("model {name}"),
            reason: format_compact!(
                "{deferred} groups are pending until requests on the VMs they need have completed"
            ),
            remedy: "none needed; the drain timeout limits the delay".into(),
        });
    }
    let group_count = draft.current[model] + draft.outdated[model] + draft.pending[model];
    if group_count >= demand.wanted {
        return;
    }
    let missing = demand.wanted - group_count;
    let largest = (0..draft.domains.len())
        .map(|domain| (draft.free_count(domain, model), std::cmp::Reverse(domain)))
        .max();
    let host_count = draft
        .hostable
        .iter()
        .filter(|models| models.contains(&model))
        .count();
    let (reason, remedy) = match largest {
        _ if host_count == 0 => (
            CompactString::from("no VM in the inventory may host it"),
            format_compact!(
                "add {name} to can_host of at least {} VMs of one fabric domain",
                demand.size
            ),
        ),
        Some((free, domain)) if free > 0 => {
            let id = draft.domains[domain.0].id;
            (
                format_compact!(
                    "a group needs {} VMs in one fabric domain; the most that are free is {free} in {id}",
                    demand.size
                ),
                format_compact!(
                    "add {} VMs that may host {name} to fabric domain {id}, or lower groups of its rule to {group_count}",
                    demand.size.saturating_sub(free)
                ),
            )
        }
        _ => (
            format_compact!(
                "a group needs {} VMs in one fabric domain; none is free",
                demand.size
            ),
            format_compact!(
                "add {} VMs that may host {name} to one fabric domain, or lower groups of its rule to {group_count}",
                demand.size
            ),
        ),
    };
    blocked.push(BlockedItem {
        subject: format_compact!("model {name}"),
        reason: format_compact!(
            "{missing} of {} groups are missing: {reason}",
            demand.wanted
        ),
        remedy,
    });
}

fn list_accounts(draft: &PlanDraft<'_>, blocked: &mut Vec<BlockedItem>) {
    for account in &draft.input.rules.accounts {
        let reserved = u64::from(account.reserved_slots.0);
        let capacity = |groups: &dyn Fn(usize) -> usize| -> u64 {
            let models = draft.demand.models.iter().enumerate();
            let admitted = models.filter(|(_, model)| model.rule.allows_account(&account.name));
            admitted
                .map(|(index, model)| {
                    u64::from(model.rule.slots_per_group.0) * groups(index) as u64
                })
                .sum()
        };
        let present = capacity(&|model| draft.current[model] + draft.outdated[model]);
        let wanted = capacity(&|model| draft.demand.models[model].wanted);
        if present >= reserved {
            continue;
        }
        let remedy = if wanted < reserved {
            format_compact!(
                "raise groups of the models of account {}: their rules provide at most {wanted} slots",
                account.name
            )
        } else {
            "add the VMs that its models lack; see the items of these models".into()
        };
        blocked.push(BlockedItem {
            subject: format_compact!("account {}", account.name),
            reason: format_compact!(
                "it reserves {reserved} slots, but the groups of its models provide {present}"
            ),
            remedy,
        });
    }
}

fn list_incomplete(draft: &PlanDraft<'_>, blocked: &mut Vec<BlockedItem>) {
    for group in 0..draft.groups.len() {
        let entry = &draft.groups[group];
        let (GroupAction::Incomplete, Some(stored)) = (&entry.action, entry.stored) else {
            continue;
        };
        let lost = stored
            .members
            .iter()
            .zip(&entry.members)
            .find(|(_, member)| member.loss.is_some());
        let Some((vm, _)) = lost else {
            continue;
        };
        let domain = draft.domains[entry.domain].id;
        blocked.push(BlockedItem {
            subject: format_compact!("VM {vm}"),
            reason: format_compact!(
                "group {} of model {} lacks {} of {} members and fabric domain {domain} has no replacement: {}",
                stored.id,
                stored.model,
                entry.lost(),
                entry.members.len(),
                draft.describe_losses(group)
            ),
            remedy: format_compact!(
                "restore the VMs, or add {} VMs that may host {} to fabric domain {domain}",
                entry.lost(),
                stored.model
            ),
        });
    }
}

/// Reports VMs that may host no model in the rules. One item covers all of them, because a mistake
/// in the rules usually affects many.
fn list_unusable(draft: &PlanDraft<'_>, blocked: &mut Vec<BlockedItem>) {
    if draft.demand.models.is_empty() {
        return;
    }
    let mut unusable = (0..draft.vms.len()).filter(|vm| draft.hostable[*vm].is_empty());
    let Some(first) = unusable.next() else {
        return;
    };
    let more = unusable.count();
    blocked.push(BlockedItem {
        subject: format_compact!("VM {}", draft.vms[first].vm),
        reason: format_compact!("it and {more} other VMs may host none of the models in the rules"),
        remedy: "add a model of the rules to their can_host, or remove them from the inventory"
            .into(),
    });
}
