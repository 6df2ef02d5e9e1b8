//! Which groups to form from VMs that are free.
//!
//! Where a model lacks VMs that another model's groups hold, the planner names groups to close for it.
//!
//! A group's value is the demand that it adds to what is served, with diminishing returns, discounted
//! by the time until it serves. The planner takes the best group, again and again, until no group fits.

use std::collections::BTreeMap;

use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::units::TimeSpan;

/// Steepness of the diminishing returns: at a capacity equal to the demand, about three quarters of the value
/// are reached, because bursts and lost groups need the rest.
const SATURATION: f64 = 1.3;

/// Time over which a group is expected to be of use; a group that is ready later than this is worth nothing
/// against one that is ready now.
const HORIZON: TimeSpan = TimeSpan::from_secs(24);

/// Least part of a group's value that the discount leaves, so that slow groups are formed when nothing else
/// can be.
const LEAST_DISCOUNT: f64 = 0.05;

/// Ratio of marginal values from which free VMs are kept for the model that needs them more, although a group of
/// another model could be formed at once.
const HOLD_RATIO: f64 = 3.0;

/// Loads from the weight store that may start, and how much they matter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBudget {
    /// Loads that may start now.
    pub available: usize,
    /// Weight of one load against a group that needs none: with 1, a group with one load has to be worth twice
    /// as much. 0 while loads are free.
    pub weight: f64,
}

/// How a VM would come to hold a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JoinSource {
    /// It held the model in its last group.
    Memory,
    /// The weights are on its host.
    Host,
    /// The weights have to be loaded from the weight store.
    WeightStore,
}

/// A VM that no group holds.
#[derive(Clone, Debug)]
pub struct FreeVm {
    /// The VM.
    pub id: VmId,
    /// Its fabric domain.
    pub domain: FabricDomainId,
    /// Model of its last group.
    pub last_model: Option<ModelId>,
    /// Models on its host.
    pub staged: Vec<ModelId>,
}

impl FreeVm {
    /// Whether this VM can join a group of `model` without a load.
    pub fn has_weights(&self, model: &ModelId) -> bool {
        self.source_of(model) < JoinSource::WeightStore
    }

    /// How this VM would come to hold `model`.
    pub fn source_of(&self, model: &ModelId) -> JoinSource {
        if self.last_model.as_ref() == Some(model) {
            JoinSource::Memory
        } else if self.staged.contains(model) {
            JoinSource::Host
        } else {
            JoinSource::WeightStore
        }
    }
}

/// A model, what it needs and what it has.
#[derive(Clone, Debug)]
pub struct ModelNeed {
    /// The model.
    pub id: ModelId,
    /// VMs in a group.
    pub group_size: usize,
    /// Groups that serve or are being formed.
    pub capacity: f64,
    /// Groups that the demand would keep fully busy.
    pub demand: f64,
    /// Time of a join from memory.
    pub memory_join_time: TimeSpan,
    /// Time of a join from the host.
    pub host_join_time: TimeSpan,
    /// Time of a join with a load, at the present number of loads.
    pub load_time: TimeSpan,
}

impl ModelNeed {
    fn served(&self, capacity: f64) -> f64 {
        self.demand * (1.0 - (-SATURATION * capacity / self.demand).exp())
    }

    /// Value of one more group. It does not count the group's size: capacity follows demand alike for all models.
    pub fn marginal_value(&self) -> f64 {
        self.served(self.capacity + 1.0) - self.served(self.capacity)
    }

    fn join_time(&self, source: JoinSource) -> TimeSpan {
        match source {
            JoinSource::Memory => self.memory_join_time,
            JoinSource::Host => self.host_join_time,
            JoinSource::WeightStore => self.load_time,
        }
    }
}

/// A group to be formed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedGroup {
    /// Model.
    pub model: ModelId,
    /// Fabric domain of all members.
    pub domain: FabricDomainId,
    /// Members; the first is the leader.
    pub members: Vec<VmId>,
    /// Expected time until all members hold their parts.
    pub join_time: TimeSpan,
    /// Members that load from the weight store.
    pub loading: Vec<VmId>,
}

struct Candidate {
    value: f64,
    need: usize,
    domain: FabricDomainId,
    /// Positions in the domain's list of free VMs.
    members: Vec<usize>,
    join_time: TimeSpan,
    loads: usize,
}

fn discount(join_time: TimeSpan) -> f64 {
    let horizon = HORIZON.as_millis() as f64;
    let rest = horizon - join_time.as_millis() as f64;
    (rest / horizon).max(LEAST_DISCOUNT)
}

