//! Rate limit of loads from the weight store.

use std::collections::VecDeque;

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Sliding window over which the platform limits the number of loads.
const WINDOW: TimeSpan = TimeSpan::from_secs(5);

/// Sliding-window rate limiter for loads.
///
/// # Invariants
///
/// If only available loads are started, no interval of the window's length contains more starts than allowed.
#[derive(Clone, Debug, Default)]
pub struct LoadRateLimiter {
    starts: VecDeque<Timestamp>,
}

impl LoadRateLimiter {
    /// Number of loads that may start now without exceeding `loads_per_second`.
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

    /// Records that a load was started.
    pub fn record_start(&mut self, now: Timestamp) {
        self.starts.push_back(now);
    }
}
