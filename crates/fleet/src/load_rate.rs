//! Rate of loads from the weight store.

use std::collections::VecDeque;

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Span over which the platform counts loads.
const WINDOW: TimeSpan = TimeSpan::from_secs(5);

/// Counts the loads that were started lately.
///
/// # Invariants
///
/// No span of the window's length holds more starts than the rate allows for it.
#[derive(Clone, Debug, Default)]
pub struct LoadRateLimiter {
    starts: VecDeque<Timestamp>,
}

impl LoadRateLimiter {
    /// Loads that may start now.
    pub fn available(&mut self, loads_per_second: f64, now: Timestamp) -> usize {
        while self
            .starts
            .front()
            .is_some_and(|start| now.since(*start) >= WINDOW)
        {
            self.starts.pop_front();
        }
        let allowed = loads_per_second * WINDOW.as_millis() as f64 / 1000.0;
        (allowed.min(1e6) as usize).saturating_sub(self.starts.len())
    }

    /// Takes note of a start.
    pub fn started(&mut self, now: Timestamp) {
        self.starts.push_back(now);
    }
}
