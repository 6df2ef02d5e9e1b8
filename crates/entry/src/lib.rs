//! Daemon of an entry VM on the platform.
//!
//! A single-threaded event loop serves callers, calls backend servers, watches the platform's store and exchanges
//! state with peers. Decisions are made in `jaysaddle-gateway` (requests) and `jaysaddle-fleet` (groups, lease,
//! peers); the platform's names and formats are in `jaysaddle-adapter`. This crate connects them to sockets and
//! timers.

pub mod address_list;
mod attempt;
mod backend_calls;
mod beats;
pub mod bounded_body;
pub mod byte_budget;
mod caller_body;
mod caller_request;
mod caller_stream;
mod callers;
pub mod connector;
mod content_control;
mod control;
mod copies;
mod crash_watch;
mod directory;
pub mod entry_codec;
pub mod entry_order;
mod evacuation_sync;
pub mod exchange;
mod forward;
mod gauges;
pub mod heartbeat_codec;
mod lease;
mod listener;
pub mod log_limiter;
pub mod log_line;
mod log_writer;
mod loop_lag;
pub mod metered_stream;
mod node;
mod node_table;
pub mod own_pause;
mod pass_on;
mod pool;
mod progress;
mod relay;
mod request_report;
mod response;
mod response_bounds;
mod send_history;
mod send_race;
pub mod server_notices;
mod server_reach;
mod shutdown;
mod silence;
pub mod stated_limit;
mod stop;
mod store_client;
pub mod store_era;
mod store_restore;
mod store_sync;
pub mod stored_block;
mod stream_attempt;
mod table_feed;

pub mod reload;
pub mod run;
pub mod settings;
pub mod settings_file;

pub use run::run_entry;
pub use run::run_entry_with;
pub use settings::EntrySettings;
