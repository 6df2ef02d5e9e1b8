//! The other nodes: who lives, who takes callers, and what they carry.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::lease::LeaseClaim;
use crate::lease::LeaseHandover;

/// Whether a node takes callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPhase {
    /// It has no configuration yet.
    Starting,
    /// It takes callers.
    Serving,
    /// It finishes what it has.
    Stopping,
}

/// Requests of a node at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Number of the target.
    pub target: u32,
    /// Requests in flight.
    pub requests: u32,
    /// Of these, requests that wait behind those that can still be on time.
    pub late: u32,
}

/// What a node says about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerHeartbeat {
    /// The node.
    pub node: NodeId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Where it takes callers.
    pub caller_address: SocketAddr,
    /// Where it takes messages of peers.
    pub peer_address: SocketAddr,
    /// Whether it takes callers.
    pub phase: PeerPhase,
    /// Version of its configuration.
    pub config_version: u64,
    /// Age of its reading of the backend servers.
    pub table_age: TimeSpan,
    /// Whether the store does not answer it.
    pub is_store_lost: bool,
    /// The lease, when it holds it.
    pub claim: Option<LeaseClaim>,
    /// The lease, when the node stops and has handed it over.
    pub handover: Option<LeaseHandover>,
    /// Requests in flight.
    pub loads: Vec<PeerLoad>,
    /// Targets that send nothing although requests wait.
    pub silent_targets: Vec<u32>,
    /// Work of callers' requests since its start, in milliseconds of a fully used group, by model.
    pub work: Vec<(ModelId, u64)>,
    /// Counts changes of the targets; peers of the lease's holder read the backend servers when it rises.
    pub target_changes: u64,
    /// Targets that must get no new request, as the controller says.
    pub closed_targets: Vec<u32>,
}

/// A peer as last heard.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// What it said.
    pub heartbeat: PeerHeartbeat,
    /// When.
    pub received: Timestamp,
}

/// Silence after which a peer counts as down: four beats of 200 ms, so that lost datagrams alone hardly do it.
pub const PEER_TIMEOUT: TimeSpan = TimeSpan(900);
/// Silence after which a peer is forgotten.
const PEER_FORGOTTEN: TimeSpan = TimeSpan::from_secs(60);

/// The other nodes.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeId, PeerRecord>,
    /// Requests, and late ones of these, of all live peers.
    loads: HashMap<u32, (u32, u32)>,
    silent: HashSet<u32>,
    closed: HashSet<u32>,
}

impl PeerTable {
    /// Takes over a beat; beats of an earlier start are passed over.
    pub fn record_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: Timestamp) {
        let stale = self
            .peers
            .get(&heartbeat.node)
            .is_some_and(|record| record.heartbeat.incarnation > heartbeat.incarnation);
        if stale {
            return;
        }
        self.peers.insert(
            heartbeat.node.clone(),
            PeerRecord {
                heartbeat,
                received: now,
            },
        );
        self.sum_loads(now);
    }

    /// Forgets peers that were silent for long.
    pub fn tick(&mut self, now: Timestamp) {
        self.peers
            .retain(|_, record| now.since(record.received) < PEER_FORGOTTEN);
        self.sum_loads(now);
    }

    fn sum_loads(&mut self, now: Timestamp) {
        self.loads.clear();
        self.silent.clear();
        self.closed.clear();
        for record in self.peers.values() {
            if now.since(record.received) < PEER_TIMEOUT {
                for load in &record.heartbeat.loads {
                    let (requests, late) = self.loads.entry(load.target).or_default();
                    *requests += load.requests;
                    *late += load.late;
                }
                self.silent.extend(&record.heartbeat.silent_targets);
                self.closed.extend(&record.heartbeat.closed_targets);
            }
        }
    }

    /// Requests of live peers at a target.
    pub fn load_of(&self, target: u32) -> u32 {
        self.loads.get(&target).map_or(0, |(requests, _)| *requests)
    }

    /// Requests of live peers that wait at a target behind those that can still be on time.
    pub fn late_load_of(&self, target: u32) -> u32 {
        self.loads.get(&target).map_or(0, |(_, late)| *late)
    }

    /// Whether a live peer gets no data from a target.
    pub fn is_silent(&self, target: u32) -> bool {
        self.silent.contains(&target)
    }

    /// Whether the controller, at a peer, has closed a target.
    pub fn is_closed(&self, target: u32) -> bool {
        self.closed.contains(&target)
    }

    /// Peers heard lately.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &PeerRecord> {
        self.peers
            .values()
            .filter(move |record| now.since(record.received) < PEER_TIMEOUT)
    }

    /// Whether the store answers too few nodes for another one to take the lease: most peers that are known live and
    /// most of these get no answer.
    pub fn is_store_lost(&self, now: Timestamp) -> bool {
        let known = self.peers.len();
        let live = self.live(now).count();
        let lost = self
            .live(now)
            .filter(|record| record.heartbeat.is_store_lost)
            .count();
        live * 2 > known && lost * 2 > live
    }
}
