//! Keeps requests that end backend servers from reaching more of them.

use std::rc::Rc;

use jaysaddle_types::units::Timestamp;

use crate::awake_clock::AwakeClock;
use crate::content::RequestContent;
use crate::server_runs::RunAtEnd;
use crate::server_runs::RunEnd;
use crate::server_runs::RunNumber;
use crate::server_runs::ServerRuns;
use crate::target::ServerNumber;

/// What this node knows of requests and the ends of backend servers.
#[derive(Debug, Default)]
pub struct CrashGuard {
    clock: AwakeClock,
    runs: ServerRuns,
}

impl CrashGuard {
    /// Records that a request is sent to a backend server.
    pub fn begin_run(&mut self, server: ServerNumber, content: Rc<RequestContent>) -> RunNumber {
        self.runs.begin(server, content)
    }

    /// Records data of an answer.
    pub fn record_data(&mut self, server: ServerNumber, run: RunNumber, now: Timestamp) {
        let awake = self.clock.read(now);
        self.runs.record_data(server, run, awake);
    }

    /// Records the end of a request at a backend server.
    pub fn end_run(&mut self, server: ServerNumber, run: RunNumber, end: RunEnd, now: Timestamp) {
        let awake = self.clock.read(now);
        self.runs.end(server, run, end, awake);
    }

    /// Records that the process of a backend server has ended. Returns this node's requests there.
    pub fn record_server_end(&mut self, server: ServerNumber, now: Timestamp) -> Vec<RunAtEnd> {
        let awake = self.clock.read(now);
        self.runs.record_server_end(server, awake)
    }

    /// Does what is due at a regular interval.
    pub fn tick(&mut self, now: Timestamp) {
        self.clock.tick(now);
        self.runs.expire(self.clock.read(now));
    }
}
