//! Greedy planner that forms groups from free VMs.
//!
//! If a model needs VMs that groups of another model hold, the planner also proposes groups to close (an exchange).
//!
//! The value of a group is the additional demand it serves, with diminishing returns, discounted by the time until it
//! serves. The planner repeatedly picks the group with the highest value until none fits.

use std::collections::BTreeMap;

use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::units::TimeSpan;

/// Rate of the diminishing returns. A capacity equal to the demand reaches about three quarters of the value; the
/// rest is headroom for bursts and lost groups.
const SATURATION_RATE: f64 = 1.3;

/// Expected useful lifetime of a group. A group that takes this long to become ready has the minimum value.
const VALUE_HORIZON: TimeSpan = TimeSpan::from_secs(24);

/// Lower bound of the discount factor, so that slow groups are still formed if there is no alternative.
const MIN_DISCOUNT: f64 = 0.05;

/// A model is not planned for while another model's marginal value is more than this many times higher, so that free
/// VMs are kept for the model that needs them more.
const HOLD_RATIO: f64 = 3.0;

/// Limit and cost of loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBudget {
    /// Number of loads that may start now.
    pub available: usize,
    /// Cost of each load relative to the group's value: at 1, a group with one load has to be worth twice as much as
    /// a group without loads. 0 if loads cost nothing.
    pub weight: f64,
}

/// Where a VM would get a model's weights when it joins a group, fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightSource {
    /// Accelerator memory: the VM's last group served the model.
    Memory,
    /// The VM's host, on which the weights are staged.
    Host,
    /// The shared weight store, which limits the rate of loads.
    WeightStore,
}

/// A VM that can be planned into a group.
#[derive(Clone, Debug)]
pub struct FreeVm {
    /// Id under which the VM's backend server is registered.
    pub id: VmId,
    /// Fabric domain of the VM; a group cannot span several.
    pub domain: FabricDomainId,
    /// Model of the VM's last group, which is still in memory; `None` before the first join.
    pub last_model: Option<ModelId>,
    /// Models whose weights are on the VM's host.
    pub staged: Vec<ModelId>,
}

impl FreeVm {
    /// Whether this VM can join a group of `model` without a load from the weight store.
    pub fn has_weights(&self, model: &ModelId) -> bool {
        self.weight_source(model) < WeightSource::WeightStore
    }

    /// Number of models other than `model` of which this VM has the weights.
    pub(crate) fn other_models(&self, model: &ModelId) -> usize {
        let staged = self
            .staged
            .iter()
            .filter(|staged| *staged != model && self.last_model.as_ref() != Some(*staged));
        let in_memory = self.last_model.as_ref().is_some_and(|last| last != model);
        staged.count() + usize::from(in_memory)
    }

    /// The fastest available source of the weights of `model` for this VM.
    pub fn weight_source(&self, model: &ModelId) -> WeightSource {
        if self.last_model.as_ref() == Some(model) {
            WeightSource::Memory
        } else if self.staged.contains(model) {
            WeightSource::Host
        } else {
            WeightSource::WeightStore
        }
    }
}

/// Demand, capacity and join times of a model.
#[derive(Clone, Debug)]
pub struct ModelNeed {
    /// Id of the model in the configuration.
    pub id: ModelId,
    /// Number of VMs in a group of the model.
    pub group_size: usize,
    /// Number of groups that serve, are being formed or have VMs reserved; less for groups with a request limit.
    pub capacity: f64,
    /// Number of groups that the demand would keep fully utilized. Must be above zero.
    pub demand: f64,
    /// Duration of a join with the weights in memory.
    pub memory_join_time: TimeSpan,
    /// Duration of a join with the weights on the host.
    pub host_join_time: TimeSpan,
    /// Duration of a join that loads from the weight store.
    pub load_time: TimeSpan,
}

impl ModelNeed {
    fn served_demand(&self, capacity: f64) -> f64 {
        self.demand * (1.0 - (-SATURATION_RATE * capacity / self.demand).exp())
    }

    /// Value of one more group. It does not depend on the group size, so that capacity follows demand equally well
    /// for models of any size.
    pub fn marginal_value(&self) -> f64 {
        self.served_demand(self.capacity + 1.0) - self.served_demand(self.capacity)
    }

    /// Whether free VMs are kept for another model, whose marginal value is `highest`.
    pub(crate) fn is_held(&self, highest: f64) -> bool {
        self.marginal_value() * HOLD_RATIO < highest
    }

    fn join_time(&self, source: WeightSource) -> TimeSpan {
        match source {
            WeightSource::Memory => self.memory_join_time,
            WeightSource::Host => self.host_join_time,
            WeightSource::WeightStore => self.load_time,
        }
    }
}

/// A group to be formed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedGroup {
    /// Model that the group is to serve.
    pub model: ModelId,
    /// Fabric domain of all members.
    pub domain: FabricDomainId,
    /// Members by rank; the first is the leader.
    pub members: Vec<VmId>,
    /// Expected time until all members have their part of the weights.
    pub join_time: TimeSpan,
    /// Members that have to load from the weight store.
    pub loading: Vec<VmId>,
}

