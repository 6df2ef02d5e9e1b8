//! Control leases with fencing.

mod answers;
pub mod event;
mod explain;
mod rank;
pub mod settings;
mod shard;
pub mod table;

pub use event::LeaseCandidate;
pub use event::LeaseEffect;
pub use event::LeaseEvent;
pub use event::LeaseRecord;
pub use event::ShardLocation;
pub use settings::LeaseSettings;
pub use table::LeaseTable;
