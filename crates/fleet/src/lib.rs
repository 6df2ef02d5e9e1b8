//! Fleet state: registered backend servers, groups, peer nodes, the controller's lease and the controller.
//!
//! The state machines in this crate turn events into effects. Sockets, the platform's store and the clock are in
//! `jaysaddle-entry`.

pub mod controller;
pub mod crash_report;
pub mod demand;
pub mod digest;
pub mod evacuation;
pub mod groups;
pub mod heartbeat_round;
pub mod lease;
pub mod leaving;
pub mod load_rate;
pub mod peer_totals;
pub mod peers;
pub mod plan;
pub mod relays;
pub mod staging_plan;
pub mod table;
pub mod table_log;
mod unserved_log;
pub mod usage;
