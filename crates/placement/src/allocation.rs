//! Allocation of VMs to groups: repairs groups and forms new ones until no model can
//! get another group.

use compact_str::format_compact;

use crate::draft::GroupAction;
use crate::draft::MemberLoss;
use crate::draft::PlanDraft;

/// Minimum gain, as a fraction of the sum of the weights, for which serving groups are preempted. A
/// preemption makes two groups reload, which outweighs a smaller gain.
const PREEMPT_MARGIN: f64 = 0.25;

/// Allocates groups to the models that have too few, the most urgent model first.
///
/// Each step takes the first possible option of: completing an incomplete group with free VMs of
/// its fabric domain; forming a new group of free VMs; dissolving incomplete groups to obtain one
/// complete group; preempting serving groups whose loss costs less.
pub(crate) fn allocate_groups(draft: &mut PlanDraft<'_>) {
    resume_pending_groups(draft);
    let mut tried = vec![false; draft.demand.models.len()];
    while let Some(model) = most_urgent(draft, &tried, true) {
        tried[model] = !cancel_drain(draft, model);
    }
    dissolve_drained(draft);
    allocate_unused_vms(draft);
    let mut tried = vec![false; draft.demand.models.len()];
    while let Some(model) = most_urgent(draft, &tried, true) {
        if preempt_serving(draft, model, false) {
            allocate_unused_vms(draft);
        } else {
            tried[model] = true;
        }
    }
    start_rollouts(draft);
}

/// Continues the preemptions that earlier plans have started: while groups drain to release their
/// VMs, the free VMs that complete the new group stay reserved for it.
fn resume_pending_groups(draft: &mut PlanDraft<'_>) {
    let mut tried = vec![false; draft.demand.models.len()];
    while let Some(model) = most_urgent(draft, &tried, true) {
        // A model that can get a group now does not wait for a drain.
        let is_deferred = !can_form_now(draft, model) && preempt_serving(draft, model, true);
        tried[model] = !is_deferred;
    }
}

/// Whether free VMs and incomplete groups suffice to complete or form a group of the model.
fn can_form_now(draft: &PlanDraft<'_>, model: usize) -> bool {
    let size = draft.demand.models[model].size;
    let repairable = repairable(draft, model).into_iter().any(|group| {
        let group = &draft.groups[group];
        draft.free_count(group.domain, model) >= group.lost()
    });
    repairable || (0..draft.domains.len()).any(|domain| idle_count(draft, domain, model) >= size)
}

/// Records a pending group, which a later plan forms once the `draining` groups of the domain have
/// drained. VMs that are already free are reserved for it.
fn defer_group(draft: &mut PlanDraft<'_>, domain: usize, model: usize, draining: &[usize]) {
    for group in draining {
        draft.groups[*group].reserved_for_pending = true;
    }
    draft.pending[model] += 1;
    let size = draft.demand.models[model].size;
    let free = draft.free_count(domain, model).min(size);
    draft.take_free(domain, model, free);
}

/// Number of VMs in a domain that may host the model and are free or in incomplete groups.
fn idle_count(draft: &PlanDraft<'_>, domain: usize, model: usize) -> usize {
    let incomplete = incomplete_groups(draft, domain).into_iter();
    let incomplete = incomplete.map(|group| usable_vms(draft, group, model));
    draft.free_count(domain, model) + incomplete.sum::<usize>()
}

fn allocate_unused_vms(draft: &mut PlanDraft<'_>) {
    let mut tried = vec![false; draft.demand.models.len()];
    while let Some(model) = most_urgent(draft, &tried, true) {
        if repair_from_free(draft, model) || form_from_free(draft, model) {
            continue;
        }
        if merge_incomplete(draft, model) {
            // The VMs left over from the dissolved groups may suffice for a model
            // with smaller groups.
            tried.fill(false);
        } else {
            tried[model] = true;
        }
    }
}

/// Forms groups of the current model version next to outdated ones that still serve. Only VMs that
/// no model lacks are used.
fn start_rollouts(draft: &mut PlanDraft<'_>) {
    let mut tried = vec![false; draft.demand.models.len()];
    while let Some(model) = most_urgent(draft, &tried, false) {
        tried[model] = !form_from_free(draft, model);
    }
}

