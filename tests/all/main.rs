//! Integration tests on real processes, linked into one test binary.
//!
//! Each test starts its own stand-ins and daemons on loopback addresses that no other test uses.
//! Waits have generous time limits, so no result depends on the speed of the machine.

mod at_most_once;
mod change_callers;
mod changes_under_load;
mod cluster_state;
mod config_validation;
mod connection_ends;
mod crash_world;
mod crashing_parts;
mod cut_nodes;
mod cut_world;
mod deployment;
mod endless_bytes;
mod evacuations;
mod faults;
mod faulty_answers;
mod graceful_stop;
mod invalid_input;
mod inventory_callers;
mod late_requests;
mod late_soak;
mod leader_failure;
mod load;
mod lost_responses;
mod operators;
mod own_pauses;
mod paused_groups;
mod planned_stop;
mod platform;
mod platform_nodes;
mod process;
mod raw_callers;
mod relays;
mod repeat_world;
mod repeated_requests;
mod request_limits;
mod saved_log;
mod server_notices;
mod service;
mod serving;
mod signals_under_load;
mod silence_soak;
mod silent_engines;
mod silent_servers;
mod slow_copies;
mod soak_callers;
mod soak_events;
mod soak_world;
mod stop_soak;
mod stop_with_inventory;
mod store_faults;
mod store_restores;
mod traces;
mod unframed_answers;
