//! Totals over the heartbeats of peers, which each heartbeat changes by its difference from the previous one.

use std::collections::HashMap;
use std::collections::HashSet;

use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::Timestamp;

use crate::peers::LIMIT_WINDOW;
use crate::peers::PEER_TIMEOUT;
use crate::peers::PeerRecord;

/// Requests of all live peers at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetTotal {
    /// Number of requests in flight.
    pub requests: u32,
    /// Number of requests among them that are expected to miss their latency target.
    pub late: u32,
}

/// Totals over the heartbeats of peers.
///
/// # Invariants
///
/// Each total is the sum over the records of the peers in `live`, and `sent` that over the peers in `senders`.
#[derive(Debug, Default)]
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
    /// Deadlines of the attempts that peers did not serve, by fingerprint.
    unserved: HashMap<u32, Vec<Timestamp>>,
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
    /// Adds what a record contributes at `now`.
    pub fn add(&mut self, record: &PeerRecord, now: Timestamp) {
        let heartbeat = &record.heartbeat;
        let age = now.since(record.received);
        if age < LIMIT_WINDOW && self.senders.insert(heartbeat.node.clone()) {
            for limit in &heartbeat.limits {
                increase(&mut self.sent, limit.server, limit.sent);
            }
        }
        if age >= PEER_TIMEOUT || !self.live.insert(heartbeat.node.clone()) {
            return;
        }
        for load in &heartbeat.loads {
            let total = self.loads.entry(load.target).or_default();
            total.requests += load.requests;
            total.late += load.late;
        }
        for target in &heartbeat.stalled_targets {
            increase(&mut self.stalled, *target, 1);
        }
        for target in &heartbeat.closed_targets {
            increase(&mut self.closed, *target, 1);
        }
        for unserved in &heartbeat.unserved {
            let deadline = record.received + unserved.time_left;
            let deadlines = self.unserved.entry(unserved.fingerprint).or_default();
            deadlines.push(deadline);
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
        for unserved in &heartbeat.unserved {
            let deadline = record.received + unserved.time_left;
            if let Some(deadlines) = self.unserved.get_mut(&unserved.fingerprint) {
                if let Some(position) = deadlines.iter().position(|other| *other == deadline) {
                    deadlines.swap_remove(position);
                }
                if deadlines.is_empty() {
                    self.unserved.remove(&unserved.fingerprint);
                }
            }
        }
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

    /// Deadlines of the attempts with this fingerprint that peers did not serve.
    pub fn unserved_deadlines(&self, fingerprint: u32) -> &[Timestamp] {
        self.unserved.get(&fingerprint).map_or(&[], Vec::as_slice)
    }

    /// Requests to a backend server with a request limit in the last [`LIMIT_WINDOW`].
    pub fn sent_to(&self, server: u32) -> u32 {
        self.sent.get(&server).copied().unwrap_or(0)
    }
}
