//! Tests of the fleet's state machines and planners.

mod controller;
mod demand;
mod fake;
mod groups;
mod lease;
mod peers;
mod plan;
mod table;
