//! Greedy planner that stages weights on hosts ahead of joins.
//!
//! A load is worth what it does for the next group, or for the repair of groups: an idle VM with the weights of a model
//! replaces a member of a group in its fabric domain as soon as one is lost, while the rest of the group has no other use.
//!
//! The weight store is slow compared to the rate at which VMs are lost, so each load should bring a group closer to
//! completion. The planner picks one load at a time and accounts for earlier ones, including those in progress: a VM
//! for which weights are staged no longer counts as missing, and a group with enough VMs adds to its model's capacity.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;

use crate::plan::FreeVm;
use crate::plan::ModelNeed;
use crate::plan::count_with_weights;
use crate::plan::highest_marginal_value;

/// Weights to be staged on the host of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStaging {
    /// VM on whose host the weights are staged.
    pub vm: VmId,
    /// Model whose weights are staged.
    pub model: ModelId,
    /// Expected duration of the load.
    pub load_time: TimeSpan,
}

/// Part of the members of groups that is expected to be lost in the time that a load takes.
const EXPECTED_LOSS_PART: f64 = 0.1;

/// Part of the value of a group that counts for loads in a fabric domain that has too few VMs for it. More may come.
const INCOMPLETE_PART: f64 = 0.1;

/// Number of members of serving groups in each fabric domain, by model, in the order of the needs.
pub type DomainMembers = BTreeMap<FabricDomainId, Vec<usize>>;

/// Probability that more than `spares` of `members` VMs are lost in the time that a load takes, by a Poisson distribution.
fn repair_probability(members: usize, spares: usize) -> f64 {
    let mean = members as f64 * EXPECTED_LOSS_PART;
    let mut term = (-mean).exp();
    let mut at_most = term;
    for count in 1..=spares {
        term *= mean / count as f64;
        at_most += term;
    }
    (1.0 - at_most).max(0.0)
}

/// Projected state after the loads that were chosen so far.
struct StagingProjection<'a> {
    needs: &'a [ModelNeed],
    members: &'a DomainMembers,
    /// Number of VMs of each fabric domain in the pool.
    pool_vms: BTreeMap<&'a FabricDomainId, usize>,
    /// Per fabric domain, the number of VMs that can join a group of each model without a load. Indexed like `needs`.
    with_weights: BTreeMap<&'a FabricDomainId, Vec<usize>>,
    /// Marginal value of each model after all groups that can be formed without a load. Indexed like `needs`.
    marginal_values: Vec<f64>,
}

impl<'a> StagingProjection<'a> {
    fn new(pool: &'a [FreeVm], needs: &'a [ModelNeed], members: &'a DomainMembers) -> Self {
        let mut with_weights: BTreeMap<&FabricDomainId, Vec<usize>> = BTreeMap::new();
        let mut pool_vms: BTreeMap<&FabricDomainId, usize> = BTreeMap::new();
        for vm in pool {
            *pool_vms.entry(&vm.domain).or_default() += 1;
            let counts = with_weights
                .entry(&vm.domain)
                .or_insert_with(|| vec![0; needs.len()]);
            for (count, need) in counts.iter_mut().zip(needs) {
                *count += usize::from(vm.has_weights(&need.id));
            }
        }
        let mut projection = Self {
            needs,
            members,
            pool_vms,
            with_weights,
            marginal_values: Vec::new(),
        };
        projection.update_marginal_values();
        projection
    }

    fn update_marginal_values(&mut self) {
        let values = self.needs.iter().enumerate().map(|(index, need)| {
            let complete: usize = self
                .with_weights
                .values()
                .map(|counts| counts[index] / need.group_size.max(1))
                .sum();
            let mut projected = need.clone();
            projected.capacity += complete as f64;
            projected.marginal_value()
        });
        self.marginal_values = values.collect();
    }

    /// Value of a load per millisecond of load time, in VMs of a fully utilized group.
    fn value(&self, domain: &FabricDomainId, index: usize) -> f64 {
        let need = &self.needs[index];
        let with_weights = self
            .with_weights
            .get(domain)
            .map_or(0, |counts| counts[index]);
        let size = need.group_size.max(1);
        let spares = with_weights % size;
        let pool_vms = self.pool_vms.get(domain).copied().unwrap_or(0);
        let prospect = if pool_vms >= size {
            1.0
        } else {
            INCOMPLETE_PART * pool_vms as f64 / size as f64
        };
        let completion = prospect / (size - spares) as f64;
        let members = self.members.get(domain).map_or(0, |counts| counts[index]);
        let repair = repair_probability(members, spares);
        let load_time = need.load_time.as_millis().max(1) as f64;
        self.marginal_values[index] * size as f64 * completion.max(repair) / load_time
    }