fn candidate(
    need_index: usize,
    need: &ModelNeed,
    domain: &FabricDomainId,
    free: &[FreeVm],
    budget: LoadBudget,
) -> Option<Candidate> {
    if free.len() < need.group_size {
        return None;
    }
    let mut order: Vec<(JoinSource, usize)> = free
        .iter()
        .enumerate()
        .map(|(position, vm)| (vm.source_of(&need.id), position))
        .collect();
    order.sort();
    order.truncate(need.group_size);
    let loads = order
        .iter()
        .filter(|(source, _)| *source == JoinSource::WeightStore)
        .count();
    if loads > budget.available {
        return None;
    }
    let slowest = order.last().map(|(source, _)| *source)?;
    let join_time = need.join_time(slowest);
    Some(Candidate {
        value: need.marginal_value() * discount(join_time) / (1.0 + loads as f64 * budget.weight),
        need: need_index,
        domain: domain.clone(),
        members: order.into_iter().map(|(_, position)| position).collect(),
        join_time,
        loads,
    })
}

fn highest_marginal_value(needs: &[ModelNeed]) -> f64 {
    needs
        .iter()
        .map(ModelNeed::marginal_value)
        .fold(0.0, f64::max)
}

/// A group of one model from the free VMs of a fabric domain, without a load from the weight store.
pub fn plan_one(
    domain: &FabricDomainId,
    free: &[FreeVm],
    need: &ModelNeed,
) -> Option<PlannedGroup> {
    let no_loads = LoadBudget {
        available: 0,
        weight: 0.0,
    };
    let candidate = candidate(0, need, domain, free, no_loads)?;
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

/// Chooses groups for the free VMs. `needs` is updated with the capacity of the chosen groups.
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
                if need.marginal_value() * HOLD_RATIO < highest {
                    continue;
                }
                let Some(candidate) = candidate(index, need, domain, free, budget) else {
                    continue;
                };
                // Large groups go where most VMs are free and small ones where fewest are, so that room for
                // large groups stays.
                let is_better = best.as_ref().is_none_or(|best| {
                    let room = domains[&best.domain].len();
                    let fits_better = if need.group_size == largest {
                        free.len() > room
                    } else {
                        free.len() < room
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

/// A group that serves, as a possible source of VMs.
#[derive(Clone, Debug)]
pub struct DonorGroup {
    /// The group.
    pub key: GroupKey,
    /// Its model.
    pub model: ModelId,
    /// Its fabric domain.
    pub domain: FabricDomainId,
    /// Its members, as they would be free.
    pub members: Vec<FreeVm>,
}

/// Factor by which the gain of an exchange has to exceed its loss, so that groups are not exchanged back and
/// forth when the demand varies.
const EXCHANGE_MARGIN: f64 = 1.3;

/// Least gain of an exchange, in the demand of busy groups; smaller ones are not worth the pause.
const LEAST_EXCHANGE_GAIN: f64 = 0.05;

/// Groups to close in one fabric domain, for a group of another model.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedExchange {
    /// Groups to close.
    pub donors: Vec<GroupKey>,
    /// Model that gets their VMs.
    pub model: ModelId,
    /// Fabric domain.
    pub domain: FabricDomainId,
    /// Demand that is served more, in busy groups.
    pub value: f64,
}

fn loss_of(need: &ModelNeed, groups: usize) -> f64 {
    let rest = need.capacity - groups as f64;
    need.served(need.capacity) - need.served(rest.max(0.0))
}

/// Number of VMs, out of all, that hold or have staged `model`.
pub(crate) fn quick_count<'a>(vms: impl Iterator<Item = &'a FreeVm>, model: &ModelId) -> usize {
    vms.filter(|vm| vm.has_weights(model)).count()
}

/// The best exchange in one fabric domain, if any is worth it. `donors` are the groups of the domain, the least
/// busy first.
pub fn plan_exchange(
    domain: &FabricDomainId,
    free: &[FreeVm],
    donors: &[DonorGroup],
    needs: &[ModelNeed],
) -> Option<PlannedExchange> {
    let mut best: Option<PlannedExchange> = None;
    for need in needs {
        let gain = need.marginal_value() * discount(need.host_join_time);
        for giver in needs.iter().filter(|giver| giver.id != need.id) {
            let mut chosen: Vec<&DonorGroup> = Vec::new();
            let mut count = quick_count(free.iter(), &need.id);
            for donor in donors.iter().filter(|donor| donor.model == giver.id) {
                if count >= need.group_size {
                    break;
                }
                let quick = quick_count(donor.members.iter(), &need.id);
                if quick > 0 {
                    count += quick;
                    chosen.push(donor);
                }
            }
            if chosen.is_empty() || count < need.group_size {
                continue;
            }
            let loss = loss_of(giver, chosen.len());
            if gain < loss * EXCHANGE_MARGIN || gain - loss < LEAST_EXCHANGE_GAIN {
                continue;
            }
            let value = gain - loss;
            if best.as_ref().is_none_or(|best| value > best.value) {
                best = Some(PlannedExchange {
                    donors: chosen.iter().map(|donor| donor.key.clone()).collect(),
                    model: need.id.clone(),
                    domain: domain.clone(),
                    value,
                });
            }
        }
    }
    best
}
