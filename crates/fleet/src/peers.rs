//! Heartbeats of the other nodes: liveness, phase and load.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::lease::LeaseClaim;
use crate::lease::LeaseHandover;
use crate::leaving::LeavingServer;
use crate::peer_totals::PeerTotals;

/// Lifecycle phase of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPhase {
    /// The node has no configuration yet and accepts no requests.
    Starting,
    /// The node accepts requests.
    Serving,
    /// The node is shutting down and only finishes its requests in flight.
    Stopping,
}

/// Requests that a node has in flight at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Number of the target, which is the same at all nodes.
    pub target: u32,
    /// Number of requests in flight.
    pub requests: u32,
    /// Number of requests in flight that are expected to miss their latency target. They queue behind the others.
    pub late: u32,
}

/// Attempt of a caller that a node did not serve. The caller may send the request again, to any node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerUnserved {
    /// Hash of the request's content.
    pub fingerprint: u32,
    /// Time until the caller's deadline.
    pub time_left: TimeSpan,
}

/// What a node knows of the request limit of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLimit {
    /// Number of the backend server's process, which is the same at all nodes.
    pub server: u32,
    /// Orders the statements of the backend server; higher for later ones.
    pub version: u64,
    /// Limit on the requests of all nodes together; `None` if the backend server has withdrawn it.
    pub limit: Option<RequestLimit>,
    /// Time since a response last stated the limit.
    pub age: TimeSpan,
    /// Requests that the sending node has sent to the backend server in the last [`LIMIT_WINDOW`].
    pub sent: u32,
}

/// State that a node sends to its peers at every heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerHeartbeat {
    /// Id of the sending node.
    pub node: NodeId,
    /// Distinguishes successive starts of the node.
    pub incarnation: Incarnation,
    /// Failure domain of the node.
    pub failure_domain: FailureDomainId,
    /// Address at which the node accepts callers.
    pub caller_address: SocketAddr,
    /// Address at which the node accepts messages of peers.
    pub peer_address: SocketAddr,
    /// Lifecycle phase; only serving nodes accept callers.
    pub phase: PeerPhase,
    /// Version of the node's configuration.
    pub config_version: u64,
    /// Age of the node's table of backend servers.
    pub table_age: TimeSpan,
    /// Whether the store is unreachable for the node.
    pub is_store_unreachable: bool,
    /// Set while the node holds the controller's lease.
    pub claim: Option<LeaseClaim>,
    /// Set when the node is shutting down and has handed over the lease.
    pub handover: Option<LeaseHandover>,
    /// Requests in flight, by target.
    pub loads: Vec<PeerLoad>,
    /// Targets that send no data although the node has requests in flight there.
    pub stalled_targets: Vec<u32>,
    /// Work of callers' requests since the node's start, by model, in milliseconds of a fully utilized group.
    pub work: Vec<(ModelId, u64)>,
    /// Counts changes of the node's targets. When the lease holder's count changes, its peers refresh their tables.
    pub target_changes: u64,
    /// Targets that the controller on this node has closed to new requests.
    pub closed_targets: Vec<u32>,
    /// Recent attempts of callers that the node did not serve.
    pub unserved: Vec<PeerUnserved>,
    /// Request limits of backend servers.
    pub limits: Vec<PeerLimit>,
    /// Backend servers that have said in a response that they are leaving.
    pub leaving: Vec<LeavingServer>,
    /// Era of the store in its last response to the node; 0 before the first.
    pub store_era: StoreEra,
    /// Highest term of the lease that the node has seen.
    pub latest_term: LeaseEpoch,
}

/// Last heartbeat of a peer.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// Content of the heartbeat.
    pub heartbeat: PeerHeartbeat,
    /// When the heartbeat was received.
    pub received: Timestamp,
}

/// Time without a heartbeat after which a peer counts as down. Covers four heartbeats of 200 ms, so that the loss of
/// single datagrams does not suffice.
pub const PEER_TIMEOUT: TimeSpan = TimeSpan(900);
/// Time over which the requests to a backend server with a request limit are counted. The platform counts over 4 s;
/// the rest is a margin for delays between the nodes and the backend server.
pub const LIMIT_WINDOW: TimeSpan = TimeSpan(4500);
/// Time without a heartbeat after which a peer's record is removed.
const PEER_RETENTION: TimeSpan = TimeSpan::from_secs(60);

