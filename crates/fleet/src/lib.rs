//! State of the fleet on the platform: backend servers, groups, peers and the controller.
//!
//! Everything here is a function from events to effects. Sockets, the store and the clock are outside, in
//! `jaysaddle-entry`.

pub mod controller;
pub mod demand;
pub mod groups;
pub mod lease;
pub mod load_rate;
pub mod peers;
pub mod plan;
pub mod staging_plan;
pub mod table;
