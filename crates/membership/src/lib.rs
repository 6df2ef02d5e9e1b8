//! Membership and dissemination between daemons.
//!
//! The protocol follows SWIM: random probes, indirect probes, suspicion that a live node refutes,
//! and rumors piggybacked on probes. Anti-entropy delivers rumors that were missed.

mod budget;
mod digest;
mod exchange;
mod outbox;
mod peers;
mod probe;
mod random;
mod recent_peers;
mod sync;
mod timers;

pub mod claim;
pub mod convert;
pub mod event;
pub mod facts;
pub mod settings;
pub mod tracker;

pub use event::MembershipEffect;
pub use event::MembershipEvent;
pub use event::RumorBody;
pub use settings::MembershipSettings;
pub use tracker::MembershipTracker;
