//! Tests of the parts of the entry daemon that need no sockets.

mod address_list;
mod log_limiter;
mod stated_limit;
mod store_era;
