//! Integration tests of the lease table.

mod cluster;
mod events;
mod rules;
mod runs;
mod store_outcomes;
