//! Filling wants: repairs groups and forms new ones until no model can get another group.

use compact_str::format_compact;

use crate::work::GroupFate;
use crate::work::MemberLoss;
use crate::work::PlannerWork;

/// Least improvement, in units of the weights' sum, for which VMs are taken from a serving group.
/// Two groups load anew then, so a change that gains less is not worth it.
const PREEMPT_MARGIN: f64 = 0.25;

/// Gives groups to the models that are short, the most urgent model first.
///
/// Each step takes the first of these options that is possible: spares of the same fabric domain
/// complete a broken group; free VMs form a new group; broken groups are dissolved for one whole
/// group; a group whose loss costs less gives up its VMs.
pub(crate) fn fill_wants(work: &mut PlannerWork<'_>) {
    keep_promises(work);
    let mut tried = vec![false; work.demand.models.len()];
    while let Some(model) = most_urgent(work, &tried, true) {
        tried[model] = !reclaim(work, model);
    }
    dissolve_drained(work);
    fill_without_loss(work);
    let mut tried = vec![false; work.demand.models.len()];
    while let Some(model) = most_urgent(work, &tried, true) {
        if take_from_serving(work, model, false) {
            fill_without_loss(work);
        } else {
            tried[model] = true;
        }
    }
    start_rollouts(work);
}

/// Goes on with what earlier plans have begun: where groups drain already to give up their VMs, the
/// free VMs that are to join these are not given to another model in the meantime.
fn keep_promises(work: &mut PlannerWork<'_>) {
    let mut tried = vec![false; work.demand.models.len()];
    while let Some(model) = most_urgent(work, &tried, true) {
        // What can be had at once is not waited for.
        let waits = !can_fill_now(work, model) && take_from_serving(work, model, true);
        tried[model] = !waits;
    }
}

/// Whether spares, free VMs or broken groups suffice for a group of the model.
fn can_fill_now(work: &PlannerWork<'_>, model: usize) -> bool {
    let size = work.demand.models[model].size;
    let repairable = repairable(work, model).into_iter().any(|group| {
        let group = &work.groups[group];
        work.free_count(group.domain, model) >= group.lost()
    });
    repairable || (0..work.domains.len()).any(|domain| idle_count(work, domain, model) >= size)
}

/// Notes a group that a later plan forms when `draining` groups of the domain have drained. The VMs
/// that are free already are reserved for it.
fn promise(work: &mut PlannerWork<'_>, domain: usize, model: usize, draining: &[usize]) {
    for group in draining {
        work.groups[*group].promised = true;
    }
    work.promised[model] += 1;
    let size = work.demand.models[model].size;
    let free = work.free_count(domain, model).min(size);
    work.take_free(domain, model, free);
}

/// VMs of a domain that are free or in broken groups and may host the model.
fn idle_count(work: &PlannerWork<'_>, domain: usize, model: usize) -> usize {
    let broken = donors(work, domain).into_iter();
    let broken = broken.map(|group| usable_of(work, group, model));
    work.free_count(domain, model) + broken.sum::<usize>()
}

fn fill_without_loss(work: &mut PlannerWork<'_>) {
    let mut tried = vec![false; work.demand.models.len()];
    while let Some(model) = most_urgent(work, &tried, true) {
        if repair_from_spares(work, model) || form_from_free(work, model) {
            continue;
        }
        if merge_broken(work, model) {
            // VMs that the dissolved groups leave over may suffice for a smaller model.
            tried.fill(false);
        } else {
            tried[model] = true;
        }
    }
}

/// Forms groups of the version in force next to outdated ones that still serve, of VMs that no
/// model lacks.
fn start_rollouts(work: &mut PlannerWork<'_>) {
    let mut tried = vec![false; work.demand.models.len()];
    while let Some(model) = most_urgent(work, &tried, false) {
        tried[model] = !form_from_free(work, model);
    }
}

/// Dissolves groups that have drained and are not meant for a certain model together with others.
fn dissolve_drained(work: &mut PlannerWork<'_>) {
    for group in 0..work.groups.len() {
        let entry = &work.groups[group];
        if entry.given_up() && !entry.promised && work.changeable(group) {
            work.retire(group, "it has drained".into());
        }
    }
}

