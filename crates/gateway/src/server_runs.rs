//! Requests at each process of a backend server, and how far they were when it ended.
//!
//! A request can have ended a process only if the process had just begun to write its answer. Whether it had begun is known
//! from the answer's first data; without any, it may have begun.
//!
//! The end of a request at this node says nothing about its backend server, which may end later: after a withdrawal, because most
//! but not all servers drop a request whose connection closes, and after the whole answer. Each request is therefore remembered
//! until the process is known to have gone on after it, or to have ended.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::awake_clock::ProcessMoment;
use crate::content::RequestContent;
use crate::target::ServerNumber;
use crate::target::ServerProcess;

/// Time after the first data of an answer from which the backend server has survived the request, and after a withdrawal from
/// which the request is not the reason for the end of the process.
pub const SURVIVAL_TIME: TimeSpan = TimeSpan::from_secs(1);
/// Time for which a request is remembered after its end at a process that shows signs of life.
const RETENTION: TimeSpan = TimeSpan::from_secs(3);
/// The same at a process that shows none. It covers the absence of a backend server whose next process is the first sign that the
/// previous one has ended, and the time until its entry is read.
const SILENT_RETENTION: TimeSpan = TimeSpan::from_secs(10);
/// Time that a process needs to exit at most: it may send what it had written after one of its connections was closed.
const EXIT_TIME: TimeSpan = TimeSpan(500);
/// Time within which an ending process closes one connection after the other.
const CLOSE_GAP: TimeSpan = TimeSpan(20);
/// Time after which a node knows of an entry's write at the latest, while the store is not slow.
const ENTRY_DELAY: TimeSpan = TimeSpan(2000);
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

/// What has shown that a process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// Its address refuses connections.
    Refused,
    /// Another process runs in its place. The process has ended at any time since its last sign of life.
    Replaced,
}

impl fmt::Display for EndEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            EndEvidence::Refused => "refused",
            EndEvidence::Replaced => "replaced",
        })
    }
}

#[derive(Debug)]
struct ServerRun {
    number: RunNumber,
    content: Rc<RequestContent>,
    sent: Timestamp,
    /// When the first data arrived; `None` before.
    began: Option<Timestamp>,
    /// When and how the request ended; `None` before.
    ended: Option<(Timestamp, RunEnd)>,
    has_survived: bool,
}

impl ServerRun {
    /// Whether it is over in a way after which its process may still end because of it.
    fn is_over(&self) -> bool {
        match self.ended {
            Some((_, RunEnd::Answered)) => true,
            Some((_, RunEnd::Closed)) => self.began.is_none(),
            Some((_, RunEnd::NotRun | RunEnd::Broken)) | None => false,
        }
    }

    /// Whether the process may have ended because of the request at `ended`.
    fn is_suspect(&self, ended: Timestamp) -> bool {
        match (self.began, self.ended) {
            (Some(began), _) => ended.since(began) < SURVIVAL_TIME,
            (None, Some((own, RunEnd::Closed))) => ended.since(own) < SURVIVAL_TIME,
            (None, _) => true,
        }
    }
}

/// A request at a process that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunAtEnd {
    /// Content of the request.
    pub content: Rc<RequestContent>,
    /// Time for which the process had been writing the answer; `None` if no data had arrived.
    pub wrote_for: Option<TimeSpan>,
    /// Whether the request was over before the end: answered as a whole, or withdrawn before any data.
    pub was_over: bool,
    /// Whether the request may be the cause.
    pub is_suspect: bool,
}

/// The end of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessEnd {
    /// Requests there.
    pub runs: Vec<RunAtEnd>,
    /// Time since the end, as far as known.
    pub age: TimeSpan,
    /// Whether the end was announced, so that no request is the cause.
    pub is_planned: bool,
}

/// A request that a process has survived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SurvivedRun {
    /// Content of the request.
    pub content: Rc<RequestContent>,
    /// Time since its end; zero if it goes on.
    pub age: TimeSpan,
}

/// Connections that a process has closed since it was last known to work.
#[derive(Clone, Copy, Debug)]
struct ClosedConnections {
    first: Timestamp,
    /// The first one of the last ones, which followed within [`CLOSE_GAP`] each. The earlier ones may have been reset by a process
    /// that went on.
    series: ProcessMoment,
    last: Timestamp,
}

