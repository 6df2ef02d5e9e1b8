//! Tests of the parts of the entry daemon that need no sockets.

mod log_limiter;
