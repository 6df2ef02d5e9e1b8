//! Tests of membership.

mod malformed;
mod network;
mod protocol;
mod random_runs;
