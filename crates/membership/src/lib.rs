//! Membership and dissemination between daemons.

pub mod event;
pub mod settings;
pub mod tracker;

pub use event::MembershipEffect;
pub use event::MembershipEvent;
pub use event::RumorBody;
pub use settings::MembershipSettings;
pub use tracker::MembershipTracker;
