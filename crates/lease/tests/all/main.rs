//! Tests of the lease table.

mod answers;
mod cluster;
mod rules;
mod runs;
