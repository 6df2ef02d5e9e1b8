//! Demand for models, in concurrent requests: the rate of requests times their usual duration.
//!
//! The number of requests in flight would grow with the load of the groups and is no measure of what is asked
//! for.

use std::collections::BTreeMap;

use jaysaddle_types::ids::ModelId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time constant of the average rate. Short enough to follow a jump of the traffic, long enough to pass over the
/// noise of some tens of requests.
const AVERAGING: TimeSpan = TimeSpan(3000);

/// Share of the first estimate that stays as a floor, so that a model without traffic keeps a group.
const FLOOR_SHARE: f64 = 0.1;

/// Time after the first request during which the first estimate holds.
const WARM_UP: TimeSpan = TimeSpan(3000);

/// Demand for each model.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    demands: BTreeMap<ModelId, ModelDemand>,
    first_request: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct ModelDemand {
    first_estimate: f64,
    /// Requests a second.
    rate: f64,
    duration_ms: f64,
    arrivals: Option<u64>,
    updated: Timestamp,
}

impl DemandMeter {
    /// Sets the estimate that holds until enough traffic was seen.
    pub fn expect(&mut self, model: &ModelId, places: f64, now: Timestamp) {
        let demand = self.demands.entry(model.clone()).or_insert(ModelDemand {
            first_estimate: places,
            rate: 0.0,
            duration_ms: 0.0,
            arrivals: None,
            updated: now,
        });
        demand.first_estimate = places;
    }

    /// Takes over the number of requests that all nodes have had for `model`, and their usual duration.
    pub fn observe(&mut self, model: &ModelId, arrivals: u64, duration_ms: f64, now: Timestamp) {
        if arrivals > 0 && self.first_request.is_none() {
            self.first_request = Some(now);
        }
        let Some(demand) = self.demands.get_mut(model) else {
            return;
        };
        demand.duration_ms = duration_ms;
        let elapsed = now.since(demand.updated).as_millis() as f64;
        let before = demand.arrivals.replace(arrivals);
        demand.updated = now;
        let Some(before) = before else {
            return;
        };
        if elapsed > 0.0 {
            // A node that restarts counts anew; the sum of the counts falls then.
            let rate = arrivals.saturating_sub(before) as f64 * 1000.0 / elapsed;
            let weight = 1.0 - (-elapsed / AVERAGING.as_millis() as f64).exp();
            demand.rate += (rate - demand.rate) * weight;
        }
    }

    /// Whether any request was seen.
    pub fn has_traffic(&self) -> bool {
        self.first_request.is_some()
    }

    /// Whether enough traffic was seen for the demand to be measured.
    pub fn is_measured(&self, now: Timestamp) -> bool {
        self.first_request
            .is_some_and(|first| now.since(first) >= WARM_UP)
    }

    /// Demand for `model`, never zero.
    pub fn places(&self, model: &ModelId, now: Timestamp) -> f64 {
        let Some(demand) = self.demands.get(model) else {
            return 1.0;
        };
        if !self.is_measured(now) {
            return demand.first_estimate.max(1.0);
        }
        let places = demand.rate * demand.duration_ms / 1000.0;
        places.max(demand.first_estimate * FLOOR_SHARE).max(1.0)
    }
}
