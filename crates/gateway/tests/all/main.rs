//! Integration tests of the gateway crate.

mod choice;
mod delayed_loads;
mod events;
mod fixture;
mod limit_simulation;
mod limited_servers;
mod limits;
mod overload;
mod routes;
mod shares;
mod unserved;
