//! Decides which requests a node accepts while it stops, from the time until its process ends.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::service_times::ExpectedTime;

/// Percentage of the longest recent service time that a request needs to be accepted once callers have had time to
/// leave the node.
const LATE_REQUEST_PERCENT: u64 = 150;
/// Percentage of a request's time limit that it is assumed to need when no service time of its route is known.
const UNKNOWN_SERVICE_PERCENT: u64 = 25;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// Time for which callers may hold the node's address. Some cache a directory response for three times its
    /// lifetime.
    pub directory_period: TimeSpan,
    /// Time before the platform kills the process at which it exits.
    pub kill_margin: TimeSpan,
    /// Time before the exit at which the last requests must have ended, so that their responses can be written.
    pub response_margin: TimeSpan,
    /// Time before the exit from which no request is accepted.
    pub closing_time: TimeSpan,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            directory_period: TimeSpan(3300),
            kill_margin: TimeSpan(400),
            response_margin: TimeSpan(150),
            closing_time: TimeSpan(500),
        }
    }
}

/// Schedule of a planned stop.
///
/// # Invariants
///
/// - `withdrawn_until <= closing_from <= exit_by` and `request_deadline <= exit_by`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Time until which callers may come with an address from the directory.
    pub withdrawn_until: Timestamp,
    /// Time from which no request is accepted.
    pub closing_from: Timestamp,
    /// Time by which every request must have ended.
    pub request_deadline: Timestamp,
    /// Time by which the process exits.
    pub exit_by: Timestamp,
}

impl ShutdownPlan {
    /// Plans a stop that begins at `started` and ends before the platform kills the process after `grace`.
    pub fn new(settings: ShutdownSettings, started: Timestamp, grace: TimeSpan) -> Self {
        let available = TimeSpan(grace.0.saturating_sub(settings.kill_margin.0));
        let exit_by = started + available;
        let closing_from = started.max(exit_by - settings.closing_time);
        Self {
            withdrawn_until: closing_from.min(started + settings.directory_period),
            closing_from,
            request_deadline: started.max(exit_by - settings.response_margin),
            exit_by,
        }
    }

    /// Whether a request that arrives now is expected to end in time. `time_limit` is the time after which it ends in
    /// any case, because its caller waits no longer or its route allows no more.
    pub fn admits(
        &self,
        time_limit: TimeSpan,
        expected: Option<ExpectedTime>,
        now: Timestamp,
    ) -> bool {
        if now >= self.closing_from {
            return false;
        }
        let available = self.request_deadline.since(now);
        if time_limit <= available {
            return true;
        }
        let is_withdrawing = now < self.withdrawn_until;
        match expected {
            Some(expected) if is_withdrawing => expected.usual <= available,
            Some(expected) => expected.longest.0 * LATE_REQUEST_PERCENT / 100 <= available.0,
            None => is_withdrawing && time_limit.0 * UNKNOWN_SERVICE_PERCENT / 100 <= available.0,
        }
    }
}
