//! Divides the request limit of a backend server among the nodes.
//!
//! A limit holds for the sum over all nodes and may be lower than one request a second for each of them, so a part for
//! every node would be useless, and a token bucket at every node would exceed the limit by its burst. Only a few nodes,
//! the owners of the limit, send to the backend server while its limit is in force. All nodes compute the same owners
//! by rendezvous hashing, without messages for each request.
//!
//! Nodes may disagree on the owners for a while. The sum stays close to the limit nevertheless:
//!
//! - An owner uses the part of the limit that corresponds to the part of the known nodes it hears, so the halves of a
//!   divided deployment do not each use the whole limit.
//! - A node starts with an empty bucket when it becomes an owner.
//! - Owners count what all nodes have sent lately, as far as heartbeats tell, and wait while this exceeds the limit.

use std::collections::HashMap;

use jaysaddle_fleet::peers::LIMIT_WINDOW;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::node_ranks::NodeRanks;
use crate::server_limits::LimitRecord;
use crate::target::ServerNumber;

/// Rate at which requests are sent even if the limit is lower, in requests a second. Only a response tells that a
/// limit has ended.
const MIN_RATE: f64 = 0.1;
/// Owners of a limit in addition to one for each request a second, so that the loss of one leaves others.
const EXTRA_OWNERS: usize = 1;
/// Time for which an owner may save up its part of the limit, in seconds. It may always save up one request.
const BURST_SECS: f64 = 0.25;
/// Time without a statement of the backend server after which an owner prefers it to others, to learn whether the limit
/// is still in force.
const RECHECK_AGE: TimeSpan = TimeSpan::from_secs(2);
/// Time without a statement of the backend server after which other nodes become the owners, in addition to the time in
/// which an owner may send one request. The present owners may receive no requests that the backend server can serve.
const TURN_MARGIN: TimeSpan = TimeSpan::from_secs(4);

/// Whether a request may be sent to a backend server with a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitAdmission {
    /// This node may send a request now.
    Admitted {
        /// Whether the backend server should be preferred, to learn whether its limit is still in force.
        is_recheck: bool,
    },
    /// This node may not send a request now.
    Held {
        /// Time until this node or another one may send a request.
        wait: TimeSpan,
    },
}

/// Token bucket for a part of a limit.
#[derive(Clone, Copy, Debug)]
struct ShareBucket {
    /// Requests a second.
    rate: f64,
    /// Requests that may be sent at `updated`. Below zero after calls that are not subject to admission.
    tokens: f64,
    updated: Timestamp,
}

impl ShareBucket {
    fn tokens_at(&self, now: Timestamp) -> f64 {
        let added = self.rate * now.since(self.updated).as_duration().as_secs_f64();
        (self.tokens + added).min((self.rate * BURST_SECS).max(1.0))
    }

    fn set_rate(&mut self, rate: f64, now: Timestamp) {
        self.tokens = self.tokens_at(now);
        self.updated = now;
        self.rate = rate;
    }

    fn take(&mut self, now: Timestamp) {
        self.tokens = (self.tokens_at(now) - 1.0).max(-1.0);
        self.updated = now;
    }

    /// Time until a request may be sent.
    fn wait(&self, now: Timestamp) -> TimeSpan {
        let missing = (1.0 - self.tokens_at(now)).max(0.0);
        TimeSpan((missing / self.rate * 1000.0).ceil() as u64)
    }
}

/// Rate of a limit in requests a second, at least [`MIN_RATE`].
fn effective_rate(limit: RequestLimit) -> f64 {
    limit.per_second().max(MIN_RATE)
}

/// Number of owners of a limit among `nodes` nodes.
fn owner_count(limit: RequestLimit, nodes: usize) -> usize {
    let requests = effective_rate(limit).ceil() as usize;
    requests.saturating_add(EXTRA_OWNERS).min(nodes)
}

/// Whether the node at position `rank` of `nodes` owns a limit. `silence` is the time since the last statement of the
/// backend server; after each turn without one, the next nodes become the owners.
fn is_owner(
    rank: usize,
    nodes: usize,
    limit: RequestLimit,
    owners: usize,
    silence: TimeSpan,
) -> bool {
    let request_time = owners as f64 / effective_rate(limit) * 1000.0;
    let turn = request_time as u64 + TURN_MARGIN.0;
    let turns = usize::try_from(silence.0 / turn).unwrap_or(usize::MAX);
    let first = turns.wrapping_mul(owners) % nodes;
    (rank + nodes - first) % nodes < owners
}

/// This node's parts of the limits that it owns.
#[derive(Debug, Default)]
pub struct LimitShares {
    buckets: HashMap<ServerNumber, ShareBucket>,
    /// Whether this node has given up its shares for good.
    is_released: bool,
}

impl LimitShares {
    /// Gives up all shares, because the node stops and its peers no longer count it among the owners.
    pub fn release(&mut self) {
        self.is_released = true;
        self.buckets.clear();
    }

    /// Computes which limits this node owns. `part` is the part of the known nodes that `ranks` includes.
    pub fn update<'a>(
        &mut self,
        records: impl Iterator<Item = (&'a ServerNumber, &'a LimitRecord)>,
        ranks: &mut NodeRanks,
        part: f64,
        now: Timestamp,
    ) {
        if self.is_released {
            return;
        }
        let nodes = ranks.nodes();
        let mut buckets = HashMap::new();
        for (server, record) in records {
            let Some(limit) = record.limit else {
                continue;
            };
            let owners = owner_count(limit, nodes);
            let silence = now.since(record.stated);
            if !is_owner(ranks.rank(*server), nodes, limit, owners, silence) {
                continue;
            }
            let rate = effective_rate(limit) * part / owners as f64;
            let mut bucket = self.buckets.get(server).copied().unwrap_or(ShareBucket {
                rate,
                tokens: 0.0,
                updated: now,
            });
            bucket.set_rate(rate, now);
            buckets.insert(*server, bucket);
        }
        self.buckets = buckets;
    }

    /// Whether this node may send a request to a backend server with a limit that was last stated at `stated`. `sent` is
    /// the number of requests of all nodes in the last [`LIMIT_WINDOW`].
    pub fn admission(
        &self,
        server: ServerNumber,
        limit: RequestLimit,
        stated: Timestamp,
        sent: u32,
        now: Timestamp,
    ) -> LimitAdmission {
        let rate = effective_rate(limit);
        let request_time = TimeSpan((1000.0 / rate).ceil() as u64);
        let Some(bucket) = self.buckets.get(&server) else {
            return LimitAdmission::Held { wait: request_time };
        };
        let wait = bucket.wait(now);
        if wait > TimeSpan(0) {
            return LimitAdmission::Held { wait };
        }
        let window = rate * LIMIT_WINDOW.as_duration().as_secs_f64();
        let allowed = window + owner_count(limit, usize::MAX) as f64;
        if f64::from(sent) + 1.0 > allowed {
            return LimitAdmission::Held { wait: request_time };
        }
        LimitAdmission::Admitted {
            is_recheck: now.since(stated) >= RECHECK_AGE,
        }
    }

    /// Takes a sent request from this node's share.
    pub fn record_send(&mut self, server: ServerNumber, now: Timestamp) {
        if let Some(bucket) = self.buckets.get_mut(&server) {
            bucket.take(now);
        }
    }
}
