//! Tests of the stand-ins over HTTP, through the clients that the daemon uses.

mod closed_connections;
mod engine;
mod platform;
mod service;
mod weights;

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Timeout for conditions that must hold eventually; far above the time needed on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for a closed connection to be noticed. The calls themselves may take 20 s, so a
/// connection that merely times out is distinguished from one that was closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `condition` holds; panics after [`WAIT_TIMEOUT`].
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}