/// Last heartbeats of all peers, with totals over the live ones.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeId, PeerRecord>,
    totals: PeerTotals,
}

impl PeerTable {
    /// Records a heartbeat. Heartbeats of an earlier incarnation are ignored.
    pub fn record_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: Timestamp) {
        let before = self.peers.get(&heartbeat.node);
        if before.is_some_and(|record| record.heartbeat.incarnation > heartbeat.incarnation) {
            return;
        }
        if let Some(record) = before {
            self.totals.remove(record);
        }
        let record = PeerRecord {
            heartbeat,
            received: now,
        };
        self.totals.add(&record, now);
        self.peers.insert(record.heartbeat.node.clone(), record);
    }

    /// Removes peers whose retention has ended, and excludes peers that are down from the totals.
    pub fn tick(&mut self, now: Timestamp) {
        self.peers
            .retain(|_, record| now.since(record.received) < PEER_RETENTION);
        self.totals = PeerTotals::default();
        for record in self.peers.values() {
            self.totals.add(record, now);
        }
    }

    /// Requests that live peers have in flight at a target.
    pub fn load_of(&self, target: u32) -> u32 {
        self.totals.load_of(target).requests
    }

    /// Requests of live peers at a target that are expected to miss their latency target.
    pub fn late_load_of(&self, target: u32) -> u32 {
        self.totals.load_of(target).late
    }

    /// Whether a live peer reports a target as stalled.
    pub fn is_stalled(&self, target: u32) -> bool {
        self.totals.is_stalled(target)
    }

    /// Whether a live peer that runs the controller reports a target as closed.
    pub fn is_closed(&self, target: u32) -> bool {
        self.totals.is_closed(target)
    }

    /// Deadlines of the attempts with this fingerprint that live peers did not serve.
    pub fn unserved_deadlines(&self, fingerprint: u32) -> &[Timestamp] {
        self.totals.unserved_deadlines(fingerprint)
    }

    /// Requests to a backend server with a request limit that peers have sent in the last [`LIMIT_WINDOW`].
    pub fn sent_to(&self, server: u32) -> u32 {
        self.totals.sent_to(server)
    }

    /// Peers whose last heartbeat is younger than [`PEER_TIMEOUT`].
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &PeerRecord> {
        self.peers
            .values()
            .filter(move |record| now.since(record.received) < PEER_TIMEOUT)
    }

    /// Serving peers that were heard within [`LIMIT_WINDOW`]. Unlike [`Self::live`], this does not depend on single
    /// heartbeats where each peer sends one every few seconds.
    pub fn recently_serving(&self, now: Timestamp) -> impl Iterator<Item = &NodeId> {
        self.peers
            .values()
            .filter(move |record| {
                record.heartbeat.phase == PeerPhase::Serving
                    && now.since(record.received) < LIMIT_WINDOW
            })
            .map(|record| &record.heartbeat.node)
    }

    /// Number of nodes among which limits for all nodes together are divided: this node and all known peers that have not
    /// announced their stop. It includes peers that are not heard, which may still use their part.
    pub fn sharing_nodes(&self) -> usize {
        let peers = self.peers.values();
        let stays = |record: &&PeerRecord| record.heartbeat.phase != PeerPhase::Stopping;
        peers.filter(stays).count() + 1
    }

    /// Mean age of the heartbeats of the live peers; zero without any.
    pub fn mean_age(&self, now: Timestamp) -> TimeSpan {
        let (count, total) = self
            .live(now)
            .map(|record| now.since(record.received).as_millis())
            .fold((0, 0), |(count, total), age| (count + 1, total + age));
        TimeSpan(total / u64::max(count, 1))
    }

    /// Whether the store is unreachable for so many nodes that no other one can acquire the lease: a majority of the
    /// known peers is live, and a majority of the live ones cannot reach the store.
    pub fn is_store_unreachable(&self, now: Timestamp) -> bool {
        let total = self.peers.len();
        let live = self.live(now).count();
        let unreachable = self
            .live(now)
            .filter(|record| record.heartbeat.is_store_unreachable)
            .count();
        live * 2 > total && unreachable * 2 > live
    }
}
