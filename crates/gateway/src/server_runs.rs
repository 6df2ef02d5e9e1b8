//! Requests at each process of a backend server, and how far they were when it ended.
//!
//! A request can have ended a process only if the process had just begun to write its answer. Whether it had begun is known
//! from the answer's first data; without any, it may have begun.

use std::collections::HashMap;
use std::rc::Rc;

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::content::RequestContent;
use crate::target::ServerNumber;

/// Time after the first data of an answer from which the backend server has survived the request.
pub const SURVIVAL_TIME: TimeSpan = TimeSpan::from_secs(1);
/// Time for which a request is remembered after its end. It covers the check whether the process has ended.
const RETENTION: TimeSpan = TimeSpan::from_secs(3);
/// Maximum number of requests that are remembered for each process.
const MAX_RUNS: usize = 512;

/// Identifies a request at a process of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunNumber(u64);

/// How a request at a backend server has ended, as far as this node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer was received.
    Answered,
    /// Nobody waits for the answer any more.
    Closed,
    /// The backend server has refused it, or was not reached.
    NotRun,
    /// The connection has ended in the middle.
    Broken,
}

#[derive(Debug)]
struct ServerRun {
    number: RunNumber,
    content: Rc<RequestContent>,
    /// When the first data arrived; `None` before.
    began: Option<Timestamp>,
    /// When the request ended; `None` before.
    ended: Option<Timestamp>,
    is_broken: bool,
    was_answered: bool,
    has_survived: bool,
}

/// A request at a process that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunAtEnd {
    /// Content of the request.
    pub content: Rc<RequestContent>,
    /// Time for which the process had been writing the answer; `None` if no data had arrived.
    pub wrote_for: Option<TimeSpan>,
    /// Whether the answer was complete before the end.
    pub was_answered: bool,
    /// Whether the request may be the cause.
    pub is_suspect: bool,
}

/// A request that a process has survived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SurvivedRun {
    /// Content of the request.
    pub content: Rc<RequestContent>,
    /// Time since its end; zero if it goes on.
    pub age: TimeSpan,
}

/// Marks the requests that a process has survived, which works now, and returns their contents.
fn take_survived(runs: &mut Vec<ServerRun>, now: Timestamp) -> Vec<SurvivedRun> {
    let mut survived = Vec::new();
    for run in runs.iter_mut().filter(|run| !run.has_survived) {
        let began = run.began.filter(|began| now.since(*began) >= SURVIVAL_TIME);
        if began.is_some() {
            run.has_survived = true;
            survived.push(SurvivedRun {
                content: run.content.clone(),
                age: run.ended.map_or(TimeSpan(0), |ended| now.since(ended)),
            });
        }
    }
    runs.retain(|run| !run.has_survived || run.ended.is_none());
    survived
}

/// Requests at all processes of backend servers.
///
/// All times exclude pauses of this process: the data of a backend server that has ended meanwhile waits in the socket.
#[derive(Debug, Default)]
pub struct ServerRuns {
    servers: HashMap<ServerNumber, Vec<ServerRun>>,
    next: u64,
}

impl ServerRuns {
    /// Records that a request is sent.
    pub fn begin(&mut self, server: ServerNumber, content: Rc<RequestContent>) -> RunNumber {
        let number = RunNumber(self.next);
        self.next += 1;
        let runs = self.servers.entry(server).or_default();
        if runs.len() >= MAX_RUNS {
            runs.remove(0);
        }
        runs.push(ServerRun {
            number,
            content,
            began: None,
            ended: None,
            is_broken: false,
            was_answered: false,
            has_survived: false,
        });
        number
    }

    /// Records data of an answer. Returns the requests that the process has survived, as this data shows.
    pub fn record_data(
        &mut self,
        server: ServerNumber,
        number: RunNumber,
        now: Timestamp,
    ) -> Vec<SurvivedRun> {
        let Some(runs) = self.servers.get_mut(&server) else {
            return Vec::new();
        };
        if let Some(run) = runs.iter_mut().find(|run| run.number == number) {
            run.began.get_or_insert(now);
        }
        take_survived(runs, now)
    }

    /// Records that a process works. Returns the requests that it has survived.
    pub fn record_alive(&mut self, server: ServerNumber, now: Timestamp) -> Vec<SurvivedRun> {
        let runs = self.servers.get_mut(&server);
        runs.map_or_else(Vec::new, |runs| take_survived(runs, now))
    }

    /// Processes with requests that have ended without showing whether the process has survived them.
    pub fn awaited_servers(&self) -> impl Iterator<Item = ServerNumber> {
        let is_awaited = |run: &ServerRun| run.ended.is_some() && !run.is_broken;
        let servers = self.servers.iter();
        servers
            .filter(move |(_, runs)| runs.iter().any(is_awaited))
            .map(|(server, _)| *server)
    }

    /// Records the end of a request.
    pub fn end(&mut self, server: ServerNumber, number: RunNumber, end: RunEnd, now: Timestamp) {
        let Some(runs) = self.servers.get_mut(&server) else {
            return;
        };
        let Some(position) = runs.iter().position(|run| run.number == number) else {
            return;
        };
        let run = &mut runs[position];
        run.ended = Some(now);
        run.is_broken = end == RunEnd::Broken;
        run.was_answered = end == RunEnd::Answered;
        // A request whose answer has not begun cannot end the process after the node has withdrawn it.
        let is_unbegun = run.began.is_none() && !run.is_broken;
        if end == RunEnd::NotRun || is_unbegun || run.has_survived && !run.is_broken {
            runs.remove(position);
        }
    }

    /// Records that a process has ended. Returns its requests.
    pub fn record_server_end(&mut self, server: ServerNumber, now: Timestamp) -> Vec<RunAtEnd> {
        let Some(runs) = self.servers.remove(&server) else {
            return Vec::new();
        };
        let broken = runs.iter().filter(|run| run.is_broken);
        let ended = broken
            .filter_map(|run| run.ended)
            .filter(|ended| now.since(*ended) < RETENTION)
            .min()
            .unwrap_or(now);
        let at_end = runs
            .into_iter()
            .filter(|run| run.ended.is_none_or(|own| ended.since(own) < RETENTION))
            .map(|run| {
                let wrote_for = run.began.map(|began| ended.since(began));
                RunAtEnd {
                    content: run.content,
                    wrote_for,
                    was_answered: run.was_answered,
                    is_suspect: wrote_for.is_none_or(|time| time < SURVIVAL_TIME),
                }
            });
        at_end.collect()
    }

    /// Forgets requests that ended long ago.
    pub fn expire(&mut self, now: Timestamp) {
        self.servers.retain(|_, runs| {
            runs.retain(|run| run.ended.is_none_or(|ended| now.since(ended) < RETENTION));
            !runs.is_empty()
        });
    }
}
