//! Greedy planner that stages weights on hosts ahead of joins.
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

/// Projected state after the loads that were chosen so far.
struct StagingProjection<'a> {
    needs: &'a [ModelNeed],
    /// Per fabric domain, the number of VMs that can join a group of each model without a load. Indexed like `needs`.
    with_weights: BTreeMap<&'a FabricDomainId, Vec<usize>>,
    /// Marginal value of each model after all groups that can be formed without a load. Indexed like `needs`.
    marginal_values: Vec<f64>,
}

impl<'a> StagingProjection<'a> {
    fn new(pool: &'a [FreeVm], needs: &'a [ModelNeed]) -> Self {
        let mut with_weights: BTreeMap<&FabricDomainId, Vec<usize>> = BTreeMap::new();
        for vm in pool {
            let counts = with_weights
                .entry(&vm.domain)
                .or_insert_with(|| vec![0; needs.len()]);
            for (count, need) in counts.iter_mut().zip(needs) {
                *count += usize::from(vm.has_weights(&need.id));
            }
        }
        let mut projection = Self {
            needs,
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

    /// Value of a load per millisecond of load time, spread over the loads that the next group still needs.
    fn value(&self, domain: &FabricDomainId, index: usize) -> f64 {
        let need = &self.needs[index];
        let with_weights = self
            .with_weights
            .get(domain)
            .map_or(0, |counts| counts[index]);
        let size = need.group_size.max(1);
        let missing = size - with_weights % size;
        let load_time = need.load_time.as_millis().max(1) as f64;
        self.marginal_values[index] / (missing as f64 * load_time)
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
/// those in `stageable`; models that are being staged count as staged.
///
/// At equal value, VMs that cannot join a group of any model without a load come first.
pub fn plan_staging(
    stageable: &[FreeVm],
    pool: &[FreeVm],
    needs: &[ModelNeed],
    limit: usize,
) -> Vec<PlannedStaging> {
    let mut projection = StagingProjection::new(pool, needs);
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
