//! Monotonic clock and incarnation numbers of the daemon.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the current time of `CLOCK_BOOTTIME`.
///
/// Unlike the standard library's monotonic clock, it includes the time for which a VM is suspended.
/// Otherwise a lease holder would consider an expired lease valid after a suspension.
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Timestamp(secs * 1000 + nanos / 1_000_000)
}

/// Time by which a wait may exceed its timeout without a pause of this process.
const MAX_WAKE_DELAY: TimeSpan = TimeSpan::from_millis(300);

/// Whether this process did not run for a part of a wait that began at `started` and has timed out.
///
/// Such a timeout is no evidence about the process that was waited for: its data may not have been read yet.
pub fn was_paused(started: Timestamp, timeout: TimeSpan) -> bool {
    now() > started + timeout + MAX_WAKE_DELAY
}

/// Returns the incarnation for a node that starts now: the wall clock in milliseconds.
///
/// A node stores no state, so it cannot count its restarts. Incarnations are compared only with
/// those of earlier processes of the same node. A process with a lower incarnation is superseded
/// when peers report the higher one.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
