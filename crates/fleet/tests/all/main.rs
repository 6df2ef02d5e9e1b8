//! Tests of the fleet's state machines and planners.

mod competing_models;
mod config_changes;
mod controller;
mod demand;
mod evacuation;
mod fake;
mod fake_vm;
mod groups;
mod lease;
mod lease_restores;
mod peers;
mod plan;
mod silence;
mod table;
mod takeover;