/// Dissolves drained groups whose VMs are not reserved for a pending group.
fn dissolve_drained(draft: &mut PlanDraft<'_>) {
    for group in 0..draft.groups.len() {
        let entry = &draft.groups[group];
        if entry.is_retiring() && !entry.reserved_for_pending && draft.changeable(group) {
            draft.retire(group, "the drain is complete".into());
        }
    }
}

/// Cancels the drain of one group of the model whose VMs are not reserved for a pending group.
fn cancel_drain(draft: &mut PlanDraft<'_>, model: usize) -> bool {
    let retiring = draft.groups.iter_mut().find(|group| {
        group.model == Some(model)
            && group.current
            && group.is_retiring()
            && !group.reserved_for_pending
    });
    let Some(group) = retiring else {
        return false;
    };
    group.action = GroupAction::Keep;
    draft.current[model] += 1;
    true
}

/// Returns the model that is to get the next group. With `count_outdated`, outdated groups count as
/// present, because a rollout alone does not justify taking VMs from other models.
fn most_urgent(draft: &PlanDraft<'_>, tried: &[bool], count_outdated: bool) -> Option<usize> {
    let count = |model: usize| draft.current[model] + draft.outdated[model] + draft.pending[model];
    (0..tried.len())
        .filter(|model| !tried[*model])
        .filter(|model| {
            let present = if count_outdated {
                count(*model)
            } else {
                draft.current[*model] + draft.pending[*model]
            };
            present < draft.demand.models[*model].wanted
        })
        .min_by(|a, b| draft.demand.compare((*a, count(*a)), (*b, count(*b))))
}

/// Incomplete groups of a model that can be completed under their id, the fewest
/// lost members first.
fn repairable(draft: &PlanDraft<'_>, model: usize) -> Vec<usize> {
    let size = draft.demand.models[model].size;
    let mut groups: Vec<usize> = (0..draft.groups.len())
        .filter(|group| {
            let group = &draft.groups[*group];
            group.action == GroupAction::Incomplete
                && group.model == Some(model)
                && group.members.len() == size
                && group.lost() < size
        })
        .collect();
    groups.sort_by_key(|group| draft.groups[*group].lost());
    groups
}

fn repair_from_free(draft: &mut PlanDraft<'_>, model: usize) -> bool {
    for group in repairable(draft, model) {
        let domain = draft.groups[group].domain;
        let lost = draft.groups[group].lost();
        if let Some(replacements) = draft.take_free(domain, model, lost) {
            complete_group(draft, group, model, replacements);
            return true;
        }
    }
    false
}

fn complete_group(draft: &mut PlanDraft<'_>, group: usize, model: usize, replacements: Vec<usize>) {
    let names: Vec<&str> = replacements
        .iter()
        .map(|vm| draft.vms[*vm].vm.as_str())
        .collect();
    let names = names.join(" ");
    let losses = draft.describe_losses(group);
    draft.groups[group].reason =
        format_compact!("lost {losses}; replaced from the same fabric domain by {names}");
    let (more, stragglers) = draft.take_straggler_replacements(group, model);
    let replacements = [replacements, more].concat();
    draft.rebuild(group, model, replacements, &stragglers);
}

/// Number of groups of the model in the failure domain of `domain`, used to spread groups
/// over failure domains.
fn colocated_groups(draft: &PlanDraft<'_>, domain: usize, model: usize) -> usize {
    let failure_domain = draft.domains[domain].failure_domain;
    let same = draft
        .domains
        .iter()
        .filter(|other| other.failure_domain == failure_domain);
    same.flat_map(|other| &other.groups)
        .filter(|group| draft.groups[**group].model == Some(model))
        .filter(|group| {
            !matches!(
                draft.groups[**group].action,
                GroupAction::Incomplete | GroupAction::Retire | GroupAction::Dissolve
            )
        })
        .count()
}

/// Selects the fabric domain for a new group: the one in the failure domain with the fewest groups
/// of the model, and among those the one with the fewest VMs left over.
fn best_domain(
    draft: &PlanDraft<'_>,
    model: usize,
    available: impl Fn(usize) -> usize,
) -> Option<usize> {
    let size = draft.demand.models[model].size;
    (0..draft.domains.len())
        .filter_map(|domain| Some((domain, available(domain).checked_sub(size)?)))
        .min_by_key(|(domain, left)| (colocated_groups(draft, *domain, model), *left, *domain))
        .map(|(domain, _)| domain)
}

