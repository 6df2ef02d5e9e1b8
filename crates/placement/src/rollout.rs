//! Changes without a loss: surplus groups, version rollouts, stragglers and leftovers.

use compact_str::format_compact;
use jaysaddle_types::view::VmState;

use crate::plan::BlockedItem;
use crate::work::GroupFate;
use crate::work::MemberLoss;
use crate::work::PlannerWork;

/// Groups of a model that stay, by whether they are current; those to give up first come first.
///
/// The order uses stored facts before observed ones, so that nodes with slightly different
/// observations choose alike.
fn kept_groups(work: &PlannerWork<'_>, model: usize, current: bool) -> Vec<usize> {
    let mut groups: Vec<usize> = (0..work.groups.len())
        .filter(|group| {
            let group = &work.groups[*group];
            group.stored.is_some()
                && group.model == Some(model)
                && group.current == current
                && group.fate == GroupFate::Keep
        })
        .collect();
    let mut crowd = std::collections::BTreeMap::new();
    for group in &groups {
        let failure_domain = work.domains[work.groups[*group].domain].failure_domain;
        *crowd.entry(failure_domain).or_insert(0usize) += 1;
    }
    groups.sort_by_key(|group| {
        let entry = &work.groups[*group];
        let crowded = crowd[&work.domains[entry.domain].failure_domain];
        let id = entry.stored.map(|record| &record.id);
        (
            !entry.draining(),
            !entry
                .kept()
                .any(|vm| work.vms[vm].state == VmState::Straggler),
            std::cmp::Reverse(crowded),
            work.ready(*group),
            std::cmp::Reverse(id),
        )
    });
    groups
}

/// Gives up groups beyond the wanted number and groups of models without a rule.
pub(crate) fn retire_surplus(work: &mut PlannerWork<'_>) {
    for group in 0..work.groups.len() {
        if work.groups[group].model.is_none() {
            work.retire(group, "no rule names its model".into());
        }
    }
    for model in 0..work.demand.models.len() {
        let name = work.demand.models[model].rule.name.clone();
        let wanted = work.demand.models[model].wanted;
        let surplus = work.good[model].saturating_sub(wanted);
        for group in kept_groups(work, model, true).into_iter().take(surplus) {
            let reason = format_compact!("model {name} wants {wanted} groups and has more");
            work.retire(group, reason);
        }
        // An outdated group goes only when a group of the version in force serves instead.
        // A group in force that drains counts too, so that an old group which drains for its sake
        // does not return while the decision stands.
        let ready = kept_groups(work, model, true)
            .into_iter()
            .filter(|group| work.ready(*group) || work.groups[*group].draining())
            .count();
        let allowed = wanted.saturating_sub(ready);
        let surplus = work.old[model].saturating_sub(allowed);
        for group in kept_groups(work, model, false).into_iter().take(surplus) {
            let reason =
                format_compact!("a group of the version in force of model {name} serves instead");
            work.retire(group, reason);
        }
    }
}

/// Replaces outdated groups where no spare VMs allow a new group first: one at a time per model,
/// and only while all groups of the version in force serve. Returns whether VMs came free.
pub(crate) fn replace_in_place(work: &mut PlannerWork<'_>, blocked: &mut Vec<BlockedItem>) -> bool {
    let mut freed = false;
    for model in 0..work.demand.models.len() {
        let wanted = work.demand.models[model].wanted;
        if work.old[model] == 0 || work.good[model] >= wanted {
            continue;
        }
        let current = kept_groups(work, model, true);
        let retiring = work
            .groups
            .iter()
            .any(|group| group.model == Some(model) && group.fate == GroupFate::Retire);
        let settled = !retiring
            && work.good[model] == current.len()
            && current.iter().all(|group| work.ready(*group));
        if !settled {
            continue;
        }
        let Some(group) = kept_groups(work, model, false).into_iter().next() else {
            continue;
        };
        note_reserve(work, model, blocked);
        let rule = work.demand.models[model].rule;
        let same_size = work.groups[group].members.len() == rule.vms_per_group as usize;
        let reason = format_compact!(
            "rollout of version {} of model {}: no spare VMs for a new group first",
            rule.version,
            rule.name
        );
        if same_size {
            work.groups[group].reason = reason;
            let (spares, slow) = work.replace_slow(group, model);
            work.rebuild(group, model, spares, &slow);
        } else {
            work.retire(group, reason);
            freed |= work.groups[group].fate == GroupFate::Dissolve;
        }
    }
    freed
}

fn note_reserve(work: &PlannerWork<'_>, model: usize, blocked: &mut Vec<BlockedItem>) {
    let demand = &work.demand.models[model];
    let up = work.good[model] + work.old[model];
    let falls_below = demand.below_floor(up) == 0 && demand.below_floor(up - 1) > 0;
    if falls_below {
        blocked.push(BlockedItem {
            subject: format_compact!("model {}", demand.rule.name),
            reason: format_compact!(
                "the rollout of version {} takes reserved capacity away for the time of one load, \
                 because no fabric domain has {} spare VMs",
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

/// Replaces stragglers where spares exist, one group at a time per model and not while other
/// groups of the model are to go, because that choice counts on the ones that stay.
pub(crate) fn replace_stragglers(work: &mut PlannerWork<'_>) {
    for model in 0..work.demand.models.len() {
        let mut groups = kept_groups(work, model, true);
        let unsettled: Vec<usize> = groups
            .iter()
            .copied()
            .filter(|group| !work.ready(*group))
            .collect();
        let unsettled_model = work.groups.iter().any(|group| {
            group.model == Some(model) && (!group.current || group.fate == GroupFate::Retire)
        });
        if unsettled_model || work.good[model] != groups.len() {
            continue;
        }
        groups.retain(|group| {
            let others = unsettled.iter().any(|other| other != group);
            !others
        });
        for group in groups {
            let (spares, slow) = work.replace_slow(group, model);
            if !slow.is_empty() {
                let names: Vec<&str> = slow.iter().map(|vm| work.vms[*vm].vm.as_str()).collect();
                let names = names.join(" ");
                work.groups[group].reason = format_compact!("replaces stragglers: {names}");
                work.rebuild(group, model, spares, &slow);
                break;
            }
        }
    }
}

/// Dissolves broken groups that nobody needs any more and those that must give up a VM. Returns
/// whether VMs came free.
pub(crate) fn retire_leftovers(work: &mut PlannerWork<'_>) -> bool {
    let mut freed = false;
    for group in 0..work.groups.len() {
        let entry = &work.groups[group];
        if entry.fate != GroupFate::Broken {
            continue;
        }
        let superseded = entry.model.is_some_and(|model| {
            work.good[model] + work.old[model] >= work.demand.models[model].wanted
        });
        let moved = entry.has_loss(MemberLoss::Moved);
        let gone = entry.members.iter().all(|member| member.vm.is_none());
        if superseded || moved || gone {
            let losses = work.losses(group);
            let why = if superseded {
                "enough other groups serve"
            } else {
                "it cannot keep its VMs"
            };
            work.retire(group, format_compact!("lost {losses}; {why}"));
            freed |= work.groups[group].fate == GroupFate::Dissolve;
        }
    }
    freed
}
