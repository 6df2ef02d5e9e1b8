//! Demand for groups: the number that each model is to have, and the urgency of each model.

use std::cmp::Ordering;

use jaysaddle_types::rules::ModelRule;
use jaysaddle_types::rules::ObjectiveWeights;
use jaysaddle_types::rules::RulesDocument;

/// Value of a group that an account's reserve depends on; a wanted group beyond the reserve
/// has value 1.
///
/// It exceeds the number of groups that one repair can take from other models, so that a reserve is
/// restored even at the cost of several groups beyond the reserves.
const RESERVE_VALUE: f64 = 10.0;

/// Demand for the groups of one model.
#[derive(Clone, Debug)]
pub(crate) struct ModelDemand<'a> {
    /// Rule that the demand is derived from.
    pub rule: &'a ModelRule,
    /// VMs per group; at least 1.
    pub size: usize,
    /// Number of groups wanted in the whole fleet.
    pub wanted: usize,
    /// Concurrent requests that one group serves.
    slots: u64,
    /// Slots of this model that the accounts' reserves require.
    floor: u64,
}

impl ModelDemand<'_> {
    /// Fraction of the reserve, in thousandths, that `group_count` groups do not cover.
    pub fn reserve_shortfall(&self, group_count: usize) -> u64 {
        let covered = self.slots * group_count as u64;
        match self.floor {
            0 => 0,
            floor => floor.saturating_sub(covered) * 1000 / floor,
        }
    }

    /// Fraction of the wanted groups that is missing when the model has `group_count` groups.
    pub fn missing_share(&self, group_count: usize) -> f64 {
        self.wanted.saturating_sub(group_count) as f64 / self.wanted.max(1) as f64
    }

    /// Value of one additional group when the model has `group_count` groups.
    pub fn value_of_next(&self, group_count: usize) -> f64 {
        if group_count >= self.wanted {
            0.0
        } else if self.reserve_shortfall(group_count) > 0 {
            RESERVE_VALUE
        } else {
            1.0
        }
    }

    /// Value lost by removing one of `group_count` groups.
    pub fn loss_of_last(&self, group_count: usize) -> f64 {
        self.value_of_next(group_count.saturating_sub(1))
    }
}

/// Demand for the groups of all models.
#[derive(Clone, Debug)]
pub(crate) struct FleetDemand<'a> {
    /// One entry per model, in the order of the rules; rules with groups of 0 VMs are left out.
    pub models: Vec<ModelDemand<'a>>,
    /// Weights of downtime and of stranded accelerators.
    pub weights: ObjectiveWeights,
    /// Whether all wanted groups together need more VMs than are usable.
    pub scarce: bool,
}

impl<'a> FleetDemand<'a> {
    /// Derives the demand from the rules, given the number of usable VMs.
    ///
    /// A reserve names no model. It is divided among the models that the account may use, in
    /// proportion to the wanted capacity of each.
    pub fn new(rules: &'a RulesDocument, usable: usize) -> Self {
        let mut models: Vec<ModelDemand<'a>> = Vec::new();
        for rule in rules.models.iter().filter(|rule| rule.vms_per_group > 0) {
            let is_duplicate = models.iter().any(|model| model.rule.name == rule.name);
            if !is_duplicate {
                models.push(ModelDemand {
                    rule,
                    size: rule.vms_per_group as usize,
                    wanted: rule.groups as usize,
                    slots: u64::from(rule.slots_per_group.0),
                    floor: 0,
                });
            }
        }
        for account in &rules.accounts {
            let capacity: u64 = models
                .iter()
                .filter(|model| model.rule.allows_account(&account.name))
                .map(|model| model.slots * model.wanted as u64)
                .sum();
            if capacity == 0 {
                continue;
            }
            for model in &mut models {
                if model.rule.allows_account(&account.name) {
                    let part = model.slots * model.wanted as u64;
                    let reserved = u64::from(account.reserved_slots.0);
                    model.floor += (reserved * part).div_ceil(capacity);
                }
            }
        }
        let needed: usize = models.iter().map(|model| model.wanted * model.size).sum();
        Self {
            models,
            weights: rules.objective,
            scarce: usable < needed,
        }
    }

    /// Index in `models` of the model with this name; absent when no usable rule names it.
    pub fn index(&self, name: &jaysaddle_types::ids::ModelId) -> Option<usize> {
        self.models
            .iter()
            .position(|model| model.rule.name == *name)
    }

    /// Compares two models, each with its number of groups, by urgency; the more urgent is less.
    ///
    /// The larger reserve shortfall comes first. On a tie, and with enough VMs for all groups,
    /// large groups come first because small ones still fit into the remaining VMs. When VMs are
    /// scarce, a higher weight on downtime prefers small groups, since the same VMs form more of
    /// them, and a higher weight on stranded accelerators prefers large ones. With equal weights,
    /// the model that misses the larger fraction of its groups comes first.
    pub fn compare(&self, a: (usize, usize), b: (usize, usize)) -> Ordering {
        let shortfall =
            |(model, count): (usize, usize)| self.models[model].reserve_shortfall(count);
        let missing = |(model, count): (usize, usize)| self.models[model].missing_share(count);
        let preference = if self.scarce {
            self.weights.stranded - self.weights.downtime
        } else {
            1.0
        };
        let size = |(model, _): (usize, usize)| preference * self.models[model].size as f64;
        shortfall(b)
            .cmp(&shortfall(a))
            .then_with(|| size(b).total_cmp(&size(a)))
            .then_with(|| missing(b).total_cmp(&missing(a)))
            .then(a.0.cmp(&b.0))
    }

    /// Mean number of VMs per wanted group, used to express idle VMs as a number of groups.
    pub fn mean_size(&self) -> f64 {
        let groups: usize = self.models.iter().map(|model| model.wanted).sum();
        let vms: usize = self
            .models
            .iter()
            .map(|model| model.wanted * model.size)
            .sum();
        if groups == 0 {
            1.0
        } else {
            vms as f64 / groups as f64
        }
    }
}
