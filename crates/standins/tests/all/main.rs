//! Tests of the stand-ins over HTTP, as the daemon uses them.

mod closed_connections;
mod engine;
mod platform;
mod service;
mod weights;

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Longest wait for something that must happen; far above what it takes on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Bound for a broken connection to show; the calls themselves may take 20 s, so that a connection
/// that only times out is told apart from one that was closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `condition` holds.
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "it does not hold that {what}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}