/// Requests at one process.
#[derive(Debug, Default)]
struct ProcessRuns {
    runs: Vec<ServerRun>,
    /// The process, and when the first request that is remembered was sent to it. `None` in simulations without a table of
    /// backend servers.
    process: Option<(Rc<ServerProcess>, Timestamp)>,
    /// Connections that were opened after the last series of closed ones may be those of the next process at the address.
    closes: Option<ClosedConnections>,
    /// When data of the process last arrived; `None` before.
    last_data: Option<Timestamp>,
    /// The same, with data that may be the next process's.
    last_any_data: Option<Timestamp>,
    /// Whether the process has said that it leaves.
    has_announced: bool,
    /// When its entry was removed, a time with pauses, unless its writes had stopped before.
    removed_at: Option<Timestamp>,
}

impl ProcessRuns {
    /// Whether the process has announced its end: it has said so, or has removed its entry. Then it serves on for seconds. An entry
    /// that goes with the connections or after them has expired, or the next process has taken its place.
    fn is_leaving(&self) -> bool {
        let is_announcement = |removed: Timestamp| {
            self.closes
                .is_none_or(|closes| closes.series.wall >= removed + CLOSE_GAP)
        };
        self.has_announced || self.removed_at.is_some_and(is_announcement)
    }

    /// Records that the process works. `is_later` says that this may be true of the next process at the address only. Marks the
    /// requests that the process has survived, and returns their contents.
    fn record_alive(&mut self, is_later: bool, now: Timestamp) -> Vec<SurvivedRun> {
        if !is_later {
            self.closes
                .take_if(|closes| now.since(closes.last) >= EXIT_TIME);
        }
        let closes = self.closes.filter(|_| is_later);
        let is_same = |run: &ServerRun| closes.is_none_or(|closes| run.sent >= closes.series.awake);
        let mut survived = Vec::new();
        let runs = self.runs.iter_mut();
        for run in runs.filter(|run| !run.has_survived && is_same(run)) {
            let began = run.began.filter(|began| now.since(*began) >= SURVIVAL_TIME);
            if began.is_some() {
                run.has_survived = true;
                survived.push(SurvivedRun {
                    content: run.content.clone(),
                    age: run.ended.map_or(TimeSpan(0), |(ended, _)| now.since(ended)),
                });
            }
        }
        self.runs
            .retain(|run| !run.has_survived || run.ended.is_none());
        survived
    }

    /// Records data of a request. Unlike an open connection, it shows that the process has not fallen silent.
    fn record_data(&mut self, sent: Timestamp, now: Timestamp) -> Vec<SurvivedRun> {
        let closes = self.closes;
        let is_later = closes.is_some_and(|closes| sent >= closes.series.awake);
        let survived = self.record_alive(is_later, now);
        self.last_any_data = Some(now);
        if !is_later {
            self.last_data = Some(now);
            // Whether the backend server had begun a withdrawn request is not known, so this is no survival.
            self.runs.retain(|run| {
                run.ended
                    .is_none_or(|(ended, _)| now.since(ended) < SURVIVAL_TIME)
            });
        }
        survived
    }

    /// Records that the process has closed a connection.
    fn record_close(&mut self, now: ProcessMoment) {
        let before = self.closes;
        let ongoing = before.filter(|closes| now.awake.since(closes.last) < CLOSE_GAP);
        self.closes = Some(ClosedConnections {
            first: before.map_or(now.awake, |closes| closes.first),
            series: ongoing.map_or(now, |closes| closes.series),
            last: now.awake,
        });
    }

    /// When the process has ended, as far as known.
    fn end_time(&self, evidence: EndEvidence, now: Timestamp) -> Timestamp {
        match (evidence, self.closes) {
            (EndEvidence::Refused, closes) => {
                let times = closes.map(|closes| [closes.first, closes.series.awake]);
                let mut times = times.into_iter().flatten();
                let recent = times.find(|time| now.since(*time) < SURVIVAL_TIME);
                return recent.unwrap_or(now);
            }
            (EndEvidence::Replaced, Some(closes)) => return closes.first,
            (EndEvidence::Replaced, None) => {}
        }
        // The process has fallen silent without closing a connection. The first request without any answer is the likeliest time.
        let is_unanswered = |run: &&ServerRun| {
            run.began.is_none() && self.last_data.is_none_or(|last| run.sent >= last)
        };
        let unanswered = self.runs.iter().filter(is_unanswered);
        let silent = unanswered.map(|run| run.sent).min();
        silent.or(self.last_data).unwrap_or(now)
    }
}

