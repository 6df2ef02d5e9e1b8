//! Evidence about VMs and backend servers.

pub mod event;
pub mod settings;
pub mod tracker;

pub use event::AttemptFinding;
pub use event::HealthEffect;
pub use event::HealthEvent;
pub use event::HealthTarget;
pub use event::ProbeFailure;
pub use event::WatcherPlace;
pub use settings::HealthSettings;
pub use tracker::HealthTracker;
