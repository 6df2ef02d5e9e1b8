//! Assignment of VMs to serving groups.
//!
//! [`PlacementPlanner`] computes, from the state of the fleet, which VMs form which groups.
//! [`ShardController`] stores the plan for the fabric domains (shards) whose lease this node holds,
//! and sends the engines the orders that follow from the stored placement.

mod allocation;
mod blocked;
pub mod check;
pub mod controller;
mod demand;
mod documents;
mod draft;
mod draft_build;
pub mod event;
mod load_admission;
mod orders;
pub mod plan;
pub mod planner;
mod rollout;
pub mod settings;
mod store_calls;
mod store_writes;
mod stranded;

pub use check::Violation;
pub use check::check_documents;
pub use controller::ShardController;
pub use event::ShardEffect;
pub use event::ShardEvent;
pub use plan::BlockedItem;
pub use plan::PlacementPlan;
pub use plan::PlannerGroup;
pub use plan::PlannerInput;
pub use plan::PlannerVm;
pub use planner::PlacementPlanner;
pub use settings::PlacementSettings;
pub use settings::RepairPolicy;
