//! The daemon's clock.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::units::Timestamp;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// The present time of CLOCK_BOOTTIME.
///
/// It counts the time for which a VM is suspended, which the standard library's monotonic clock
/// does not: the holder of an expired lease would still see it as valid after a suspension.
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Timestamp(secs * 1000 + nanos / 1_000_000)
}

/// The incarnation of a run that starts now: milliseconds of the wall clock.
///
/// A node keeps nothing, so it cannot count its restarts. The wall clock is compared only with
/// that of earlier runs of the same node; a run that started with a lower number is superseded
/// when peers report the higher one.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
