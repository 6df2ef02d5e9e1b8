//! Tests of the lease table.

mod answers;
mod cluster;
mod events;
mod rules;
mod runs;