/// Takes back a group of the model that drains and is meant for no other model.
fn reclaim(work: &mut PlannerWork<'_>, model: usize) -> bool {
    let reclaimed = work.groups.iter_mut().find(|group| {
        group.model == Some(model) && group.current && group.given_up() && !group.promised
    });
    let Some(group) = reclaimed else {
        return false;
    };
    group.fate = GroupFate::Keep;
    work.good[model] += 1;
    true
}

/// The model that is to get the next group. With `unserved`, groups of an outdated version count
/// as there, because a rollout alone takes no VMs from others.
fn most_urgent(work: &PlannerWork<'_>, tried: &[bool], unserved: bool) -> Option<usize> {
    let up = |model: usize| work.good[model] + work.old[model] + work.promised[model];
    (0..tried.len())
        .filter(|model| !tried[*model])
        .filter(|model| {
            let there = if unserved {
                up(*model)
            } else {
                work.good[*model] + work.promised[*model]
            };
            there < work.demand.models[*model].wanted
        })
        .min_by(|a, b| work.demand.compare((*a, up(*a)), (*b, up(*b))))
}

/// Broken groups of a model that keep their id when they are completed, the cheapest first.
fn repairable(work: &PlannerWork<'_>, model: usize) -> Vec<usize> {
    let size = work.demand.models[model].size;
    let mut groups: Vec<usize> = (0..work.groups.len())
        .filter(|group| {
            let group = &work.groups[*group];
            group.fate == GroupFate::Broken
                && group.model == Some(model)
                && group.members.len() == size
                && group.lost() < size
        })
        .collect();
    groups.sort_by_key(|group| work.groups[*group].lost());
    groups
}

fn repair_from_spares(work: &mut PlannerWork<'_>, model: usize) -> bool {
    for group in repairable(work, model) {
        let domain = work.groups[group].domain;
        let lost = work.groups[group].lost();
        if let Some(spares) = work.take_free(domain, model, lost) {
            complete(work, group, model, spares);
            return true;
        }
    }
    false
}

fn complete(work: &mut PlannerWork<'_>, group: usize, model: usize, spares: Vec<usize>) {
    let names: Vec<&str> = spares.iter().map(|vm| work.vms[*vm].vm.as_str()).collect();
    let names = names.join(" ");
    let losses = work.losses(group);
    work.groups[group].reason =
        format_compact!("lost {losses}; replaced from the same fabric domain by {names}");
    let (more, slow) = work.replace_slow(group, model);
    let spares = [spares, more].concat();
    work.rebuild(group, model, spares, &slow);
}

/// Groups of the model in the failure domain of `domain`, for the spread.
fn neighbours(work: &PlannerWork<'_>, domain: usize, model: usize) -> usize {
    let failure_domain = work.domains[domain].failure_domain;
    let same = work
        .domains
        .iter()
        .filter(|other| other.failure_domain == failure_domain);
    same.flat_map(|other| &other.groups)
        .filter(|group| work.groups[**group].model == Some(model))
        .filter(|group| {
            !matches!(
                work.groups[**group].fate,
                GroupFate::Broken | GroupFate::Retire | GroupFate::Dissolve
            )
        })
        .count()
}

/// The fabric domain for a new group: the failure domain with the fewest groups of the model, then
/// the domain that has the fewest VMs left over.
fn best_domain(
    work: &PlannerWork<'_>,
    model: usize,
    available: impl Fn(usize) -> usize,
) -> Option<usize> {
    let size = work.demand.models[model].size;
    (0..work.domains.len())
        .filter_map(|domain| Some((domain, available(domain).checked_sub(size)?)))
        .min_by_key(|(domain, left)| (neighbours(work, *domain, model), *left, *domain))
        .map(|(domain, _)| domain)
}

fn form_from_free(work: &mut PlannerWork<'_>, model: usize) -> bool {
    let Some(domain) = best_domain(work, model, |domain| work.free_count(domain, model)) else {
        return false;
    };
    form(work, domain, model)
}

