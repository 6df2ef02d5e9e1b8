//! Evidence about VMs and backend servers.

mod contact;
mod damping;
pub mod event;
mod explain;
mod judge;
mod latency;
mod probing;
mod record;
mod rendezvous;
pub mod settings;
mod sources;
pub mod tracker;
mod watch;

pub use event::AttemptFinding;
pub use event::HealthEffect;
pub use event::HealthEvent;
pub use event::HealthTarget;
pub use event::ProbeFailure;
pub use event::WatcherPlace;
pub use settings::HealthSettings;
pub use tracker::HealthTracker;