struct Candidate {
    value: f64,
    need: usize,
    domain: FabricDomainId,
    /// Indices into the domain's list of free VMs.
    members: Vec<usize>,
    join_time: TimeSpan,
    loads: usize,
}

fn discount(join_time: TimeSpan) -> f64 {
    let horizon = VALUE_HORIZON.as_millis() as f64;
    let remaining = horizon - join_time.as_millis() as f64;
    (remaining / horizon).max(MIN_DISCOUNT)
}

fn best_candidate(
    need_index: usize,
    need: &ModelNeed,
    domain: &FabricDomainId,
    free: &[FreeVm],
    budget: LoadBudget,
) -> Option<Candidate> {
    if free.len() < need.group_size {
        return None;
    }
    // Of VMs with equally fast weights, those without the weights of other models come first, since joining a group can
    // cost a VM its other weights.
    let mut order: Vec<(WeightSource, usize, usize)> = free
        .iter()
        .enumerate()
        .map(|(position, vm)| {
            let source = vm.weight_source(&need.id);
            (source, vm.other_models(&need.id), position)
        })
        .collect();
    order.sort();
    order.truncate(need.group_size);
    let loads = order
        .iter()
        .filter(|(source, ..)| *source == WeightSource::WeightStore)
        .count();
    if loads > budget.available {
        return None;
    }
    let slowest = order.last().map(|(source, ..)| *source)?;
    let join_time = need.join_time(slowest);
    Some(Candidate {
        value: need.marginal_value() * discount(join_time) / (1.0 + loads as f64 * budget.weight),
        need: need_index,
        domain: domain.clone(),
        members: order.into_iter().map(|(_, _, position)| position).collect(),
        join_time,
        loads,
    })
}

pub(crate) fn highest_marginal_value(needs: &[ModelNeed]) -> f64 {
    needs
        .iter()
        .map(ModelNeed::marginal_value)
        .fold(0.0, f64::max)
}

/// Plans a group of one model from the free VMs of a fabric domain, without loads from the weight store. Returns
/// `None` if too few VMs have the weights.
pub fn plan_domain_group(
    domain: &FabricDomainId,
    free: &[FreeVm],
    need: &ModelNeed,
) -> Option<PlannedGroup> {
    let no_loads = LoadBudget {
        available: 0,
        weight: 0.0,
    };
    let candidate = best_candidate(0, need, domain, free, no_loads)?;
    Some(PlannedGroup {
        model: need.id.clone(),
        domain: candidate.domain,
        members: candidate
            .members
            .iter()
            .map(|position| free[*position].id.clone())
            .collect(),
        join_time: candidate.join_time,
        loading: Vec::new(),
    })
}

/// Plans groups for the free VMs and adds them to the capacities in `needs`.
pub fn plan_groups(
    free: Vec<FreeVm>,
    needs: &mut [ModelNeed],
    mut budget: LoadBudget,
) -> Vec<PlannedGroup> {
    let mut domains: BTreeMap<FabricDomainId, Vec<FreeVm>> = BTreeMap::new();
    for vm in free {
        domains.entry(vm.domain.clone()).or_default().push(vm);
    }
    let largest = needs.iter().map(|need| need.group_size).max().unwrap_or(0);
    let mut planned = Vec::new();
    loop {
        let mut best: Option<Candidate> = None;
        let highest = highest_marginal_value(needs);
        for (domain, free) in &domains {
            for (index, need) in needs.iter().enumerate() {
                if need.is_held(highest) {
                    continue;
                }
                let Some(candidate) = best_candidate(index, need, domain, free, budget) else {
                    continue;
                };
                // Groups of the largest size are placed in the domain with the most free VMs, smaller ones in that
                // with the fewest, to keep room for large groups.
                let is_better = best.as_ref().is_none_or(|best| {
                    let best_free = domains[&best.domain].len();
                    let fits_better = if need.group_size == largest {
                        free.len() > best_free
                    } else {
                        free.len() < best_free
                    };
                    candidate.value > best.value || (candidate.value == best.value && fits_better)
                });
                if is_better {
                    best = Some(candidate);
                }
            }
        }
        let Some(best) = best else {
            return planned;
        };
        budget.available -= best.loads;
        let need = &mut needs[best.need];
        need.capacity += 1.0;
        let free = domains.entry(best.domain.clone()).or_default();
        let members: Vec<VmId> = best
            .members
            .iter()
            .map(|position| free[*position].id.clone())
            .collect();
        let loading = free
            .iter()
            .filter(|vm| members.contains(&vm.id))
            .filter(|vm| !vm.has_weights(&need.id))
            .map(|vm| vm.id.clone())
            .collect();
        free.retain(|vm| !members.contains(&vm.id));
        planned.push(PlannedGroup {
            model: need.id.clone(),
            domain: best.domain,
            members,
            join_time: best.join_time,
            loading,
        });
    }
}