fn form(work: &mut PlannerWork<'_>, domain: usize, model: usize) -> bool {
    let rule = work.demand.models[model].rule;
    let size = work.demand.models[model].size;
    let Some(members) = work.take_free(domain, model, size) else {
        return false;
    };
    let up = work.good[model] + work.old[model];
    let reason = format_compact!(
        "model {} has {up} of {} groups; formed of {size} free VMs",
        rule.name,
        rule.groups
    );
    work.form(domain, model, members, reason);
    true
}

/// Broken groups of a domain: those that may be dissolved at once first, then the least urgent.
fn donors(work: &PlannerWork<'_>, domain: usize) -> Vec<usize> {
    let mut donors: Vec<usize> = work.domains[domain]
        .groups
        .iter()
        .copied()
        .filter(|group| work.groups[*group].fate == GroupFate::Broken)
        .collect();
    let up = |model: usize| (model, work.good[model] + work.old[model]);
    donors.sort_by(|a, b| {
        let at_once = work.changeable(*b).cmp(&work.changeable(*a));
        let (a, b) = (&work.groups[*a], &work.groups[*b]);
        let urgency = match (a.model, b.model) {
            (Some(a), Some(b)) => work.demand.compare(up(b), up(a)),
            (a, b) => a.cmp(&b),
        };
        at_once.then(urgency).then(b.lost().cmp(&a.lost()))
    });
    donors
}

fn usable_of(work: &PlannerWork<'_>, group: usize, model: usize) -> usize {
    work.members(group)
        .into_iter()
        .filter(|vm| work.vms[*vm].state.may_be_placed() && work.hosts[*vm].contains(&model))
        .count()
}

/// Dissolves broken groups of one fabric domain, so that their VMs complete or form one group.
fn merge_broken(work: &mut PlannerWork<'_>, model: usize) -> bool {
    let available = |domain: usize| idle_count(work, domain, model);
    let Some(domain) = best_domain(work, model, available) else {
        return false;
    };
    let base = repairable(work, model)
        .into_iter()
        .find(|group| work.groups[*group].domain == domain);
    let needed = match base {
        Some(group) => work.groups[group].lost(),
        None => work.demand.models[model].size,
    };
    let mut available = work.free_count(domain, model);
    let mut given = Vec::new();
    for donor in donors(work, domain) {
        let usable = usable_of(work, donor, model);
        if available < needed && Some(donor) != base && usable > 0 {
            available += usable;
            given.push(donor);
        }
    }
    let name = &work.demand.models[model].rule.name;
    let reason = format_compact!(
        "lost members without a replacement; dissolved so that its VMs serve a group of model {name}"
    );
    if !work.retire_all(&given, &reason) {
        promise(work, domain, model, &given);
        return true;
    }
    match base {
        Some(group) => {
            let spares = work.take_free(domain, model, needed);
            let repaired = spares.is_some();
            if let Some(spares) = spares {
                complete(work, group, model, spares);
            }
            repaired
        }
        None => form(work, domain, model),
    }
}

/// A set of serving groups that could give up their VMs.
struct VictimChoice {
    gain: f64,
    domain: usize,
    victims: Vec<usize>,
}

/// Takes VMs from the serving groups whose loss costs least, if the gain exceeds that loss.
///
/// The gain is the decrease of: weight of downtime times the value of the missing groups, plus
/// weight of stranded accelerators times idle VMs in units of a mean group. Every such step
/// decreases this sum by a margin, so steps cannot undo one another in turn.
///
/// With `draining`, only groups that drain already are taken.
fn take_from_serving(work: &mut PlannerWork<'_>, model: usize, draining: bool) -> bool {
    let mut best: Option<VictimChoice> = None;
    for domain in 0..work.domains.len() {
        let Some(choice) = cheapest_victims(work, domain, model, draining) else {
            continue;
        };
        if best.as_ref().is_none_or(|best| choice.gain > best.gain) {
            best = Some(choice);
        }
    }
    let Some(choice) = best else {
        return false;
    };
    let name = &work.demand.models[model].rule.name;
    let reason = format_compact!(
        "gives its VMs to model {name}, whose groups are worth more (gain {:.2})",
        choice.gain
    );
    if work.retire_all(&choice.victims, &reason) {
        form_from_free(work, model) || merge_broken(work, model)
    } else {
        promise(work, choice.domain, model, &choice.victims);
        true
    }
}

