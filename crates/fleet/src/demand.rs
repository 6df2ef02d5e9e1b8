//! Demand for models, in concurrent requests.

use std::collections::BTreeMap;

use jaysaddle_types::ids::ModelId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time constant of the average. Short enough to follow a jump of the traffic, long enough to pass over the
/// noise of some tens of requests.
const AVERAGING: TimeSpan = TimeSpan(4000);

/// Share of the first estimate that stays as a floor, so that a model without traffic keeps a group.
const FLOOR_SHARE: f64 = 0.15;

/// Demand for each model.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    demands: BTreeMap<ModelId, ModelDemand>,
}

#[derive(Clone, Copy, Debug)]
struct ModelDemand {
    first_estimate: f64,
    average: f64,
    updated: Timestamp,
    has_traffic: bool,
}

impl DemandMeter {
    /// Sets the estimate that holds until traffic is seen.
    pub fn expect(&mut self, model: &ModelId, places: f64, now: Timestamp) {
        let demand = self.demands.entry(model.clone()).or_insert(ModelDemand {
            first_estimate: places,
            average: places,
            updated: now,
            has_traffic: false,
        });
        demand.first_estimate = places;
        if !demand.has_traffic {
            demand.average = places;
        }
    }

    /// Takes over the number of requests that run, wait or were refused at this time.
    pub fn observe(&mut self, model: &ModelId, places: f64, now: Timestamp) {
        let Some(demand) = self.demands.get_mut(model) else {
            return;
        };
        if !demand.has_traffic {
            if places <= 0.0 {
                return;
            }
            demand.has_traffic = true;
        }
        let elapsed = now.since(demand.updated).as_millis() as f64;
        let weight = 1.0 - (-elapsed / AVERAGING.as_millis() as f64).exp();
        demand.average += (places - demand.average) * weight;
        demand.updated = now;
    }

    /// Demand for `model`, never zero.
    pub fn places(&self, model: &ModelId) -> f64 {
        self.demands.get(model).map_or(1.0, |demand| {
            demand
                .average
                .max(demand.first_estimate * FLOOR_SHARE)
                .max(1.0)
        })
    }
}