/// Requests at all processes of backend servers.
///
/// All times exclude pauses of this process: the data of a backend server that has ended meanwhile waits in the socket.
#[derive(Debug, Default)]
pub struct ServerRuns {
    servers: HashMap<ServerNumber, ProcessRuns>,
    next: u64,
}

impl ServerRuns {
    /// Records that a request is sent.
    pub fn begin(
        &mut self,
        server: ServerNumber,
        content: Rc<RequestContent>,
        now: Timestamp,
    ) -> RunNumber {
        let number = RunNumber(self.next);
        self.next += 1;
        let runs = &mut self.servers.entry(server).or_default().runs;
        if runs.len() >= MAX_RUNS {
            runs.remove(0);
        }
        runs.push(ServerRun {
            number,
            content,
            sent: now,
            began: None,
            ended: None,
            has_survived: false,
        });
        number
    }

    /// Names the process at which requests are, so that the next process in its place shows its end. `now` is a time with pauses.
    pub fn identify(&mut self, server: ServerNumber, process: &Rc<ServerProcess>, now: Timestamp) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.process.get_or_insert_with(|| (process.clone(), now));
        }
    }

    /// Records data of an answer. Returns the requests that the process has survived, as this data shows.
    pub fn record_data(
        &mut self,
        server: ServerNumber,
        number: RunNumber,
        now: Timestamp,
    ) -> Vec<SurvivedRun> {
        let Some(server) = self.servers.get_mut(&server) else {
            return Vec::new();
        };
        let mut runs = server.runs.iter_mut();
        let Some(run) = runs.find(|run| run.number == number) else {
            return Vec::new();
        };
        run.began.get_or_insert(now);
        let sent = run.sent;
        server.record_data(sent, now)
    }

    /// Records that a process works, because it keeps a connection open since `opened`, a time with pauses. Returns the requests that
    /// it has survived.
    pub fn record_alive(
        &mut self,
        server: ServerNumber,
        opened: Timestamp,
        now: Timestamp,
    ) -> Vec<SurvivedRun> {
        let Some(server) = self.servers.get_mut(&server) else {
            return Vec::new();
        };
        let closes = server.closes;
        server.record_alive(
            closes.is_some_and(|closes| opened >= closes.series.wall),
            now,
        )
    }

    /// Records that a process has announced its end.
    pub fn record_leaving(&mut self, server: ServerNumber) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.has_announced = true;
        }
    }

    /// Records that a process has closed a connection. Returns whether a request there may be the reason if it has ended.
    pub fn record_close(&mut self, server: ServerNumber, now: ProcessMoment) -> bool {
        let Some(server) = self.servers.get_mut(&server) else {
            return false;
        };
        server.record_close(now);
        !server.is_leaving()
    }

    /// Processes with requests of which it is not known yet whether the processes have survived them.
    pub fn awaited_servers(&self) -> impl Iterator<Item = ServerNumber> {
        let servers = self.servers.iter();
        servers
            .filter(|(_, server)| server.runs.iter().any(|run| run.ended.is_some()))
            .map(|(server, _)| *server)
    }

    /// Whether a process works although its address refuses connections: a backend server that stops may close its listener first and
    /// finish its requests. `refused` is the time of the first refusal, and `is_last` says that no further attempt follows.
    pub fn is_finishing(&self, server: ServerNumber, refused: Timestamp, is_last: bool) -> bool {
        let Some(server) = self.servers.get(&server) else {
            return false;
        };
        let has_open = server.runs.iter().any(|run| run.ended.is_none());
        let has_data = server.last_any_data.is_some_and(|data| data > refused);
        // The end of a request may not be noticed while its caller reads slowly.
        has_open && (has_data || !is_last)
    }

    /// Whether requests at a process are remembered.
    pub fn has_runs(&self, server: ServerNumber) -> bool {
        let server = self.servers.get(&server);
        server.is_some_and(|server| !server.is_leaving() && !server.runs.is_empty())
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Whether it is not known what has become of a process after a request that is over.
    pub fn is_awaited(&self, server: ServerNumber) -> bool {
        let server = self.servers.get(&server);
        server.is_some_and(|server| {
            !server.is_leaving() && server.runs.iter().any(ServerRun::is_over)
        })
    }

    /// Records the end of a request.
    pub fn end(
        &mut self,
        server: ServerNumber,
        number: RunNumber,
        end: RunEnd,
        now: ProcessMoment,
    ) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        let Some(position) = server.runs.iter().position(|run| run.number == number) else {
            return;
        };
        let run = &mut server.runs[position];
        run.ended = Some((now.awake, end));
        if end == RunEnd::NotRun || run.has_survived && end != RunEnd::Broken {
            server.runs.remove(position);
        }
        if end == RunEnd::Broken {
            server.record_close(now);
        }
    }

    /// Records that a process has ended. Returns its requests.
    pub fn record_server_end(
        &mut self,
        server: ServerNumber,
        evidence: EndEvidence,
        now: Timestamp,
    ) -> ProcessEnd {
        let Some(server) = self.servers.remove(&server) else {
            return ProcessEnd::default();
        };
        let ended = server.end_time(evidence, now);
        let is_planned = server.is_leaving();
        // The next process has got later requests. When a silent process has ended is not known as well.
        let latest = match (evidence, server.closes) {
            (EndEvidence::Refused, _) => now,
            (EndEvidence::Replaced, Some(closes)) => closes.series.awake,
            (EndEvidence::Replaced, None) => ended + SURVIVAL_TIME,
        };
        // Without a connection that has closed, the next process may have answered already.
        let is_silent = evidence == EndEvidence::Replaced && server.closes.is_none();
        let is_of_process = |run: &ServerRun| {
            let is_answered = matches!(run.ended, Some((_, RunEnd::Answered)));
            run.sent <= latest && !(is_silent && is_answered)
        };
        let runs = server.runs.into_iter().filter(|run| {
            let since = run.ended.map(|(own, _)| ended.since(own));
            since.is_none_or(|since| since < RETENTION)
        });
        let runs = runs.map(|run| RunAtEnd {
            wrote_for: run.began.map(|began| ended.since(began)),
            was_over: run.is_over(),
            is_suspect: run.is_suspect(ended) && is_of_process(&run),
            content: run.content,
        });
        ProcessEnd {
            runs: runs.collect(),
            age: now.since(ended),
            is_planned,
        }
    }

    /// Compares the processes with the table of backend servers. Returns those in whose place another one runs, with their ids.
    pub fn observe_table(&mut self, table: &BackendTable) -> Vec<(ServerNumber, VmId)> {
        let mut present: HashMap<SocketAddr, Vec<_>> = HashMap::new();
        let mut replaced = Vec::new();
        for (number, server) in &mut self.servers {
            let Some((process, known_from)) = &server.process else {
                continue;
            };
            match table.get(&process.id) {
                Some(row) if row.entry.started == process.started => {
                    // An entry may be back that was missing during an outage of the store.
                    server.has_announced = row.entry.is_draining;
                    server.removed_at = None;
                    server
                        .closes
                        .take_if(|closes| row.last_write.since(closes.series.wall) >= ENTRY_DELAY);
                }
                // A restore of the store may bring the entry of an earlier process back.
                Some(row) if (1..row.entry.started).contains(&process.started) => {
                    replaced.push((*number, process.id.clone()));
                    continue;
                }
                Some(_) => continue,
                None => {
                    if let Some(row) = table.removed(&process.id) {
                        server.removed_at = (!row.has_expired).then_some(row.removed_at);
                    }
                }
            }
            let at_address = present.entry(process.address).or_default();
            at_address.push((*number, process, *known_from));
        }
        if present.is_empty() {
            return replaced;
        }
        for row in table.rows() {
            let at_address = present
                .get(&row.entry.address)
                .map_or(&[][..], Vec::as_slice);
            let earlier = at_address.iter().filter(|(_, process, known_from)| {
                process.id != row.entry.id && row.first_seen > *known_from
            });
            replaced.extend(earlier.map(|(number, process, _)| (*number, process.id.clone())));
        }
        replaced
    }

    /// Forgets requests that ended long ago.
    pub fn expire(&mut self, now: Timestamp) {
        self.servers.retain(|_, server| {
            let last_data = server.last_data;
            server.runs.retain(|run| {
                let Some((ended, _)) = run.ended else {
                    return true;
                };
                let is_silent = run.began.is_none() && last_data.is_none_or(|last| last < ended);
                let retention = match is_silent || server.closes.is_some() {
                    true => SILENT_RETENTION,
                    false => RETENTION,
                };
                now.since(ended) < retention
            });
            !server.runs.is_empty()
        });
    }
}