    fn add_load(&mut self, domain: &'a FabricDomainId, index: usize) {
        let counts = self
            .with_weights
            .entry(domain)
            .or_insert_with(|| vec![0; self.needs.len()]);
        counts[index] += 1;
        if counts[index].is_multiple_of(self.needs[index].group_size.max(1)) {
            self.update_marginal_values();
        }
    }
}

/// VMs that are equally good for a load: in one fabric domain, with the weights of the same models.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct VmKind<'a> {
    domain: &'a FabricDomainId,
    /// Whether the VMs have the weights of each model. Indexed like the needs.
    has_weights: Vec<bool>,
}

impl VmKind<'_> {
    fn has_no_weights(&self) -> bool {
        !self.has_weights.contains(&true)
    }
}

/// A load that could be chosen next.
struct LoadCandidate<'a> {
    value: f64,
    kind: VmKind<'a>,
    vm: &'a VmId,
    need: usize,
}

impl LoadCandidate<'_> {
    /// Whether this load is chosen before another one.
    fn is_better_than(&self, other: &Self) -> bool {
        self.value > other.value || (self.value == other.value && self.order() > other.order())
    }

    /// Preference among loads of equal value, highest first.
    fn order(&self) -> (bool, Reverse<&VmId>, Reverse<usize>) {
        let has_no_weights = self.kind.has_no_weights();
        (has_no_weights, Reverse(self.vm), Reverse(self.need))
    }
}

/// Plans up to `limit` loads, most valuable first. `pool` holds all VMs from which groups could be formed, including
/// those in `stageable`; models that are being staged count as staged. `members` tells which groups the VMs could repair.
///
/// At equal value, VMs that cannot join a group of any model without a load come first.
pub fn plan_staging(
    stageable: &[FreeVm],
    pool: &[FreeVm],
    needs: &[ModelNeed],
    members: &DomainMembers,
    limit: usize,
) -> Vec<PlannedStaging> {
    let mut projection = StagingProjection::new(pool, needs, members);
    let mut remaining: BTreeMap<VmKind<'_>, BTreeSet<&VmId>> = BTreeMap::new();
    for vm in stageable {
        let kind = VmKind {
            domain: &vm.domain,
            has_weights: needs.iter().map(|need| vm.has_weights(&need.id)).collect(),
        };
        remaining.entry(kind).or_default().insert(&vm.id);
    }
    let mut planned = Vec::new();
    while planned.len() < limit {
        let mut best: Option<LoadCandidate<'_>> = None;
        for (kind, vms) in &remaining {
            let Some(vm) = vms.first().copied() else {
                continue;
            };
            for index in (0..needs.len()).filter(|index| !kind.has_weights[*index]) {
                let candidate = LoadCandidate {
                    value: projection.value(kind.domain, index),
                    kind: kind.clone(),
                    vm,
                    need: index,
                };
                if best
                    .as_ref()
                    .is_none_or(|best| candidate.is_better_than(best))
                {
                    best = Some(candidate);
                }
            }
        }
        let Some(best) = best else {
            break;
        };
        if let Some(vms) = remaining.get_mut(&best.kind) {
            vms.remove(best.vm);
        }
        projection.add_load(best.kind.domain, best.need);
        planned.push(PlannedStaging {
            vm: best.vm.clone(),
            model: needs[best.need].id.clone(),
            load_time: needs[best.need].load_time,
        });
    }
    planned
}

/// Plans up to `limit` loads that complete a group from the free VMs of one fabric domain, none of which can form a group by the
/// weights that they have. The loads replace other weights. `needs` are those of the models whose groups the VMs suffice for.
pub fn plan_restaging(
    stranded: &[FreeVm],
    needs: &[ModelNeed],
    limit: usize,
) -> Vec<PlannedStaging> {
    let highest = highest_marginal_value(needs);
    let missing = |need: &ModelNeed| {
        let with_weights = count_with_weights(stranded.iter(), &need.id);
        need.group_size.saturating_sub(with_weights)
    };
    // Value of each load per millisecond, as in `StagingProjection::value`.
    let value = |need: &ModelNeed| {
        let load_time = need.load_time.as_millis().max(1) as f64;
        need.marginal_value() * need.group_size as f64 / missing(need) as f64 / load_time
    };
    let best = needs
        .iter()
        .filter(|need| !need.is_held(highest) && missing(need) > 0)
        .max_by(|one, other| value(one).total_cmp(&value(other)));
    let Some(need) = best else {
        return Vec::new();
    };
    let mut replaceable: Vec<&FreeVm> = stranded
        .iter()
        .filter(|vm| !vm.has_weights(&need.id))
        .collect();
    replaceable.sort_by_key(|vm| vm.other_models(&need.id));
    replaceable
        .into_iter()
        .take(missing(need).min(limit))
        .map(|vm| PlannedStaging {
            vm: vm.id.clone(),
            model: need.id.clone(),
            load_time: need.load_time,
        })
        .collect()
}
