//! Integration tests on real processes, linked once.
//!
//! Each test starts its own stand-ins and daemons on loopback addresses that no other test uses.
//! Waits are bounded by generous limits; no verdict depends on how fast the machine is.

mod deployment;
mod lost_answers;
mod restarts;
mod service;
mod serving;
mod traces;
