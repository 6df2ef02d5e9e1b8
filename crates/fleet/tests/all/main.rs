//! Tests of the fleet state.

mod controller;
mod demand;
mod fake;
mod groups;
mod lease;
mod peers;
mod plan;
mod table;
