//! Integration tests of the gateway crate.

mod choice;
mod delayed_loads;
mod events;
mod fixture;
mod limited_servers;
mod limits;
mod overload;
mod routes;
mod unserved;
