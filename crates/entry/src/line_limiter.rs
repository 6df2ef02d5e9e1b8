//! Bounds the log lines of each place in the code.

use std::collections::HashMap;

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Lines a second of one place in the code. The busiest place writes one line a request, and a node serves some tens
/// of requests a second.
const LINES_PER_WINDOW: u32 = 200;
/// Time over which lines are counted.
const WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// What to do with a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// It is written; some lines of the same place were left out since the last one that was.
    Write {
        /// Number of these.
        left_out: u32,
    },
    /// It is left out.
    LeaveOut,
}

#[derive(Debug)]
struct LineWindow {
    began: Timestamp,
    written: u32,
    left_out: u32,
}

/// Counts the lines of each place in the code. There are as many entries as log statements.
#[derive(Debug, Default)]
pub struct LineLimiter {
    windows: HashMap<u64, LineWindow>,
}

impl LineLimiter {
    /// Decides on a line of a place.
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
