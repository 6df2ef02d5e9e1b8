//! Placement planner and shard controller.

pub mod event;
pub mod plan;
pub mod settings;

pub use event::ShardEffect;
pub use event::ShardEvent;
pub use plan::BlockedItem;
pub use plan::PlacementPlan;
pub use plan::PlannerGroup;
pub use plan::PlannerInput;
pub use plan::PlannerVm;
pub use settings::PlacementSettings;
