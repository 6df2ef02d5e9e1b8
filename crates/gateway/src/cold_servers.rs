//! Shares of the requests that cold backend servers bear.
//!
//! A cold backend server bears a number of requests in each second from all nodes together, and ends when it gets many
//! more. Only a few nodes, its owners, send to it while it is cold. Each owner keeps a minimum time between two of its
//! requests, so that it sends at most its whole number of requests in any second, without a burst. All nodes compute the
//! same owners by rendezvous hashing, without messages.
//!
//! # Invariants
//!
//! - The owners are chosen among all known nodes, whether they are heard or not, so both halves of a divided deployment
//!   choose the same ones. The share of a node that is down is not used.
//! - A node that has just started, or hears less than half of the known nodes, may not know who the owners are, and sends
//!   nothing to cold backend servers.
//! - The owners together use a part of the bound only. The rest covers nodes that join and leave, whose peers learn of it
//!   at different times.

use std::collections::HashMap;

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::node_ranks::NodeRanks;
use crate::target::ServerNumber;

/// Bound on the requests that a cold backend server gets in one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Multiple of the rate that the service states for its cold backend servers.
    pub ratio: f64,
    /// Number of requests that are allowed in addition.
    pub slack: f64,
}

impl ColdBound {
    /// Number of requests that a cold backend server may get in one second. `rate` is what the service states.
    pub fn requests(self, rate: f64) -> f64 {
        rate * self.ratio + self.slack
    }
}

/// Tuning parameters of [`ColdServers`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSettings {
    /// Part of the bound that the owners use together.
    pub used_part: f64,
    /// Part of the bound that the owners should reach, for which fewer owners send more often if necessary.
    pub wanted_part: f64,
    /// Time after the start of this node for which it sends nothing to cold backend servers. It covers several heartbeats
    /// of all peers.
    pub settle_time: TimeSpan,
    /// Time by which this node may learn late that a backend server has become cold: the age up to which the table of
    /// backend servers is used.
    pub notice_time: TimeSpan,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self {
            used_part: 0.8,
            wanted_part: 0.65,
            settle_time: TimeSpan(2000),
            notice_time: TimeSpan(2000),
        }
    }
}

/// Highest bound that is divided, in requests a second. Above it, a cold backend server bears what nodes can send; and the
/// division tries all numbers of requests up to the bound.
const MAX_BOUND: f64 = 1e5;

/// How the requests to one cold backend server are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerPlan {
    /// Number of nodes that send.
    pub owners: usize,
    /// Number of requests that each of them sends in a second at most.
    pub requests: u32,
}

impl OwnerPlan {
    /// Divides `bound` requests a second among `nodes` nodes. As many nodes as possible send, because each of them gets
    /// only a part of the callers' requests.
    pub fn new(bound: f64, nodes: usize, settings: &ColdSettings) -> Self {
        let bound = bound.min(MAX_BOUND);
        let usable = (bound * settings.used_part).max(0.0) as u32;
        let mut best = Self {
            owners: 0,
            requests: 0,
        };
        for requests in 1..=usable {
            let owners = nodes.min((usable / requests) as usize);
            let plan = Self { owners, requests };
            if plan.total() > best.total() {
                best = plan;
            }
            if f64::from(best.total()) >= bound * settings.wanted_part {
                break;
            }
        }
        best
    }

    /// Number of requests that all owners send in a second at most.
    pub fn total(self) -> u32 {
        u32::try_from(self.owners)
            .unwrap_or(u32::MAX)
            .saturating_mul(self.requests)
    }

    /// Minimum time between two requests of an owner, so that any second contains at most `requests` of them.
    fn spacing(self) -> TimeSpan {
        TimeSpan(1000 / u64::from(self.requests.max(1)) + 1)
    }
}

/// Whether a request may be sent to a backend server that may be cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdAdmission {
    /// The backend server is warm.
    Warm,
    /// The backend server is cold, and this node may send it a request now.
    Admitted,
    /// The backend server is cold, and this node may not send it a request now.
    Held {
        /// Time until this node may send one, or until the backend server is warm.
        wait: TimeSpan,
    },
}

#[derive(Clone, Copy, Debug)]
struct ColdRecord {
    until: Timestamp,
    /// Requests that it may get in one second, from all nodes.
    bound: f64,
    /// Minimum time between two requests of this node; `None` if this node is no owner, or does not know it yet.
    spacing: Option<TimeSpan>,
    /// When this node has last sent a request; `None` if it has not lately.
    last_sent: Option<Timestamp>,
}

/// Cold backend servers, and this node's share of the requests to each.
#[derive(Debug, Default)]
pub struct ColdServers {
    settings: ColdSettings,
    servers: HashMap<ServerNumber, ColdRecord>,
    /// When this node began to hear its peers; `None` before.
    started: Option<Timestamp>,
}

impl ColdServers {
    /// Records that a backend server is cold until `until`, and may get `bound` requests in one second. `last_sent` is when
    /// this node has last sent it a request. Returns whether it was not known to be cold.
    pub fn record(
        &mut self,
        server: ServerNumber,
        until: Timestamp,
        bound: f64,
        last_sent: Option<Timestamp>,
    ) -> bool {
        let is_new = !self.servers.contains_key(&server);
        let record = self.servers.entry(server).or_insert(ColdRecord {
            until,
            bound,
            spacing: None,
            last_sent,
        });
        record.until = record.until.max(until);
        record.bound = bound;
        is_new
    }

    /// Computes which shares this node has, and forgets backend servers that are warm. `ranks` orders all known nodes, of
    /// which `live` are heard, this one included. Called with each heartbeat.
    pub fn update(&mut self, ranks: &mut NodeRanks, live: usize, now: Timestamp) {
        let started = *self.started.get_or_insert(now);
        self.servers.retain(|_, record| now < record.until);
        let has_settled = now.since(started) >= self.settings.settle_time;
        let knows_owners = has_settled && live * 2 >= ranks.nodes();
        for (server, record) in &mut self.servers {
            let plan = OwnerPlan::new(record.bound, ranks.nodes(), &self.settings);
            let is_owner = knows_owners && ranks.rank(*server) < plan.owners;
            record.spacing = is_owner.then(|| plan.spacing());
        }
    }

    /// Time by which this node may learn late that a backend server has become cold.
    pub fn notice_time(&self) -> TimeSpan {
        self.settings.notice_time
    }

    /// Number of backend servers that are cold.
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Whether a request may be sent to a backend server now.
    pub fn admission(&self, server: ServerNumber, now: Timestamp) -> ColdAdmission {
        let record = self.servers.get(&server);
        let Some(record) = record.filter(|record| now < record.until) else {
            return ColdAdmission::Warm;
        };
        let Some(spacing) = record.spacing else {
            return ColdAdmission::Held {
                wait: record.until.since(now),
            };
        };
        let next_send = record.last_sent.map(|sent| sent + spacing);
        match next_send.filter(|next| now < *next) {
            Some(next) => ColdAdmission::Held {
                wait: next.since(now),
            },
            None => ColdAdmission::Admitted,
        }
    }

    /// Records that this node sends a request to a backend server. Returns whether that server is cold.
    pub fn record_send(&mut self, server: ServerNumber, now: Timestamp) -> bool {
        match self.servers.get_mut(&server) {
            Some(record) if now < record.until => {
                record.last_sent = Some(now);
                true
            }
            _ => false,
        }
    }
}
