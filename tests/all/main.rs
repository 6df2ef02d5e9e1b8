//! Integration tests on real processes, linked once.
//!
//! Each test starts its own stand-ins and daemons on loopback addresses that no other test uses.
//! Waits are bounded by generous limits; no verdict depends on how fast the machine is.

mod at_most_once;
mod deployment;
mod faults;
mod files;
mod fleet;
mod input;
mod load;
mod lost_answers;
mod operators;
mod platform;
mod process;
mod restarts;
mod saved_log;
mod service;
mod serving;
mod stop;
mod store_faults;
mod traces;