fn cheapest_victims(
    work: &PlannerWork<'_>,
    domain: usize,
    model: usize,
    draining: bool,
) -> Option<VictimChoice> {
    let size = work.demand.models[model].size;
    let mut available = idle_count(work, domain, model);
    if available >= size {
        return None;
    }
    let idle_before = available;
    let mut up: Vec<usize> = (0..work.good.len())
        .map(|model| work.good[model] + work.old[model] + work.promised[model])
        .collect();

    let mut candidates: Vec<usize> = work.domains[domain]
        .groups
        .iter()
        .copied()
        .filter(|group| is_victim(work, *group, model))
        .filter(|group| !draining || work.groups[*group].given_up())
        .collect();
    candidates.sort_by(|a, b| {
        let key = |group: usize| {
            let entry = &work.groups[group];
            let other = entry.model.unwrap_or_default();
            (
                victim_loss(work, group, up[other]),
                work.members(group).len(),
            )
        };
        let (a, b) = (
            (key(*a), !work.groups[*a].draining(), a),
            (key(*b), !work.groups[*b].draining(), b),
        );
        a.0.0
            .total_cmp(&b.0.0)
            .then(a.0.1.cmp(&b.0.1))
            .then(a.1.cmp(&b.1))
            .then(a.2.cmp(b.2))
    });
    let mut lost = 0.0;
    let mut freed = 0;
    // The broken groups give up their VMs together with the victims, so that none is used otherwise
    // while the others drain.
    let mut victims = donors(work, domain);
    victims.retain(|group| usable_of(work, *group, model) > 0);
    for group in candidates {
        if available >= size {
            break;
        }
        let other = work.groups[group].model?;
        lost += victim_loss(work, group, up[other]);
        if !work.groups[group].given_up() {
            up[other] -= 1;
        }
        freed += work.members(group).len();
        available += usable_of(work, group, model);
        victims.push(group);
    }
    if available < size {
        return None;
    }
    // What the victims leave over may make further groups of the model.
    let demand = &work.demand.models[model];
    let formed = (available / size).min(demand.wanted.saturating_sub(up[model]));
    let gained: f64 = (0..formed)
        .map(|more| demand.value_of_next(up[model] + more))
        .sum();
    let weights = &work.demand.weights;
    let idle_after = (idle_before + freed).saturating_sub(formed * size) as f64;
    let used = (idle_before as f64 - idle_after) / work.demand.mean_size();
    let gain = weights.downtime * (gained - lost) + weights.stranded * used;
    let margin = PREEMPT_MARGIN * (weights.downtime + weights.stranded);
    (gain > margin).then_some(VictimChoice {
        gain,
        domain,
        victims,
    })
}

/// What a model loses with a group of it, when it has `up`. A group that drains already is not
/// among them: without it, its model only cannot take it back.
fn victim_loss(work: &PlannerWork<'_>, group: usize, up: usize) -> f64 {
    let entry = &work.groups[group];
    let Some(model) = entry.model else {
        return 0.0;
    };
    let demand = &work.demand.models[model];
    if entry.given_up() {
        demand.value_of_next(up)
    } else {
        demand.loss_of_last(up)
    }
}

fn is_victim(work: &PlannerWork<'_>, group: usize, model: usize) -> bool {
    let entry = &work.groups[group];
    let present = matches!(entry.fate, GroupFate::Keep | GroupFate::Change(_));
    (present || entry.given_up() && !entry.promised)
        && entry.model.is_some_and(|other| other != model)
        && !entry.has_loss(MemberLoss::Moved)
        && usable_of(work, group, model) > 0
}
