//! Tests of the peer transport on loopback.

mod cluster;
mod faults;
mod flow;
mod support;