fn form_from_free(draft: &mut PlanDraft<'_>, model: usize) -> bool {
    let Some(domain) = best_domain(draft, model, |domain| draft.free_count(domain, model)) else {
        return false;
    };
    form(draft, domain, model)
}

fn form(draft: &mut PlanDraft<'_>, domain: usize, model: usize) -> bool {
    let rule = draft.demand.models[model].rule;
    let size = draft.demand.models[model].size;
    let Some(members) = draft.take_free(domain, model, size) else {
        return false;
    };
    let group_count = draft.current[model] + draft.outdated[model];
    let reason = format_compact!(
        "model {} has {group_count} of {} groups; formed of {size} free VMs",
        rule.name,
        rule.groups
    );
    draft.form(domain, model, members, reason);
    true
}

/// Incomplete groups of a domain in the order in which they are dissolved: those that need no drain
/// first, then those of the least urgent models.
fn incomplete_groups(draft: &PlanDraft<'_>, domain: usize) -> Vec<usize> {
    let mut incomplete_groups: Vec<usize> = draft.domains[domain]
        .groups
        .iter()
        .copied()
        .filter(|group| draft.groups[*group].action == GroupAction::Incomplete)
        .collect();
    let group_count = |model: usize| (model, draft.current[model] + draft.outdated[model]);
    incomplete_groups.sort_by(|a, b| {
        let at_once = draft.changeable(*b).cmp(&draft.changeable(*a));
        let (a, b) = (&draft.groups[*a], &draft.groups[*b]);
        let urgency = match (a.model, b.model) {
            (Some(a), Some(b)) => draft.demand.compare(group_count(b), group_count(a)),
            (a, b) => a.cmp(&b),
        };
        at_once.then(urgency).then(b.lost().cmp(&a.lost()))
    });
    incomplete_groups
}

fn usable_vms(draft: &PlanDraft<'_>, group: usize, model: usize) -> usize {
    draft
        .members(group)
        .into_iter()
        .filter(|vm| draft.vms[*vm].state.may_be_placed() && draft.hostable[*vm].contains(&model))
        .count()
}

/// Dissolves incomplete groups of one fabric domain and uses their VMs to complete or
/// form one group.
fn merge_incomplete(draft: &mut PlanDraft<'_>, model: usize) -> bool {
    let available = |domain: usize| idle_count(draft, domain, model);
    let Some(domain) = best_domain(draft, model, available) else {
        return false;
    };
    let target = repairable(draft, model)
        .into_iter()
        .find(|group| draft.groups[*group].domain == domain);
    let needed = match target {
        Some(group) => draft.groups[group].lost(),
        None => draft.demand.models[model].size,
    };
    let mut available = draft.free_count(domain, model);
    let mut dissolved = Vec::new();
    for source in incomplete_groups(draft, domain) {
        let usable = usable_vms(draft, source, model);
        if available < needed && Some(source) != target && usable > 0 {
            available += usable;
            dissolved.push(source);
        }
    }
    let name = &draft.demand.models[model].rule.name;
    let reason = format_compact!(
        "lost members that cannot be replaced; dissolved to free its VMs for a group of model {name}"
    );
    if !draft.retire_all(&dissolved, &reason) {
        defer_group(draft, domain, model, &dissolved);
        return true;
    }
    match target {
        Some(group) => {
            let replacements = draft.take_free(domain, model, needed);
            let repaired = replacements.is_some();
            if let Some(replacements) = replacements {
                complete_group(draft, group, model, replacements);
            }
            repaired
        }
        None => form(draft, domain, model),
    }
}

/// Groups of one fabric domain that could be preempted together, and the gain from doing so.
struct PreemptionChoice {
    gain: f64,
    domain: usize,
    victims: Vec<usize>,
}

/// Preempts the serving groups whose loss costs least, if the gain exceeds the margin.
///
/// The gain is the decrease of a cost: the weight of downtime times the value of the missing
/// groups, plus the weight of stranded accelerators times the idle VMs in units of a mean group.
/// Every preemption decreases this cost by at least the margin, so preemptions cannot undo each
/// other in a cycle.
///
/// With `only_draining`, only groups that are already draining are preempted.
fn preempt_serving(draft: &mut PlanDraft<'_>, model: usize, only_draining: bool) -> bool {
    let mut best: Option<PreemptionChoice> = None;
    for domain in 0..draft.domains.len() {
        let Some(choice) = cheapest_victims(draft, domain, model, only_draining) else {
            continue;
        };
        if best.as_ref().is_none_or(|best| choice.gain > best.gain) {
            best = Some(choice);
        }
    }
    let Some(choice) = best else {
        return false;
    };
    let name = &draft.demand.models[model].rule.name;
    let reason = format_compact!(
        "preempted for a group of model {name} (gain {:.2})",
        choice.gain
    );
    if draft.retire_all(&choice.victims, &reason) {
        form_from_free(draft, model) || merge_incomplete(draft, model)
    } else {
        defer_group(draft, choice.domain, model, &choice.victims);
        true
    }
}

