//! When a node looks whether the process of a backend server has ended.
//!
//! A process that exits does not do so at one moment: it may accept connections for some milliseconds after its first one has
//! closed, until its listener is closed too. After each sign of an end, several attempts are therefore made over the usual time of
//! an exit. A connection that stays open takes the place of an attempt; if the process closes it later, that is a new sign.

use std::collections::HashMap;

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::target::ServerNumber;

/// Times of the attempts after a sign of an end.
const ATTEMPT_TIMES: [TimeSpan; 5] = [
    TimeSpan(0),
    TimeSpan(10),
    TimeSpan(40),
    TimeSpan(120),
    TimeSpan(400),
];
/// Number of attempts that a request waits for before it is sent to another backend server. Most processes have closed all their
/// connections by then.
const AWAITED_ATTEMPTS: usize = 2;

/// What first showed that a process may have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSign {
    /// It has closed a connection, or broken it off.
    Closed,
    /// It has refused a connection, whatever that was for.
    Refused,
    /// A request is over, and no connection is left that would show the end.
    Unwatched,
}

/// The next step of the attempts at a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Open a connection.
    Connect,
    /// Look again after this time.
    Wait(TimeSpan),
    /// The process has been reached each time.
    Over,
}

/// Attempts at one process.
#[derive(Clone, Copy, Debug)]
struct AttemptSeries {
    sign: Timestamp,
    /// Number of attempts that were begun.
    begun: usize,
    limit: usize,
    /// Whether the result of the last attempt is awaited.
    is_trying: bool,
    /// Whether an attempt was refused, with which the series began again.
    is_refused: bool,
}

impl AttemptSeries {
    fn new(sign: Timestamp, limit: usize) -> Self {
        Self {
            sign,
            begun: 0,
            limit,
            is_trying: false,
            is_refused: false,
        }
    }

    /// Time of the next attempt; `None` after the last one.
    fn due(&self) -> Option<Timestamp> {
        let time = ATTEMPT_TIMES[..self.limit].get(self.begun);
        time.map(|time| self.sign + *time)
    }
}

/// Processes of backend servers that may have ended.
#[derive(Debug, Default)]
pub struct EndWatch(HashMap<ServerNumber, AttemptSeries>);

impl EndWatch {
    /// Records a sign that a process may have ended. Returns whether attempts are to begin, because none are under way.
    pub fn record_sign(&mut self, server: ServerNumber, sign: EndSign, now: Timestamp) -> bool {
        let limit = match sign {
            EndSign::Closed | EndSign::Refused => ATTEMPT_TIMES.len(),
            EndSign::Unwatched => 1,
        };
        let known = self.0.get(&server).map(|series| series.limit);
        if known.is_none_or(|known| known < limit) {
            self.0.insert(server, AttemptSeries::new(now, limit));
        }
        known.is_none()
    }

    /// The next step at a process. `is_connected` says that a connection to it is open, which takes the place of an attempt.
    pub fn next(&mut self, server: ServerNumber, is_connected: bool, now: Timestamp) -> WatchStep {
        while let Some(series) = self.0.get_mut(&server) {
            series.is_trying = false;
            let Some(due) = series.due() else {
                self.0.remove(&server);
                break;
            };
            if due > now {
                return WatchStep::Wait(due.since(now));
            }
            series.begun += 1;
            if !is_connected {
                series.is_trying = true;
                return WatchStep::Connect;
            }
        }
        WatchStep::Over
    }

    /// Records that an attempt was refused. After the first one, the attempts begin again. Returns the time of the first one, and
    /// whether no further attempt follows.
    pub fn record_refusal(&mut self, server: ServerNumber, now: Timestamp) -> (Timestamp, bool) {
        let limit = ATTEMPT_TIMES.len();
        let series = self.0.entry(server);
        let series = series.or_insert(AttemptSeries::new(now, limit));
        if !series.is_refused {
            *series = AttemptSeries {
                begun: 1,
                is_refused: true,
                ..AttemptSeries::new(now, limit)
            };
        }
        (series.sign, series.due().is_none())
    }

    /// Ends the attempts at a process, because its end is known or cannot be known.
    pub fn end(&mut self, server: ServerNumber) {
        self.0.remove(&server);
    }

    /// Whether a request waits for the attempts at a process.
    pub fn is_awaited(&self, server: ServerNumber) -> bool {
        self.0.get(&server).is_some_and(|series| {
            let awaited = AWAITED_ATTEMPTS + usize::from(series.is_trying);
            series.limit > AWAITED_ATTEMPTS && series.begun < awaited
        })
    }
}
