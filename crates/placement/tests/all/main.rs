//! Tests of the planner and the shard controller, linked once.

mod fleet;
mod planner;
mod properties;
mod random;
