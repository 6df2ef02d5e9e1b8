//! Tests of membership.

mod network;
mod protocol;
mod random_runs;
