//! Rate limit for log lines, separate for each call site.

use std::collections::HashMap;

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Maximum number of lines per window and call site. The busiest call site writes one line per request, and a node
/// serves some tens of requests per second.
const MAX_LINES_PER_WINDOW: u32 = 200;
/// Length of the window over which lines are counted.
const WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// Whether a log line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogDecision {
    /// The line is written.
    Write {
        /// Number of lines of the same call site that were suppressed since the last one written.
        suppressed: u32,
    },
    /// The line is suppressed because its call site has reached the limit.
    Suppress,
}

#[derive(Debug)]
struct CallSiteWindow {
    started: Timestamp,
    written: u32,
    suppressed: u32,
}

/// Rate limiter for log lines. Its size is bounded by the number of log statements in the code.
#[derive(Debug, Default)]
pub struct LogLimiter {
    windows: HashMap<u64, CallSiteWindow>,
}

impl LogLimiter {
    /// Decides whether to write a line. `call_site` is a hash of its file and line number.
    pub fn decide(&mut self, call_site: u64, now: Timestamp) -> LogDecision {
        let window = self.windows.entry(call_site).or_insert(CallSiteWindow {
            started: now,
            written: 0,
            suppressed: 0,
        });
        if now.since(window.started) >= WINDOW {
            window.started = now;
            window.written = 0;
        }
        if window.written >= MAX_LINES_PER_WINDOW {
            window.suppressed += 1;
            return LogDecision::Suppress;
        }
        window.written += 1;
        LogDecision::Write {
            suppressed: std::mem::take(&mut window.suppressed),
        }
    }
}
