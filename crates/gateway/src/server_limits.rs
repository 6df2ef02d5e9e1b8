//! Request limits that backend servers state in their responses, for all nodes together.
//!
//! A backend server states its limit in each response while it is in force. A node passes what it knows on in its
//! heartbeats, so that all nodes know the limit before each has received a response of its own.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::fmt;

use jaysaddle_fleet::peers::LIMIT_WINDOW;
use jaysaddle_fleet::peers::PeerLimit;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::target::ServerNumber;

/// Time for which the limit of a backend server that this node does not know is kept. Nodes learn of a new backend
/// server at different times.
const UNKNOWN_SERVER_RETENTION: TimeSpan = TimeSpan::from_secs(60);

/// Maximum number of limits in a heartbeat, so that it fits into one packet. Further limits take turns.
const MAX_ANNOUNCED: usize = 64;
/// Time after which the next limits are announced if there are more than [`MAX_ANNOUNCED`]; the interval of heartbeats.
const ANNOUNCE_INTERVAL: TimeSpan = TimeSpan(200);

/// How a node has learned of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    /// From a response to this node.
    Response,
    /// From the heartbeat of a peer.
    Peer,
}

impl fmt::Display for LimitSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            LimitSource::Response => "response",
            LimitSource::Peer => "peer",
        })
    }
}

/// Latest known statement of a backend server on its limit.
///
/// # Invariants
///
/// The version rises with each new statement, as a Lamport clock: a node that receives a statement raises the highest
/// version that it knows by one. Clocks of different nodes are not compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRecord {
    /// Orders the statements of all nodes.
    pub version: u64,
    /// Limit in force; `None` after the backend server has withdrawn it.
    pub limit: Option<RequestLimit>,
    /// When the limit took its current value.
    pub since: Timestamp,
    /// When a response last stated the limit, or withdrew it.
    pub stated: Timestamp,
    /// How this node has learned of it.
    pub source: LimitSource,
}

/// Change of a limit in force, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// Limit before the change.
    pub before: Option<RequestLimit>,
    /// Limit after the change.
    pub after: Option<RequestLimit>,
}

/// Part of a limit, in percent, below which a new limit is announced without waiting for the next heartbeat.
const URGENT_PERCENT: u64 = 80;

impl LimitChange {
    /// Whether peers that do not know the change soon would exceed the limit.
    pub fn is_urgent(&self) -> bool {
        match (self.before, self.after) {
            (Some(before), Some(after)) => {
                after.per_kilosecond().saturating_mul(100)
                    < before.per_kilosecond().saturating_mul(URGENT_PERCENT)
            }
            (before, after) => before.is_none() && after.is_some(),
        }
    }
}

impl fmt::Display for LimitChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "limit={} before={}",
            OptionalLimit(self.after),
            OptionalLimit(self.before)
        )
    }
}

struct OptionalLimit(Option<RequestLimit>);

impl fmt::Display for OptionalLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(limit) => limit.fmt(f),
            None => f.write_str("none"),
        }
    }
}

/// Request limits of backend servers, and this node's recent requests to all of them.
#[derive(Debug, Default)]
pub struct ServerLimits {
    records: BTreeMap<ServerNumber, LimitRecord>,
    /// Times of this node's requests in the last [`LIMIT_WINDOW`], oldest first. Also kept for backend servers without
    /// a limit, because requests from before a limit count against it.
    sent: HashMap<ServerNumber, VecDeque<Timestamp>>,
}

impl ServerLimits {
    /// Latest statement of a backend server; `None` if it has never stated a limit.
    pub fn get(&self, server: ServerNumber) -> Option<&LimitRecord> {
        self.records.get(&server)
    }

