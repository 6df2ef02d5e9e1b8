//! Rate limit for log lines, separate for each call site.

use std::collections::HashMap;

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Maximum number of lines per window and call site. The busiest call site writes one line per request, and a node
/// serves some tens of requests per second.
const LINES_PER_WINDOW: u32 = 200;
/// Length of the window over which lines are counted.
const WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// Whether a log line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written.
    Write {
        /// Number of lines of the same call site that were suppressed since the last one written.
        left_out: u32,
    },
    /// The line is suppressed because its call site has reached the limit.
    LeaveOut,
}

#[derive(Debug)]
struct LineWindow {
    began: Timestamp,
    written: u32,
    left_out: u32,
}

/// Counts log lines per call site. The number of entries is bounded by the number of log statements in the code.
#[derive(Debug, Default)]
pub struct LineLimiter {
    windows: HashMap<u64, LineWindow>,
}

impl LineLimiter {
    /// Decides whether to write a line. `call_site` is a hash of its file and line number.
    pub fn decide(&mut self, place: u64, now: Timestamp) -> LineDecision {
        let window = self.windows.entry(place).or_insert(LineWindow {
            began: now,
            written: 0,
            left_out: 0,
        });
        if now.since(window.began) >= WINDOW {
            window.began = now;
            window.written = 0;
        }
        if window.written >= LINES_PER_WINDOW {
            window.left_out += 1;
            return LineDecision::LeaveOut;
        }
        window.written += 1;
        LineDecision::Write {
            left_out: std::mem::take(&mut window.left_out),
        }
    }
}
