//! Decisions about callers' requests: route, account, target, admission and repeats.
//!
//! Nothing here performs I/O or reads a clock. `jaysaddle-entry` calls it for each request and tells it what
//! came of it.

pub mod choice;
pub mod events;
pub mod gateway;
pub mod random;
pub mod routes;
pub mod settings;
pub mod target;
