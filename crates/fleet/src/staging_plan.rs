//! Greedy planner that stages weights on hosts ahead of joins.
//!
//! The weight store is slow compared to the rate at which VMs are lost, so each load should bring a group closer to
//! completion. The planner picks one load at a time and accounts for earlier ones, including those in progress: a VM
//! for which weights are staged no longer counts as missing, and a group with enough VMs adds to its model's capacity.

use std::collections::BTreeMap;

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
    fn value(&self, vm: &FreeVm, index: usize) -> f64 {
        let need = &self.needs[index];
        let with_weights = self
            .with_weights
            .get(&vm.domain)
            .map_or(0, |counts| counts[index]);
        let size = need.group_size.max(1);
        let missing = size - with_weights % size;
        let load_time = need.load_time.as_millis().max(1) as f64;
        self.marginal_values[index] / (missing as f64 * load_time)
    }

    fn add_load(&mut self, vm: &'a FreeVm, index: usize) {
        let counts = self
            .with_weights
            .entry(&vm.domain)
            .or_insert_with(|| vec![0; self.needs.len()]);
        counts[index] += 1;
        if counts[index].is_multiple_of(self.needs[index].group_size.max(1)) {
            self.update_marginal_values();
        }
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
    let mut remaining: Vec<&FreeVm> = stageable.iter().collect();
    remaining.sort_by(|a, b| a.id.cmp(&b.id));
    let mut planned = Vec::new();
    while planned.len() < limit {
        let mut best: Option<(f64, bool, usize, usize)> = None;
        for (position, vm) in remaining.iter().enumerate() {
            let has_no_weights = needs.iter().all(|need| !vm.has_weights(&need.id));
            for (index, need) in needs.iter().enumerate() {
                if vm.has_weights(&need.id) {
                    continue;
                }
                let value = projection.value(vm, index);
                let is_better = best.is_none_or(|(best_value, had_no_weights, ..)| {
                    value > best_value || (value == best_value && has_no_weights && !had_no_weights)
                });
                if is_better {
                    best = Some((value, has_no_weights, position, index));
                }
            }
        }
        let Some((_, _, position, index)) = best else {
            break;
        };
        let vm = remaining.remove(position);
        projection.add_load(vm, index);
        planned.push(PlannedStaging {
            vm: vm.id.clone(),
            model: needs[index].id.clone(),
            load_time: needs[index].load_time,
        });
    }
    planned
}
