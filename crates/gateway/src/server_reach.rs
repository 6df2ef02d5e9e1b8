//! Whether this node reaches backend servers at all.
//!
//! A node that is cut off from all of them while its callers, its peers and the store reach it sees every server fail. That is
//! evidence about the node, not about the servers. It is found by rounds of connection attempts to servers in different failure
//! domains, which begin with the first sign of trouble.
//!
//! # Invariants
//!
//! - A single server that answers shows that the node is not cut off.
//! - Only a connection that was opened after a failure shows that the failure concerns a single server.
//! - A round in which this process was paused shows nothing.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Interval of rounds while the node is cut off.
const RETURN_INTERVAL: TimeSpan = TimeSpan(250);
/// Time without data from any backend server, while requests wait for some, after which a round begins.
const MAX_QUIET: TimeSpan = TimeSpan(500);
/// Maximum number of servers of a round.
pub const ROUND_SERVERS: usize = 6;
/// Fewest servers whose failures show that the node is cut off, if there are as many.
const MIN_SERVERS: usize = 3;

/// Result of a round of connection attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundResult {
    /// Number of servers that were tried.
    pub tried: usize,
    /// Number of servers to which a connection was opened.
    pub reached: usize,
    /// Whether this process was paused meanwhile.
    pub was_interrupted: bool,
}

/// A change of what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// The node is cut off from all servers.
    CutOff,
    /// The node reaches servers again.
    Returned,
}

/// What this node knows of its way to the backend servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerReach {
    is_cut_off: bool,
    /// When a connection was last opened; `None` before the first.
    opened: Option<Timestamp>,
    /// When a server last failed, if it is not known since whether that concerns the server only.
    failed: Option<Timestamp>,
    /// When data of a backend server last arrived, or none was awaited.
    last_data: Timestamp,
    /// When the last round began; `None` before the first.
    last_round: Option<Timestamp>,
    is_round_under_way: bool,
}

impl ServerReach {
    /// Whether the node is cut off from all servers.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Whether the node has reached a server since `failed`, so that a failure at that time concerned a single server.
    pub fn has_reached_since(&self, failed: Timestamp) -> bool {
        !self.is_cut_off && self.opened.is_some_and(|opened| opened >= failed)
    }

    /// Records when a connection to a server was last opened.
    pub fn record_opened(&mut self, at: Timestamp) {
        self.opened = Some(at);
        if self.failed.is_some_and(|failed| failed <= at) {
            self.failed = None;
        }
    }

    /// Records that a server has failed.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failed = Some(now);
    }

    /// Records that data of a backend server has arrived, or that no request waits for any.
    pub fn record_data(&mut self, now: Timestamp) {
        self.last_data = now;
    }

    /// Whether a round should begin: a server has failed, all are silent, or the node is cut off and may return.
    pub fn needs_round(&self, now: Timestamp) -> bool {
        if self.is_round_under_way {
            return false;
        }
        let is_due = |interval: TimeSpan| {
            let last = self.last_round;
            last.is_none_or(|last| now.since(last) >= interval)
        };
        if self.is_cut_off {
            return is_due(RETURN_INTERVAL);
        }
        let is_quiet = now.since(self.last_data) >= MAX_QUIET
            && !self.has_reached_since(now - MAX_QUIET)
            && is_due(MAX_QUIET);
        self.failed.is_some() || is_quiet
    }

    /// Begins a round. Returns `false` if one is under way.
    pub fn begin_round(&mut self, now: Timestamp) -> bool {
        if std::mem::replace(&mut self.is_round_under_way, true) {
            return false;
        }
        self.last_round = Some(now);
        true
    }

    /// Whether a round is under way.
    pub fn is_round_under_way(&self) -> bool {
        self.is_round_under_way
    }

    /// Records the result of a round. `servers` is the number of all servers.
    pub fn end_round(
        &mut self,
        result: RoundResult,
        servers: usize,
        now: Timestamp,
    ) -> Option<ReachChange> {
        self.is_round_under_way = false;
        let RoundResult {
            tried,
            reached,
            was_interrupted,
        } = result;
        if was_interrupted && reached == 0 {
            return None;
        }
        self.failed = None;
        if reached > 0 {
            self.record_opened(now);
        }
        let is_returned = reached * 2 >= tried && reached > 0;
        let is_lost = reached == 0 && tried >= MIN_SERVERS.min(servers).max(1);
        if self.is_cut_off && is_returned {
            self.is_cut_off = false;
            return Some(ReachChange::Returned);
        }
        if !self.is_cut_off && is_lost {
            self.is_cut_off = true;
            return Some(ReachChange::CutOff);
        }
        None
    }
}

/// Selects the servers of a round from all of them, with the failure domain of each: as many as possible in different domains.
/// `turn` makes rounds select different ones.
pub fn round_servers<T>(servers: Vec<(T, String)>, turn: usize) -> Vec<T> {
    let mut domains: Vec<(String, Vec<T>)> = Vec::new();
    for (server, domain) in servers {
        match domains.iter_mut().find(|(name, _)| *name == domain) {
            Some((_, members)) => members.push(server),
            None => domains.push((domain, vec![server])),
        }
    }
    for (_, members) in &mut domains {
        let first = turn % members.len();
        members.rotate_left(first);
        members.truncate(ROUND_SERVERS);
        members.reverse();
    }
    let mut chosen = Vec::new();
    while chosen.len() < ROUND_SERVERS {
        let before = chosen.len();
        for (_, members) in &mut domains {
            if chosen.len() < ROUND_SERVERS {
                chosen.extend(members.pop());
            }
        }
        if chosen.len() == before {
            break;
        }
    }
    chosen
}
