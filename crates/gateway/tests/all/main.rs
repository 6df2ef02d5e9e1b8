//! Integration tests of the gateway crate.

mod choice;
mod cold_servers;
mod crash_guard;
mod crash_simulation;
mod delayed_loads;
mod dissemination;
mod events;
mod fixture;
mod limit_simulation;
mod limited_servers;
mod overload;
mod peer_view;
mod repeat_simulation;
mod repeated_requests;
mod retry_pool;
mod routes;
mod server_limits;
mod server_pauses;
mod server_reach;
mod shares;
mod shutdown;
mod silence;
mod simulation_steps;
mod unserved;
mod withheld;
