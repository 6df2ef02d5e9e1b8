//! Demand for models, in groups that it would keep fully busy.
//!
//! Each request brings a known amount of work: the prompt to read and the tokens to write. The number of requests
//! in flight is no measure of what is asked for, because it grows with the load of the groups.

use std::collections::BTreeMap;

use jaysaddle_types::ids::ModelId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::controller::NodeTraffic;

/// Time constant of the average rate. Short enough to follow a jump of the traffic, long enough to pass over the
/// noise of some tens of requests.
const AVERAGING: TimeSpan = TimeSpan(3000);

/// Share of the first estimate that stays as a floor, so that a model without traffic keeps a group.
const FLOOR_SHARE: f64 = 0.1;

/// Least demand, in groups; it keeps the arithmetic of shares defined.
const LEAST_GROUPS: f64 = 0.05;

/// Starts of nodes that are remembered.
const MAX_NODES: usize = 2048;

/// Time after the first request during which the first estimate holds.
const WARM_UP: TimeSpan = TimeSpan(3000);

/// Demand for each model.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    demands: BTreeMap<ModelId, ModelDemand>,
    /// What each node has told of last. Nodes that are not heard of for a while stay, so that their return is no
    /// jump of the demand.
    told: BTreeMap<NodeKey, BTreeMap<ModelId, u64>>,
    updated: Option<Timestamp>,
    first_request: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct ModelDemand {
    first_estimate: f64,
    /// Groups that the work which arrives would keep busy.
    busy_groups: f64,
}

impl DemandEstimator {
    /// Sets the estimate that holds until enough traffic was seen.
    pub fn expect(&mut self, model: &ModelId, groups: f64) {
        let demand = self.demands.entry(model.clone()).or_insert(ModelDemand {
            first_estimate: groups,
            busy_groups: 0.0,
        });
        demand.first_estimate = groups;
    }

    /// Takes over the work that the nodes have had.
    pub fn observe(&mut self, traffic: Vec<NodeTraffic>, now: Timestamp) {
        let mut new: BTreeMap<ModelId, u64> = BTreeMap::new();
        for node in traffic {
            let has_work = node.work.iter().any(|(_, work_ms)| *work_ms > 0);
            if has_work && self.first_request.is_none() {
                self.first_request = Some(now);
            }
            let is_known = self.told.contains_key(&node.node);
            let told = self.told.entry(node.node).or_default();
            for (model, work_ms) in node.work {
                let before = told.insert(model.clone(), work_ms).unwrap_or(0);
                if is_known {
                    *new.entry(model).or_default() += work_ms.saturating_sub(before);
                }
            }
        }
        while self.told.len() > MAX_NODES {
            self.told.pop_first();
        }
        let Some(updated) = self.updated.replace(now) else {
            return;
        };
        let elapsed = now.since(updated).as_millis() as f64;
        if elapsed <= 0.0 {
            return;
        }
        let weight = 1.0 - (-elapsed / AVERAGING.as_millis() as f64).exp();
        for (model, demand) in &mut self.demands {
            let busy = new.get(model).copied().unwrap_or(0) as f64 / elapsed;
            demand.busy_groups += (busy - demand.busy_groups) * weight;
        }
    }

    /// Whether any request was seen.
    pub fn has_traffic(&self) -> bool {
        self.first_request.is_some()
    }

    /// Whether enough traffic was seen for the demand to be measured.
    fn is_measured(&self, now: Timestamp) -> bool {
        self.first_request
            .is_some_and(|first| now.since(first) >= WARM_UP)
    }

    /// Groups of `model` that the demand would keep fully busy; never zero.
    pub fn groups(&self, model: &ModelId, now: Timestamp) -> f64 {
        let Some(demand) = self.demands.get(model) else {
            return LEAST_GROUPS;
        };
        if !self.is_measured(now) {
            return demand.first_estimate.max(LEAST_GROUPS);
        }
        demand
            .busy_groups
            .max(demand.first_estimate * FLOOR_SHARE)
            .max(LEAST_GROUPS)
    }
}
