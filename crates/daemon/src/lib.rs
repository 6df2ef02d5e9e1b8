//! The daemon of an entry VM: threads, HTTP routes and the execution of effects.
//!
//! All decisions are made by the reducer. Its control plane and its data plane each run on a thread
//! of their own. Everything that can block (HTTP, the store, engines, peers) runs on other threads,
//! which communicate with the planes through `flume` channels.

pub mod abandon;
pub mod assembler;
pub mod attempt_streams;
pub mod callers;
pub mod clock;
pub mod completion;
pub mod connections;
pub mod control_lane;
pub mod daemon;
pub mod data_plane;
pub mod journal;
pub mod listener;
pub mod logging;
pub mod operators;
pub mod reply;
pub mod request;
pub mod service;
pub mod shared_state;
pub mod store_watch;
pub mod telemetry;
pub mod worker_pool;

pub use daemon::Daemon;
