//! Integration tests of the peer transport on loopback connections.

mod cluster;
mod faults;
mod flow;
mod support;
