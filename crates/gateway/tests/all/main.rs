//! Tests of the gateway.

mod choice;
mod events;
mod overload;
mod routes;
mod scene;
