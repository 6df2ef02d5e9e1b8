//! Lag of the event loop: how much later than planned its tasks run.
//!
//! A process that was paused, or did not get the processor, sees the same as one whose peers were silent: no data for some time. The
//! lag tells the two apart.

use std::cell::Cell;

use jaysaddle_daemon::clock;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Lag from which the process counts as paused.
const MIN_PAUSE: TimeSpan = TimeSpan(100);
/// Time for which the largest lag is remembered.
const RETENTION: TimeSpan = TimeSpan::from_secs(5);

/// Largest recent lag of the event loop.
#[derive(Debug, Default)]
pub struct LoopLag {
    /// The largest lag of the last [`RETENTION`] and when it was measured; `None` before the first measurement.
    largest: Cell<Option<(Timestamp, TimeSpan)>>,
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

    /// Largest lag of the last [`RETENTION`].
    pub fn recent(&self) -> TimeSpan {
        let now = clock::now();
        let largest = self.largest.get();
        let recent = largest.filter(|(measured, _)| now.since(*measured) < RETENTION);
        recent.map_or(TimeSpan(0), |(_, lag)| lag)
    }
}
