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
mod lease_handovers;
mod lease_restores;
mod odd_values;
mod peers;
mod plan;
mod silence;
mod succession;
mod succession_faults;
mod succession_holder;
mod succession_messages;
mod succession_vm;
mod succession_world;
mod table;
mod takeover;
