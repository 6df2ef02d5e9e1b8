//! Leases that assign the control of each shard to one node, with fencing tokens.
//!
//! A lease is an object in the store. Conditional writes decide which node holds it, and its epoch
//! is the fencing token that the holder adds to its orders.

pub mod event;
mod explain;
mod rank;
pub mod settings;
mod shard;
mod store_outcome;
pub mod table;

pub use event::LeaseCandidate;
pub use event::LeaseEffect;
pub use event::LeaseEvent;
pub use event::LeaseRecord;
pub use event::ShardLocation;
pub use settings::LeaseSettings;
pub use table::LeaseTable;
