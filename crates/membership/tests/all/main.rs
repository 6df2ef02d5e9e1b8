//! Tests of the membership tracker.

mod malformed;
mod network;
mod protocol;
mod random_runs;
