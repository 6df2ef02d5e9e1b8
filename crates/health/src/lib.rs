//! Health tracking of VMs and backend servers.
//!
//! Each VM is probed by a few watcher nodes, which publish their findings. [`HealthTracker`]
//! combines the findings with other evidence into the state of each VM. It performs no I/O: it
//! consumes events and returns effects.

mod damping;
mod evaluation;
pub mod event;
mod explain;
mod isolation;
mod latency;
mod probe_state;
mod probing;
mod record;
mod rendezvous;
pub mod settings;
mod sources;
pub mod tracker;

pub use event::AttemptFinding;
pub use event::HealthEffect;
pub use event::HealthEvent;
pub use event::HealthTarget;
pub use event::ProbeFailure;
pub use event::WatcherNode;
pub use settings::HealthSettings;
pub use tracker::HealthTracker;
