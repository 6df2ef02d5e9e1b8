//! Demand: how many groups each model is to have, and which model is short most.

use std::cmp::Ordering;

use jaysaddle_types::rules::ModelRule;
use jaysaddle_types::rules::ObjectiveWeights;
use jaysaddle_types::rules::RulesDocument;

/// Value of a group that an account's reserve needs, in units of an ordinary wanted group.
///
/// It must exceed the groups that one repair can take from other models, so that a reserve is
/// restored even at the cost of several groups above their reserves.
const RESERVE_VALUE: f64 = 10.0;

/// Demand for one model.
#[derive(Clone, Debug)]
pub(crate) struct ModelDemand<'a> {
    /// The model's rule.
    pub rule: &'a ModelRule,
    /// VMs of a group.
    pub size: usize,
    /// Groups wanted in the fleet.
    pub wanted: usize,
    /// Requests that a group takes.
    slots: u64,
    /// Requests that the accounts' reserves need of this model.
    floor: u64,
}

impl ModelDemand<'_> {
    /// Thousandths of the reserve that `up` groups leave uncovered.
    pub fn reserve_shortfall(&self, up: usize) -> u64 {
        let covered = self.slots * up as u64;
        match self.floor {
            0 => 0,
            floor => floor.saturating_sub(covered) * 1000 / floor,
        }
    }

    /// Share of the wanted groups that are missing when `up` are there.
    pub fn missing_share(&self, up: usize) -> f64 {
        self.wanted.saturating_sub(up) as f64 / self.wanted.max(1) as f64
    }

    /// Value of one more group when `up` are there.
    pub fn value_of_next(&self, up: usize) -> f64 {
        if up >= self.wanted {
            0.0
        } else if self.reserve_shortfall(up) > 0 {
            RESERVE_VALUE
        } else {
            1.0
        }
    }

    /// Loss of one group when `up` are there.
    pub fn loss_of_last(&self, up: usize) -> f64 {
        self.value_of_next(up.saturating_sub(1))
    }
}

/// Demand for all models.
#[derive(Clone, Debug)]
pub(crate) struct FleetDemand<'a> {
    /// One entry per model with a usable rule, in the order of the rules.
    pub models: Vec<ModelDemand<'a>>,
    /// Weights of the objectives.
    pub weights: ObjectiveWeights,
    /// Whether there are fewer VMs than all wanted groups need.
    pub scarce: bool,
}

impl<'a> FleetDemand<'a> {
    /// Reads the demand from the rules, for `usable` VMs.
    ///
    /// An account's reserve is divided among the models that it may use, in proportion to the
    /// capacity wanted of each, because a reserve names no model.
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
                .filter(|model| model.rule.admits(&account.name))
                .map(|model| model.slots * model.wanted as u64)
                .sum();
            if capacity == 0 {
                continue;
            }
            for model in &mut models {
                if model.rule.admits(&account.name) {
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

    /// Index of the model named in a record.
    pub fn index(&self, name: &jaysaddle_types::ids::ModelId) -> Option<usize> {
        self.models
            .iter()
            .position(|model| model.rule.name == *name)
    }

    /// Orders two models by urgency, given their groups; the more urgent one is less.
    ///
    /// Uncovered reserves come first. Among models whose reserves are covered alike, large groups
    /// come first while there are VMs for all, because small ones still fit into what is left. When
    /// VMs are scarce, weight on downtime prefers small groups, of which the same VMs make more,
    /// and weight on stranded accelerators prefers large ones; with equal weights the model that
    /// misses the larger share of its groups comes first.
    pub fn compare(&self, a: (usize, usize), b: (usize, usize)) -> Ordering {
        let shortfall = |(model, up): (usize, usize)| self.models[model].reserve_shortfall(up);
        let missing = |(model, up): (usize, usize)| self.models[model].missing_share(up);
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

    /// Mean VMs of a group; converts stranded VMs into units of a group.
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
