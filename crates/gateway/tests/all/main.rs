//! Tests of the gateway.

mod choice;
mod events;
mod fixture;
mod overload;
mod routes;