    /// Latest statements of all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerNumber, &LimitRecord)> {
        self.records.iter()
    }

    /// Number of limits in force.
    pub fn in_force(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.limit.is_some()).count()
    }

    /// Records a request to a backend server.
    pub fn record_send(&mut self, server: ServerNumber, now: Timestamp) {
        let sent = self.sent.entry(server).or_default();
        remove_expired(sent, now);
        sent.push_back(now);
    }

    /// When this node has last sent a request to a backend server; `None` if it has not lately.
    pub fn last_sent(&self, server: ServerNumber) -> Option<Timestamp> {
        self.sent.get(&server)?.back().copied()
    }

    /// Number of this node's requests to a backend server in the last [`LIMIT_WINDOW`].
    pub fn sent_to(&self, server: ServerNumber, now: Timestamp) -> u32 {
        let Some(sent) = self.sent.get(&server) else {
            return 0;
        };
        let expired = sent.partition_point(|time| now.since(*time) >= LIMIT_WINDOW);
        u32::try_from(sent.len() - expired).unwrap_or(u32::MAX)
    }

    /// Records what a response states to a request that was sent at `sent`. `limit` is `None` if the response states no
    /// limit, which withdraws an earlier one.
    ///
    /// A response may be older than the statement in force if its request was sent before that. It may then lower the
    /// limit, but neither raise nor withdraw it.
    pub fn record_response(
        &mut self,
        server: ServerNumber,
        limit: Option<RequestLimit>,
        sent: Timestamp,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let known = self.records.get(&server).copied();
        let before = known.and_then(|record| record.limit);
        let is_lower = is_stricter(limit, before);
        let may_be_outdated = known.is_some_and(|record| sent < record.since);
        if (before.is_none() && limit.is_none())
            || (limit != before && may_be_outdated && !is_lower)
        {
            return None;
        }
        let record = LimitRecord {
            version: known.map_or(0, |record| record.version) + 1,
            limit,
            since: now,
            stated: now,
            source: LimitSource::Response,
        };
        self.replace(server, record)
    }

    /// Merges what a peer announces. Returns the limits that changed.
    pub fn merge(
        &mut self,
        limits: &[PeerLimit],
        now: Timestamp,
    ) -> Vec<(ServerNumber, LimitChange)> {
        let mut changes = Vec::new();
        for announced in limits {
            let server = ServerNumber(announced.server);
            let is_newer = self.records.get(&server).is_none_or(|record| {
                announced.version > record.version
                    || (announced.version == record.version
                        && is_stricter(announced.limit, record.limit))
            });
            if !is_newer {
                continue;
            }
            let stated = now - announced.age;
            let record = LimitRecord {
                version: announced.version,
                limit: announced.limit,
                since: stated,
                stated,
                source: LimitSource::Peer,
            };
            changes.extend(self.replace(server, record).map(|change| (server, change)));
        }
        changes
    }

    fn replace(&mut self, server: ServerNumber, mut record: LimitRecord) -> Option<LimitChange> {
        let known = self.records.get(&server).copied();
        let before = known.and_then(|known| known.limit);
        if let Some(known) = known.filter(|known| known.limit == record.limit) {
            record.since = known.since;
        }
        let after = record.limit;
        self.records.insert(server, record);
        (before != after).then_some(LimitChange { before, after })
    }

    /// What this node tells its peers: all limits, and withdrawals, so that an outdated announcement of another node
    /// does not bring back a limit.
    pub fn announced(&self, now: Timestamp) -> Vec<PeerLimit> {
        let count = self.records.len();
        let turn = (now.0 / ANNOUNCE_INTERVAL.0) as usize;
        let first = turn.wrapping_mul(MAX_ANNOUNCED) % count.max(1);
        self.records
            .iter()
            .cycle()
            .skip(if count > MAX_ANNOUNCED { first } else { 0 })
            .take(count.min(MAX_ANNOUNCED))
            .map(|(server, record)| PeerLimit {
                server: server.0,
                version: record.version,
                limit: record.limit,
                age: now.since(record.stated),
                sent: self.sent_to(*server, now),
            })
            .collect()
    }

    /// Removes what is known of backend servers that are gone.
    pub fn retain(&mut self, servers: &HashSet<ServerNumber>, now: Timestamp) {
        self.records.retain(|server, record| {
            servers.contains(server) || now.since(record.stated) < UNKNOWN_SERVER_RETENTION
        });
        self.sent.retain(|_, sent| {
            remove_expired(sent, now);
            !sent.is_empty()
        });
    }
}

/// Whether a limit allows fewer requests than another; `None` is no limit.
fn is_stricter(limit: Option<RequestLimit>, other: Option<RequestLimit>) -> bool {
    match (limit, other) {
        (Some(limit), Some(other)) => limit < other,
        (limit, other) => limit.is_some() && other.is_none(),
    }
}

fn remove_expired(sent: &mut VecDeque<Timestamp>, now: Timestamp) {
    while sent
        .front()
        .is_some_and(|time| now.since(*time) >= LIMIT_WINDOW)
    {
        sent.pop_front();
    }
}