/// A serving group that could be closed to free its VMs for another model.
#[derive(Clone, Debug)]
pub struct DonorGroup {
    /// Name and generation of the group.
    pub key: GroupKey,
    /// Model that the group serves.
    pub model: ModelId,
    /// Fabric domain of the members.
    pub domain: FabricDomainId,
    /// The members in the state they would have after the group is closed.
    pub members: Vec<FreeVm>,
}

/// Hysteresis: factor by which the gain of an exchange has to exceed its loss, so that varying demand does not move
/// VMs back and forth.
const EXCHANGE_MARGIN: f64 = 1.3;

/// Minimum net gain of an exchange, in VMs of fully utilized groups. A smaller gain does not outweigh the interruption.
const MIN_EXCHANGE_GAIN: f64 = 0.1;

/// Part of the value of a closed group that is lost even if its VMs form another one of the same model at once: they serve
/// nothing for some seconds, and the streams of the group are resumed elsewhere, late.
const INTERRUPTION_PART: f64 = 0.5;

/// Groups to close in one fabric domain, to form a group of another model from their VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedExchange {
    /// Groups to close, all of the same model.
    pub donors: Vec<GroupKey>,
    /// Model of the group that is to be formed.
    pub model: ModelId,
    /// Fabric domain of the donors and of the new group.
    pub domain: FabricDomainId,
    /// Net gain in served demand, in VMs of fully utilized groups.
    pub net_gain: f64,
}

/// Served demand of a model that would be lost if `groups` of its groups were closed for good and `interrupted` ones for a
/// moment, in VMs of fully utilized groups.
fn lost_value(need: &ModelNeed, groups: usize, interrupted: usize) -> f64 {
    let lost = |count: usize| {
        let remaining = (need.capacity - count as f64).max(0.0);
        need.served_demand(need.capacity) - need.served_demand(remaining)
    };
    let interruption = lost(interrupted) * INTERRUPTION_PART;
    (lost(groups) + interruption) * need.group_size as f64
}

/// Number of VMs that can join a group of `model` without a load from the weight store.
pub(crate) fn count_with_weights<'a>(
    vms: impl Iterator<Item = &'a FreeVm>,
    model: &ModelId,
) -> usize {
    vms.filter(|vm| vm.has_weights(model)).count()
}

/// Number of groups of `need` that VMs can form without loads.
fn formable<'a>(vms: impl Iterator<Item = &'a FreeVm>, need: &ModelNeed) -> usize {
    count_with_weights(vms, &need.id) / need.group_size.max(1)
}

/// Number of groups of the donors' model that are missing after an exchange, compared to the free VMs forming such groups
/// instead. What is left of the donors and of the free VMs forms such groups again.
fn lost_groups(
    free: &[FreeVm],
    donors: &[&DonorGroup],
    need: &ModelNeed,
    donor_need: &ModelNeed,
) -> usize {
    let closed = donors.iter().flat_map(|donor| &donor.members);
    let mut pool: Vec<&FreeVm> = free.iter().chain(closed).collect();
    // The new group takes the VMs that are of least use for the donors' model.
    pool.sort_by_key(|vm| (!vm.has_weights(&need.id), vm.has_weights(&donor_need.id)));
    let rest = pool.iter().skip(need.group_size).copied();
    let before = donors.len() + formable(free.iter(), donor_need);
    before.saturating_sub(formable(rest, donor_need))
}

/// Plans the exchange of highest net gain in one fabric domain; `None` if none gains enough. `donors` are the domain's
/// serving groups, in order of preference.
///
/// Gains and losses are weighted by the size of the groups, so that a VM counts the same in groups of any size, and the
/// capacities of all models stay in proportion to their demands.
pub fn plan_exchange(
    domain: &FabricDomainId,
    free: &[FreeVm],
    donors: &[DonorGroup],
    needs: &[ModelNeed],
) -> Option<PlannedExchange> {
    let mut best: Option<PlannedExchange> = None;
    for need in needs {
        let group_size = need.group_size as f64;
        let gain = need.marginal_value() * discount(need.host_join_time) * group_size;
        for donor_need in needs.iter().filter(|donor_need| donor_need.id != need.id) {
            let mut chosen: Vec<&DonorGroup> = Vec::new();
            let mut count = count_with_weights(free.iter(), &need.id);
            for donor in donors.iter().filter(|donor| donor.model == donor_need.id) {
                if count >= need.group_size {
                    break;
                }
                let with_weights = count_with_weights(donor.members.iter(), &need.id);
                if with_weights > 0 {
                    count += with_weights;
                    chosen.push(donor);
                }
            }
            if chosen.is_empty() || count < need.group_size {
                continue;
            }
            let lost = lost_groups(free, &chosen, need, donor_need);
            let loss = lost_value(donor_need, lost, chosen.len());
            if gain < loss * EXCHANGE_MARGIN || gain - loss < MIN_EXCHANGE_GAIN {
                continue;
            }
            let net_gain = gain - loss;
            if best.as_ref().is_none_or(|best| net_gain > best.net_gain) {
                best = Some(PlannedExchange {
                    donors: chosen.iter().map(|donor| donor.key.clone()).collect(),
                    model: need.id.clone(),
                    domain: domain.clone(),
                    net_gain,
                });
            }
        }
    }
    best
}
