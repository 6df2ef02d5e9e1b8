//! The shard controller: stores the planner's intent and orders engines to follow it.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::units::Timestamp;

use crate::event::ShardEffect;
use crate::event::ShardEvent;
use crate::plan::PlacementPlan;
use crate::planner::PlacementPlanner;
use crate::settings::PlacementSettings;

/// Controls the placement of the shards that this node holds.
#[derive(Debug)]
pub struct ShardController {
    planner: PlacementPlanner,
    own: NodeKey,
    seed: u64,
    placements: BTreeMap<FabricDomainId, (ObjectVersion, PlacementDocument)>,
    last_plan: Option<PlacementPlan>,
}

impl ShardController {
    /// A controller that holds nothing yet. `seed` sets the jitter of its retries.
    pub fn new(settings: PlacementSettings, own: NodeKey, seed: u64) -> Self {
        Self {
            planner: PlacementPlanner::new(settings),
            own,
            seed,
            placements: BTreeMap::new(),
            last_plan: None,
        }
    }

    /// Handles one event.
    pub fn step(&mut self, _event: ShardEvent, _now: Timestamp) -> Vec<ShardEffect> {
        let _ = (&self.planner, &self.own, self.seed);
        Vec::new()
    }

    /// The placements as last read, watched or written, with their versions.
    pub fn placements(&self) -> &BTreeMap<FabricDomainId, (ObjectVersion, PlacementDocument)> {
        &self.placements
    }

    /// The latest plan.
    pub fn last_plan(&self) -> Option<&PlacementPlan> {
        self.last_plan.as_ref()
    }

    /// What is known about a group, one line each.
    pub fn explain_group(&self, _id: &GroupId) -> Vec<CompactString> {
        Vec::new()
    }

    /// What is known about a VM's place, one line each.
    pub fn explain_vm(&self, _vm: &VmId) -> Vec<CompactString> {
        Vec::new()
    }
}
