//! Demand for each model, as the number of groups that it would keep fully utilized.
//!
//! The demand is the rate of arriving work, which is known from the prompt length and the number of tokens to generate.
//! The number of requests in flight does not measure demand, because it also grows when groups are overloaded.

use std::collections::BTreeMap;

use jaysaddle_types::ids::ModelId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::controller::NodeTraffic;

/// Time constant of the moving average: short enough to follow a step in traffic, long enough to smooth the noise of
/// some tens of requests.
const AVERAGING_TIME: TimeSpan = TimeSpan(3000);

/// Fraction of the initial estimate that remains as a lower bound, so that a model without traffic keeps a group.
const FLOOR_FRACTION: f64 = 0.1;

/// Minimum demand, in groups. The planner divides by the demand, so it must not be zero.
const MIN_GROUPS: f64 = 0.05;

/// Maximum number of node incarnations whose counters are kept.
const MAX_NODES: usize = 2048;

/// Time after the first request for which the initial estimate is used.
const WARM_UP: TimeSpan = TimeSpan(3000);

/// Estimates the demand for each model from the nodes' cumulative work counters.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    demands: BTreeMap<ModelId, ModelDemand>,
    /// Last counters of each node. They are kept while a node is unreachable, so that its return does not appear as a
    /// step in demand.
    last_counters: BTreeMap<NodeKey, BTreeMap<ModelId, u64>>,
    updated: Option<Timestamp>,
    first_request: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct ModelDemand {
    initial_estimate: f64,
    /// Moving average of the arriving work, in fully utilized groups.
    busy_groups: f64,
}

impl DemandEstimator {
    /// Sets the estimate that is used until enough traffic has been observed.
    pub fn set_initial_estimate(&mut self, model: &ModelId, groups: f64) {
        let demand = self.demands.entry(model.clone()).or_insert(ModelDemand {
            initial_estimate: groups,
            busy_groups: 0.0,
        });
        demand.initial_estimate = groups;
    }

    /// Updates the averages from the nodes' work counters. The first counters of a node are only a baseline.
    pub fn observe(&mut self, traffic: Vec<NodeTraffic>, now: Timestamp) {
        let mut new_work: BTreeMap<ModelId, u64> = BTreeMap::new();
        for node in traffic {
            let has_work = node.work.iter().any(|(_, work_ms)| *work_ms > 0);
            if has_work && self.first_request.is_none() {
                self.first_request = Some(now);
            }
            let has_baseline = self.last_counters.contains_key(&node.node);
            let counters = self.last_counters.entry(node.node).or_default();
            for (model, work_ms) in node.work {
                let before = counters.insert(model.clone(), work_ms).unwrap_or(0);
                if has_baseline {
                    *new_work.entry(model).or_default() += work_ms.saturating_sub(before);
                }
            }
        }
        while self.last_counters.len() > MAX_NODES {
            self.last_counters.pop_first();
        }
        let Some(updated) = self.updated.replace(now) else {
            return;
        };
        let elapsed = now.since(updated).as_millis() as f64;
        if elapsed <= 0.0 {
            return;
        }
        let weight = 1.0 - (-elapsed / AVERAGING_TIME.as_millis() as f64).exp();
        for (model, demand) in &mut self.demands {
            let busy = new_work.get(model).copied().unwrap_or(0) as f64 / elapsed;
            demand.busy_groups += (busy - demand.busy_groups) * weight;
        }
    }

    /// Whether any node has reported work.
    pub fn has_traffic(&self) -> bool {
        self.first_request.is_some()
    }

    /// Whether enough traffic has been observed to use the averages.
    fn is_warmed_up(&self, now: Timestamp) -> bool {
        self.first_request
            .is_some_and(|first| now.since(first) >= WARM_UP)
    }

    /// Number of groups of `model` that the demand would keep fully utilized; always above zero.
    pub fn groups(&self, model: &ModelId, now: Timestamp) -> f64 {
        let Some(demand) = self.demands.get(model) else {
            return MIN_GROUPS;
        };
        if !self.is_warmed_up(now) {
            return demand.initial_estimate.max(MIN_GROUPS);
        }
        demand
            .busy_groups
            .max(demand.initial_estimate * FLOOR_FRACTION)
            .max(MIN_GROUPS)
    }
}
