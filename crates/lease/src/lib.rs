//! Control leases with fencing.

pub mod event;
pub mod settings;
pub mod table;

pub use event::CandidatePlace;
pub use event::LeaseEffect;
pub use event::LeaseEvent;
pub use event::LeaseRecord;
pub use event::ShardPlace;
pub use settings::LeaseSettings;
pub use table::LeaseTable;
