//! Request handling decisions: routing, client account lookup, target selection, admission and the retry budget.
//!
//! This crate performs no I/O and does not read the clock. `jaysaddle-entry` calls it for each request, passes in the
//! current time and reports the outcome of each attempt.

pub mod arrivals;
pub mod awake_clock;
pub mod choice;
pub mod cold_servers;
pub mod config_review;
pub mod content;
pub mod content_blocks;
pub mod content_weighing;
mod crash_announcement;
pub mod crash_evidence;
pub mod crash_guard;
pub mod end_rates;
pub mod end_watch;
pub mod events;
pub mod first_event;
pub mod gateway;
mod key_facts;
pub mod limit_shares;
pub mod node_ranks;
pub mod random;
mod repeat_evidence;
pub mod request_rank;
pub mod retry_pool;
pub mod routes;
pub mod server_limits;
pub mod server_pauses;
pub mod server_reach;
pub mod server_runs;
pub mod service_times;
pub mod settings;
pub mod shedding;
pub mod shutdown;
pub mod silence;
pub mod spread;
pub mod target;
pub mod target_room;
pub mod unserved;
pub mod withheld;
