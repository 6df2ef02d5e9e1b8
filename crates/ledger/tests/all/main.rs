//! Integration tests of the request ledger.

mod at_most_once;
mod bounds;
mod handover;
mod network;
mod random;
mod single;
mod support;
