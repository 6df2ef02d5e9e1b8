//! Totals over the heartbeats of peers, which each heartbeat changes by its difference from the previous one.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::Timestamp;

use crate::digest::PeerDigest;
use crate::peers::LIMIT_WINDOW;
use crate::peers::PEER_TIMEOUT;
use crate::peers::PeerHeartbeat;
use crate::peers::PeerLoad;
use crate::peers::PeerRecord;

/// Requests of all live peers at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetTotal {
    /// Number of requests in flight.
    pub requests: u32,
    /// Number of requests among them that are expected to miss their latency target.
    pub late: u32,
    /// Prompt tokens of the requests whose response has not begun.
    pub unread: u32,
}

/// Totals over the heartbeats of peers.
///
/// # Invariants
///
/// Each total is the sum over the records of the peers in `live`, and `sent` that over the peers in `senders`.
#[derive(Clone, Debug, Default)]
pub struct PeerTotals {
    /// Peers whose heartbeats are included.
    live: HashSet<NodeId>,
    /// Peers whose requests to backend servers with a limit are included. A peer that is down is included for a while,
    /// because what it sent counts.
    senders: HashSet<NodeId>,
    loads: HashMap<u32, TargetTotal>,
    /// Number of peers that report a target as stalled.
    stalled: HashMap<u32, u32>,
    /// Number of peers that report a target as closed.
    closed: HashMap<u32, u32>,
    /// Requests to backend servers with a request limit in the last [`LIMIT_WINDOW`], by server.
    sent: HashMap<u32, u32>,
}

fn increase(counts: &mut HashMap<u32, u32>, key: u32, by: u32) {
    *counts.entry(key).or_default() += by;
}

fn decrease(counts: &mut HashMap<u32, u32>, key: u32, by: u32) {
    if let Some(count) = counts.get_mut(&key) {
        *count = count.saturating_sub(by);
        if *count == 0 {
            counts.remove(&key);
        }
    }
}

impl PeerTotals {
    /// Adds what a record contributes. The silence of its peer counts up to `observed`.
    pub fn add(&mut self, record: &PeerRecord, observed: Timestamp) {
        let heartbeat = &record.heartbeat;
        if record.is_heard_within(LIMIT_WINDOW, observed)
            && self.senders.insert(heartbeat.node.clone())
        {
            for limit in &heartbeat.limits {
                increase(&mut self.sent, limit.server, limit.sent);
            }
        }
        let is_heard = record.is_heard_within(PEER_TIMEOUT, observed);
        if !is_heard || !self.live.insert(heartbeat.node.clone()) {
            return;
        }
        for load in &heartbeat.loads {
            self.add_load(load);
        }
        for target in &heartbeat.stalled_targets {
            increase(&mut self.stalled, *target, 1);
        }
        for target in &heartbeat.closed_targets {
            increase(&mut self.closed, *target, 1);
        }
    }

    /// Removes what a record has contributed.
    pub fn remove(&mut self, record: &PeerRecord) {
        let heartbeat = &record.heartbeat;
        if self.senders.remove(&heartbeat.node) {
            for limit in &heartbeat.limits {
                decrease(&mut self.sent, limit.server, limit.sent);
            }
        }
        if !self.live.remove(&heartbeat.node) {
            return;
        }
        for load in &heartbeat.loads {
            if let Some(total) = self.loads.get_mut(&load.target) {
                total.requests = total.requests.saturating_sub(load.requests);
                total.late = total.late.saturating_sub(load.late);
                total.unread = total.unread.saturating_sub(load.unread);
                if *total == TargetTotal::default() {
                    self.loads.remove(&load.target);
                }
            }
        }
        for target in &heartbeat.stalled_targets {
            decrease(&mut self.stalled, *target, 1);
        }
        for target in &heartbeat.closed_targets {
            decrease(&mut self.closed, *target, 1);
        }
    }

    /// Totals that a digest holds.
    pub fn of_digest(digest: &PeerDigest) -> Self {
        let loads = digest.loads.iter().map(|load| {
            let total = TargetTotal {
                requests: load.requests,
                late: load.late,
                unread: load.unread,
            };
            (load.target, total)
        });
        let sent = digest.sent.iter().map(|sent| (sent.server, sent.requests));
        Self {
            loads: loads.collect(),
            stalled: digest
                .stalled_targets
                .iter()
                .map(|target| (*target, 1))
                .collect(),
            closed: digest
                .closed_targets
                .iter()
                .map(|target| (*target, 1))
                .collect(),
            sent: sent.collect(),
            ..Self::default()
        }
    }

    /// Adds what this node itself contributes, for the digests that it sends.
    pub fn add_own(&mut self, own: &PeerHeartbeat) {
        for load in &own.loads {
            self.add_load(load);
        }
        for target in &own.stalled_targets {
            increase(&mut self.stalled, *target, 1);
        }
        for target in &own.closed_targets {
            increase(&mut self.closed, *target, 1);
        }
        for limit in &own.limits {
            increase(&mut self.sent, limit.server, limit.sent);
        }
    }

    fn add_load(&mut self, load: &PeerLoad) {
        let total = self.loads.entry(load.target).or_default();
        total.requests += load.requests;
        total.late += load.late;
        total.unread = total.unread.saturating_add(load.unread);
    }

    /// Requests in flight, by target.
    pub fn loads(&self) -> BTreeMap<u32, TargetTotal> {
        let loads = self.loads.iter();
        loads.map(|(target, total)| (*target, *total)).collect()
    }

    /// Requests to backend servers with a request limit in the last [`LIMIT_WINDOW`], by server.
    pub fn sent(&self) -> BTreeMap<u32, u32> {
        let sent = self.sent.iter();
        sent.map(|(server, count)| (*server, *count)).collect()
    }

    /// Targets that a peer reports as stalled.
    pub fn stalled_targets(&self) -> Vec<u32> {
        self.stalled.keys().copied().collect()
    }

    /// Targets that a peer reports as closed.
    pub fn closed_targets(&self) -> Vec<u32> {
        self.closed.keys().copied().collect()
    }

    /// Requests in flight at a target.
    pub fn load_of(&self, target: u32) -> TargetTotal {
        self.loads.get(&target).copied().unwrap_or_default()
    }

    /// Whether a peer reports a target as stalled.
    pub fn is_stalled(&self, target: u32) -> bool {
        self.stalled.contains_key(&target)
    }

    /// Whether a peer reports a target as closed.
    pub fn is_closed(&self, target: u32) -> bool {
        self.closed.contains_key(&target)
    }

    /// Requests to a backend server with a request limit in the last [`LIMIT_WINDOW`].
    pub fn sent_to(&self, server: u32) -> u32 {
        self.sent.get(&server).copied().unwrap_or(0)
    }
}
