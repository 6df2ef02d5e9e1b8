//! Tests of the planner and the shard controller, built as one binary.

mod cluster;
mod controllers;
mod engines;
mod fleet;
mod node;
mod planner;
mod properties;
mod random;
mod single;
mod store;
