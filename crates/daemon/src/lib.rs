//! Threads, HTTP routes and effects of the daemon.
