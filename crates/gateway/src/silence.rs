//! Measures for how long a response has sent nothing while this process was able to receive it.
//!
//! A process that is paused, or whose caller does not read, cannot tell from the clock whether a backend server is silent: its data may
//! wait in a socket. Only the time of waits that were not interrupted counts.

use jaysaddle_types::units::TimeSpan;

/// Time by which a wait may end later than planned without an interruption.
const MAX_WAKE_DELAY: TimeSpan = TimeSpan(100);

/// A wait for data, as planned and as it took place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataWait {
    /// Time after which the wait was to end without data.
    pub planned: TimeSpan,
    /// Time that it took.
    pub actual: TimeSpan,
}

impl DataWait {
    /// Whether the process did not run for a part of the wait.
    pub fn was_interrupted(self) -> bool {
        self.actual > self.longest()
    }

    /// Time that a wait takes at most without an interruption.
    fn longest(self) -> TimeSpan {
        TimeSpan(self.planned.0 + MAX_WAKE_DELAY.0)
    }

    /// Time of the wait in which data would have been received.
    fn observed(self) -> TimeSpan {
        self.actual.min(self.longest())
    }
}

/// Time that a response has been silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SilenceMeter {
    silent: TimeSpan,
}

impl SilenceMeter {
    /// Adds a wait, whether it ended with data or without.
    pub fn record(&mut self, wait: DataWait) {
        self.silent = TimeSpan(self.silent.0 + wait.observed().0);
    }

    /// Time of all waits since the last reset.
    pub fn silent(&self) -> TimeSpan {
        self.silent
    }

    /// Begins anew after progress.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
