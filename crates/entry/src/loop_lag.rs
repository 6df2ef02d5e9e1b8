//! Lag of the event loop: how much later than planned its tasks run.
//!
//! A process that was paused, or did not get the processor, sees the same as one whose peers were silent: no data for some time. The
//! lag tells the two apart. After a pause, what has arrived meanwhile waits in the sockets: nothing is ended because of the time until
//! the tasks have been able to read it.

use std::cell::Cell;

use jaysaddle_daemon::clock;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Lag from which the process counts as paused.
pub const MIN_PAUSE: TimeSpan = TimeSpan(100);
/// Time for which the largest lag is remembered.
const RETENTION: TimeSpan = TimeSpan::from_secs(5);
/// Time after a pause in which the tasks read what has arrived meanwhile.
pub const CATCH_UP_TIME: TimeSpan = TimeSpan(100);

/// Lag of the event loop, as tasks measure it that run regularly.
#[derive(Debug, Default)]
pub struct LoopLag {
    /// The largest lag of the last [`RETENTION`] and when it was measured; `None` before the first measurement.
    largest: Cell<Option<(Timestamp, TimeSpan)>>,
    /// When one of the tasks is to run next; `None` before the first run.
    due: Cell<Option<Timestamp>>,
    /// When one of the tasks ran last.
    last_run: Cell<Timestamp>,
    /// When one of the tasks ran last before the last pause.
    run_before_pause: Cell<Timestamp>,
    /// End of the time after the last pause in which the tasks read what has arrived meanwhile.
    catch_up_until: Cell<Timestamp>,
}

impl LoopLag {
    /// Records that a task ran `lag` later than planned. Returns whether the process counts as paused.
    pub fn record(&self, lag: TimeSpan) -> bool {
        let now = clock::now();
        metrics::histogram!("jaysaddle_loop_lag_seconds").record(lag.as_duration().as_secs_f64());
        if lag >= self.recent() {
            self.largest.set(Some((now, lag)));
        }
        let is_pause = lag >= MIN_PAUSE;
        if is_pause {
            log::info!("event=loop_late late_ms={}", lag.as_millis());
        }
        is_pause
    }

    /// Records that a task runs, which runs again after `interval`.
    pub fn record_run(&self, interval: TimeSpan) {
        let now = clock::now();
        if self.is_late(now) {
            self.run_before_pause.set(self.last_run.get());
        }
        self.catch_up_until.set(self.catch_up_until(now));
        self.last_run.set(now);
        self.due.set(Some(now + interval));
    }

    /// Whether no task has run since a pause that has just ended.
    fn is_late(&self, now: Timestamp) -> bool {
        let due = self.due.get();
        due.is_some_and(|due| now.since(due) >= MIN_PAUSE)
    }

    /// Earliest time at which an event may have happened that is handled now: in a pause, nothing is handled.
    pub fn earliest_event_time(&self, now: Timestamp) -> Timestamp {
        if self.is_late(now) {
            self.last_run.get()
        } else if now < self.catch_up_until.get() {
            self.run_before_pause.get()
        } else {
            now
        }
    }

    /// End of the time after the last pause in which the tasks read what has arrived meanwhile.
    pub fn catch_up_until(&self, now: Timestamp) -> Timestamp {
        // Other tasks may run before the one that records the pause.
        if self.is_late(now) {
            now + CATCH_UP_TIME
        } else {
            self.catch_up_until.get()
        }
    }

    /// Largest lag of the last [`RETENTION`].
    pub fn recent(&self) -> TimeSpan {
        let now = clock::now();
        let largest = self.largest.get();
        let recent = largest.filter(|(measured, _)| now.since(*measured) < RETENTION);
        recent.map_or(TimeSpan(0), |(_, lag)| lag)
    }
}
