//! Tests of membership.

mod hostile;
mod network;
mod protocol;
mod random_runs;
