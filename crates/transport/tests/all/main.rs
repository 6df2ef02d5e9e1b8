//! Tests of the peer transport on loopback.

mod faults;
mod flow;
mod support;
