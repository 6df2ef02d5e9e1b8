//! Placement planner and shard controller.

mod blocked;
mod bound;
mod build;
pub mod check;
pub mod controller;
mod demand;
pub mod event;
mod fill;
mod finish;
mod loads;
mod orders;
pub mod plan;
pub mod planner;
mod rollout;
pub mod settings;
mod storing;
mod work;
mod writing;

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
