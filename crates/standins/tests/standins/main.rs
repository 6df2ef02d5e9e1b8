//! Tests of the stand-ins through the clients that the daemon uses.

#![allow(clippy::unwrap_used)]

mod engine;
mod faults;
mod orders;
mod platform;
mod service;
mod support;
