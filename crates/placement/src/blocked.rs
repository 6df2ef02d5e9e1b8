//! What cannot be done, why, and what would make it possible.

use compact_str::CompactString;
use compact_str::format_compact;

use crate::plan::BlockedItem;
use crate::work::GroupFate;
use crate::work::PlannerWork;
use crate::work::WorkGroup;

/// Lists everything that the plan leaves undone.
pub(crate) fn list_blocked(work: &PlannerWork<'_>, blocked: &mut Vec<BlockedItem>) {
    list_rules(work, blocked);
    for model in 0..work.demand.models.len() {
        list_model(work, model, blocked);
    }
    list_accounts(work, blocked);
    list_broken(work, blocked);
    list_unusable(work, blocked);
    blocked.sort();
    blocked.dedup();
}

fn list_rules(work: &PlannerWork<'_>, blocked: &mut Vec<BlockedItem>) {
    for rule in work
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

/// Whether a group has lost members whose replacements wait for its drain.
fn waits(group: &WorkGroup<'_>, model: usize) -> bool {
    group.model == Some(model) && group.fate == GroupFate::Drain && group.lost() > 0
}

fn list_model(work: &PlannerWork<'_>, model: usize, blocked: &mut Vec<BlockedItem>) {
    let demand = &work.demand.models[model];
    let name = &demand.rule.name;
    let waiting = work.promised[model]
        + work
            .groups
            .iter()
            .filter(|group| waits(group, model))
            .count();
    if waiting > 0 {
        blocked.push(BlockedItem {
            subject: format_compact!("model {name}"),
            reason: format_compact!(
                "{waiting} groups wait until requests on the VMs they need have ended"
            ),
            remedy: "none needed; the drain timeout bounds the wait".into(),
        });
    }
    let up = work.good[model] + work.old[model] + work.promised[model];
    if up >= demand.wanted {
        return;
    }
    let missing = demand.wanted - up;
    let largest = (0..work.domains.len())
        .map(|domain| (work.free_count(domain, model), std::cmp::Reverse(domain)))
        .max();
    let hosts = work
        .hosts
        .iter()
        .filter(|models| models.contains(&model))
        .count();
    let (reason, remedy) = match largest {
        _ if hosts == 0 => (
            CompactString::from("no VM of the inventory may host it"),
            format_compact!(
                "add {name} to can_host of at least {} VMs of one fabric domain",
                demand.size
            ),
        ),
        Some((free, domain)) if free > 0 => {
            let id = work.domains[domain.0].id;
            (
                format_compact!(
                    "a group needs {} VMs of one fabric domain; the most free ones are {free} in {id}",
                    demand.size
                ),
                format_compact!(
                    "add {} VMs that may host {name} to fabric domain {id}, or lower groups of its rule to {up}",
                    demand.size.saturating_sub(free)
                ),
            )
        }
        _ => (
            format_compact!(
                "a group needs {} VMs of one fabric domain; none is free",
                demand.size
            ),
            format_compact!(
                "add {} VMs that may host {name} to one fabric domain, or lower groups of its rule to {up}",
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

fn list_accounts(work: &PlannerWork<'_>, blocked: &mut Vec<BlockedItem>) {
    for account in &work.input.rules.accounts {
        let reserved = u64::from(account.reserved_slots.0);
        let capacity = |groups: &dyn Fn(usize) -> usize| -> u64 {
            let models = work.demand.models.iter().enumerate();
            let admitted = models.filter(|(_, model)| model.rule.allows_account(&account.name));
            admitted
                .map(|(index, model)| {
                    u64::from(model.rule.slots_per_group.0) * groups(index) as u64
                })
                .sum()
        };
        let present = capacity(&|model| work.good[model] + work.old[model]);
        let wanted = capacity(&|model| work.demand.models[model].wanted);
        if present >= reserved {
            continue;
        }
        let remedy = if wanted < reserved {
            format_compact!(
                "raise groups of the models of account {}: their rules give {wanted} slots at most",
                account.name
            )
        } else {
            "supply the VMs that its models lack, see the items of the models".into()
        };
        blocked.push(BlockedItem {
            subject: format_compact!("account {}", account.name),
            reason: format_compact!(
                "it reserves {reserved} slots, the groups of its models have {present}"
            ),
            remedy,
        });
    }
}

fn list_broken(work: &PlannerWork<'_>, blocked: &mut Vec<BlockedItem>) {
    for group in 0..work.groups.len() {
        let entry = &work.groups[group];
        let (GroupFate::Broken, Some(stored)) = (&entry.fate, entry.stored) else {
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
        let domain = work.domains[entry.domain].id;
        blocked.push(BlockedItem {
            subject: format_compact!("VM {vm}"),
            reason: format_compact!(
                "group {} of model {} lacks {} of {} members and fabric domain {domain} has no replacement: {}",
                stored.id,
                stored.model,
                entry.lost(),
                entry.members.len(),
                work.losses(group)
            ),
            remedy: format_compact!(
                "bring the VMs back, or add {} VMs that may host {} to fabric domain {domain}",
                entry.lost(),
                stored.model
            ),
        });
    }
}

/// VMs that no model can use. One item covers all of them, because a wrong rule affects many.
fn list_unusable(work: &PlannerWork<'_>, blocked: &mut Vec<BlockedItem>) {
    if work.demand.models.is_empty() {
        return;
    }
    let mut unusable = (0..work.vms.len()).filter(|vm| work.hosts[*vm].is_empty());
    let Some(first) = unusable.next() else {
        return;
    };
    let more = unusable.count();
    blocked.push(BlockedItem {
        subject: format_compact!("VM {}", work.vms[first].vm),
        reason: format_compact!(
            "it and {more} other VMs may host none of the models that the rules name"
        ),
        remedy: "add a model of the rules to their can_host, or remove them from the inventory"
            .into(),
    });
}