fn cheapest_victims(
    draft: &PlanDraft<'_>,
    domain: usize,
    model: usize,
    only_draining: bool,
) -> Option<PreemptionChoice> {
    let size = draft.demand.models[model].size;
    let mut available = idle_count(draft, domain, model);
    if available >= size {
        return None;
    }
    let idle_before = available;
    let mut group_counts: Vec<usize> = (0..draft.current.len())
        .map(|model| draft.current[model] + draft.outdated[model] + draft.pending[model])
        .collect();

    let mut candidates: Vec<usize> = draft.domains[domain]
        .groups
        .iter()
        .copied()
        .filter(|group| is_victim(draft, *group, model))
        .filter(|group| !only_draining || draft.groups[*group].is_retiring())
        .collect();
    candidates.sort_by(|a, b| {
        let key = |group: usize| {
            let entry = &draft.groups[group];
            let other = entry.model.unwrap_or_default();
            (
                victim_loss(draft, group, group_counts[other]),
                draft.members(group).len(),
            )
        };
        let (a, b) = (
            (key(*a), !draft.groups[*a].draining(), a),
            (key(*b), !draft.groups[*b].draining(), b),
        );
        a.0.0
            .total_cmp(&b.0.0)
            .then(a.0.1.cmp(&b.0.1))
            .then(a.1.cmp(&b.1))
            .then(a.2.cmp(b.2))
    });
    let mut lost = 0.0;
    let mut freed = 0;
    // The incomplete groups are retired together with the victims, so that their VMs are not
    // assigned elsewhere while the victims drain.
    let mut victims = incomplete_groups(draft, domain);
    victims.retain(|group| usable_vms(draft, *group, model) > 0);
    for group in candidates {
        if available >= size {
            break;
        }
        let other = draft.groups[group].model?;
        lost += victim_loss(draft, group, group_counts[other]);
        if !draft.groups[group].is_retiring() {
            group_counts[other] -= 1;
        }
        freed += draft.members(group).len();
        available += usable_vms(draft, group, model);
        victims.push(group);
    }
    if available < size {
        return None;
    }
    // The VMs left over from the victims may form further groups of the model.
    let demand = &draft.demand.models[model];
    let formed = (available / size).min(demand.wanted.saturating_sub(group_counts[model]));
    let gained: f64 = (0..formed)
        .map(|more| demand.value_of_next(group_counts[model] + more))
        .sum();
    let weights = &draft.demand.weights;
    let idle_after = (idle_before + freed).saturating_sub(formed * size) as f64;
    let used = (idle_before as f64 - idle_after) / draft.demand.mean_size();
    let gain = weights.downtime * (gained - lost) + weights.stranded * used;
    let margin = PREEMPT_MARGIN * (weights.downtime + weights.stranded);
    (gain > margin).then_some(PreemptionChoice {
        gain,
        domain,
        victims,
    })
}

/// Value that a model with `group_count` groups loses when `group` is preempted. The count does not
/// include retiring groups; preempting one only prevents its drain from being cancelled.
fn victim_loss(draft: &PlanDraft<'_>, group: usize, group_count: usize) -> f64 {
    let entry = &draft.groups[group];
    let Some(model) = entry.model else {
        return 0.0;
    };
    let demand = &draft.demand.models[model];
    if entry.is_retiring() {
        demand.value_of_next(group_count)
    } else {
        demand.loss_of_last(group_count)
    }
}

fn is_victim(draft: &PlanDraft<'_>, group: usize, model: usize) -> bool {
    let entry = &draft.groups[group];
    let present = matches!(entry.action, GroupAction::Keep | GroupAction::Assign(_));
    (present || entry.is_retiring() && !entry.reserved_for_pending)
        && entry.model.is_some_and(|other| other != model)
        && !entry.has_loss(MemberLoss::Moved)
        && usable_vms(draft, group, model) > 0
}
