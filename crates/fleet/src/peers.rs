//! Heartbeats of the other nodes: liveness, phase and load.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::units::ProcessorShare;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::crash_report::CrashFact;
use crate::crash_report::PeerBlock;
use crate::digest::DigestBuilder;
use crate::digest::NodeNumber;
use crate::digest::PeerDigest;
use crate::evacuation::EvacuationSet;
use crate::lease::LeaseClaim;
use crate::lease::LeaseHandover;
use crate::leaving::LeavingServer;
use crate::peer_totals::PeerTotals;
use crate::relays::MAX_DIRECT_PEERS;
use crate::relays::RelayCandidate;
use crate::relays::choose_relays;
use crate::unserved_log::UnservedLog;
use crate::usage::ServiceUsage;
use crate::usage::UsageTotals;
use crate::usage::add_usage;

/// Lifecycle phase of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPhase {
    /// The node has no configuration yet and accepts no requests.
    Starting,
    /// The node accepts requests.
    Serving,
    /// The node accepts requests, but reaches no backend server.
    CutOff,
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
    /// Prompt tokens of the requests whose response has not begun.
    pub unread: u32,
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
    /// Observations of content under which backend servers have ended.
    pub crash_facts: Vec<CrashFact>,
    /// Decisions on such content.
    pub content_blocks: Vec<PeerBlock>,
    /// Backend servers that have said in a response that they are leaving.
    pub leaving: Vec<LeavingServer>,
    /// Requests and retries of the node, by service.
    pub usage: Vec<ServiceUsage>,
    /// Processor of the node's VM.
    pub processor: ProcessorShare,
    /// Version of the node's table of backend servers, which counts its changes in this incarnation.
    pub table_version: u64,
    /// Whether the node relays the state of all nodes.
    pub is_relay: bool,
    /// State of all nodes; set in the heartbeats of a relay to nodes that are no relays.
    pub digest: Option<PeerDigest>,
    /// Era of the store in its last response to the node; 0 before the first.
    pub store_era: StoreEra,
    /// Highest term of the lease that the node has seen.
    pub latest_term: LeaseEpoch,
    /// Evacuated failure domains, as the node knows them; `None` if it knows of none.
    pub evacuations: Option<EvacuationSet>,
}

/// Last heartbeat of a peer.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// Content of the heartbeat.
    pub heartbeat: PeerHeartbeat,
    /// When the heartbeat was received.
    pub received: Timestamp,
    /// The same, later by the time for which this process was paused since.
    heard: Timestamp,
    /// When a digest has last listed the peer as live, later by the time for which this process was paused since; `None` if none has.
    listed: Option<Timestamp>,
}

impl PeerRecord {
    /// Whether the last heartbeat is younger than `age`, apart from pauses of this process.
    pub(crate) fn is_heard_within(&self, age: TimeSpan, observed: Timestamp) -> bool {
        observed.since(self.heard) < age
    }

    /// When this node or a relay has last heard the peer, later by the time for which this process was paused since.
    fn seen(&self) -> Timestamp {
        self.heard.max(self.listed.unwrap_or_default())
    }
}

/// Time without a heartbeat after which a peer counts as down. Covers four heartbeats of 200 ms, so that the loss of
/// single datagrams does not suffice.
pub const PEER_TIMEOUT: TimeSpan = TimeSpan(900);
/// Time over which the requests to a backend server with a request limit are counted. The platform counts over 4 s;
/// the rest is a margin for delays between the nodes and the backend server.
pub const LIMIT_WINDOW: TimeSpan = TimeSpan(4500);
/// Time without a digest for which the peers that the last one listed still count as live. While all relays are lost,
/// the nodes agree on new ones.
const DIGEST_RETENTION: TimeSpan = TimeSpan::from_secs(3);
/// Time for which a digest repeats an attempt that was not served: two rounds of digests, because one may be lost.
const UNSERVED_RELAY_TIME: TimeSpan = TimeSpan(900);
/// Time between two ticks from which this process counts as paused; ticks come with each round of heartbeats, every 200 ms.
const MAX_TICK_GAP: TimeSpan = TimeSpan(300);
/// Time without a heartbeat after which a peer's record is removed.
const PEER_RETENTION: TimeSpan = TimeSpan::from_secs(60);

/// Digest that is in force at a node.
#[derive(Debug)]
struct ReceivedDigest {
    totals: PeerTotals,
    usage: UsageTotals,
    /// Mean age of the heartbeats of the digest when it was received.
    age: TimeSpan,
    received: Timestamp,
    /// The same, later by the time for which this process was paused since.
    heard: Timestamp,
}

/// Last heartbeats of all peers, with totals over the live ones.
///
/// In a large deployment, a node that is no relay knows most peers from digests only (see [`relays`](crate::relays)).
///
/// A node that was paused finds the heartbeats of its peers in its socket. A pause shows as a late tick, and does not count as the
/// peers' silence.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeId, PeerRecord>,
    numbers: HashMap<NodeNumber, NodeId>,
    /// Totals over the heartbeats that this node has received itself.
    totals: PeerTotals,
    /// Last digest; `None` before the first and at a relay.
    digest: Option<ReceivedDigest>,
    unserved: UnservedLog,
    /// When [`Self::tick`] was last called; `None` before the first call.
    last_tick: Option<Timestamp>,
}

impl PeerTable {
    /// Time up to which the silence of peers counts: `now`, unless a tick is late.
    fn observed(&self, now: Timestamp) -> Timestamp {
        self.last_tick
            .map_or(now, |tick| now.min(tick + MAX_TICK_GAP))
    }

    /// Leaves the time in which this process did not run out of the silence of the peers.
    fn excuse_own_pause(&mut self, now: Timestamp) {
        let pause = now.since(self.observed(now));
        for record in self.peers.values_mut() {
            record.heard = record.heard + pause;
            record.listed = record.listed.map(|listed| listed + pause);
        }
        if let Some(digest) = &mut self.digest {
            digest.heard = digest.heard + pause;
        }
    }

    /// Records a heartbeat. Heartbeats of an earlier incarnation are ignored.
    pub fn record_heartbeat(&mut self, mut heartbeat: PeerHeartbeat, now: Timestamp) {
        let before = self.peers.get(&heartbeat.node);
        if before.is_some_and(|record| record.heartbeat.incarnation > heartbeat.incarnation) {
            return;
        }
        if let Some(record) = before {
            self.totals.remove(record);
        } else {
            let number = NodeNumber::of(&heartbeat.node);
            self.numbers.insert(number, heartbeat.node.clone());
        }
        for unserved in &heartbeat.unserved {
            self.unserved.record(*unserved, now);
        }
        let digest = heartbeat.digest.take();
        let record = PeerRecord {
            listed: before.and_then(|record| record.listed),
            heartbeat,
            received: now,
            heard: self.observed(now),
        };
        self.totals.add(&record, self.observed(now));
        self.peers.insert(record.heartbeat.node.clone(), record);
        if let Some(digest) = digest {
            self.record_digest(digest, now);
        }
    }

    fn record_digest(&mut self, digest: PeerDigest, now: Timestamp) {
        let observed = self.observed(now);
        for (number, phase) in &digest.nodes {
            let node = self.numbers.get(number);
            if let Some(record) = node.and_then(|node| self.peers.get_mut(node)) {
                record.listed = Some(observed);
                if !record.is_heard_within(PEER_TIMEOUT, observed) {
                    record.heartbeat.phase = *phase;
                }
            }
        }
        for unserved in &digest.unserved {
            self.unserved.record(*unserved, now);
        }
        let mut usage = UsageTotals::new();
        add_usage(&mut usage, &digest.usage);
        self.digest = Some(ReceivedDigest {
            usage,
            age: digest.age,
            totals: PeerTotals::of_digest(&digest),
            received: now,
            heard: observed,
        });
    }

    /// Removes peers whose retention has ended, and excludes peers that are down from the totals. `is_relay` says whether
    /// this node is a relay, which hears all nodes itself.
    pub fn tick(&mut self, is_relay: bool, now: Timestamp) {
        self.excuse_own_pause(now);
        self.last_tick = Some(now);
        self.peers
            .retain(|_, record| now.since(record.seen()) < PEER_RETENTION);
        let peers = &self.peers;
        self.numbers.retain(|_, node| peers.contains_key(node));
        let is_outdated = |digest: &ReceivedDigest| now.since(digest.heard) >= DIGEST_RETENTION;
        if is_relay || self.digest.as_ref().is_some_and(is_outdated) {
            self.digest = None;
        }
        self.unserved.expire(now);
        self.totals = PeerTotals::default();
        for record in self.peers.values() {
            self.totals.add(record, now);
        }
    }

    /// The totals that include most peers.
    fn widest_totals(&self) -> &PeerTotals {
        let digest = self.digest.as_ref();
        digest.map_or(&self.totals, |digest| &digest.totals)
    }

    /// Requests that live peers have in flight at a target.
    pub fn load_of(&self, target: u32) -> u32 {
        self.widest_totals().load_of(target).requests
    }

    /// Requests of live peers at a target that are expected to miss their latency target.
    pub fn late_load_of(&self, target: u32) -> u32 {
        self.widest_totals().load_of(target).late
    }

    /// Prompt tokens of requests of live peers at a target whose response has not begun.
    pub fn unread_of(&self, target: u32) -> u32 {
        self.widest_totals().load_of(target).unread
    }

    /// Whether a live peer reports a target as stalled.
    pub fn is_stalled(&self, target: u32) -> bool {
        self.totals.is_stalled(target) || self.widest_totals().is_stalled(target)
    }

    /// Whether a live peer that runs the controller reports a target as closed.
    pub fn is_closed(&self, target: u32) -> bool {
        self.totals.is_closed(target) || self.widest_totals().is_closed(target)
    }

    /// Deadlines of the attempts with this fingerprint that live peers did not serve.
    pub fn unserved_deadlines(&self, fingerprint: u32) -> &[Timestamp] {
        self.unserved.deadlines(fingerprint)
    }

    /// Requests to a backend server with a request limit that peers have sent in the last [`LIMIT_WINDOW`].
    pub fn sent_to(&self, server: u32) -> u32 {
        self.widest_totals().sent_to(server)
    }

    /// Requests and retries of all nodes; `own` are those of this node. `None` if most nodes were not heard lately.
    pub fn usage(&self, own: &[ServiceUsage], now: Timestamp) -> Option<UsageTotals> {
        if let Some(digest) = &self.digest {
            let is_recent = self.observed(now).since(digest.heard) < PEER_TIMEOUT;
            return is_recent.then(|| digest.usage.clone());
        }
        let mut totals = UsageTotals::new();
        add_usage(&mut totals, own);
        let mut heard = 0;
        for record in self.heard(now) {
            heard += 1;
            add_usage(&mut totals, &record.heartbeat.usage);
        }
        (heard * 2 >= self.known()).then_some(totals)
    }

    /// Number of peers that were heard or listed lately, whether they are live or not.
    pub fn known(&self) -> usize {
        self.peers.len()
    }

    /// Record of a peer; `None` if it is not known.
    pub fn get(&self, node: &NodeId) -> Option<&PeerRecord> {
        self.peers.get(node)
    }

    /// Peers whose last heartbeat is younger than [`PEER_TIMEOUT`], so that its content is recent.
    pub fn heard(&self, now: Timestamp) -> impl Iterator<Item = &PeerRecord> {
        let observed = self.observed(now);
        self.peers
            .values()
            .filter(move |record| record.is_heard_within(PEER_TIMEOUT, observed))
    }

    /// Peers that this node or a relay has heard within [`PEER_TIMEOUT`]. Apart from its phase, the heartbeat of a peer
    /// that only a relay has heard may be old.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = &PeerRecord> {
        let observed = self.observed(now);
        let digest = self.digest.as_ref().map(|digest| digest.heard);
        self.peers.values().filter(move |record| {
            let is_listed = record.listed.zip(digest).is_some_and(|(listed, digest)| {
                digest.since(listed) < PEER_TIMEOUT && observed.since(digest) < DIGEST_RETENTION
            });
            is_listed || record.is_heard_within(PEER_TIMEOUT, observed)
        })
    }

    /// Serving peers that were seen within [`LIMIT_WINDOW`]. Unlike [`Self::live`], this does not depend on single
    /// heartbeats.
    pub fn recently_serving(&self, now: Timestamp) -> impl Iterator<Item = &NodeId> + Clone {
        let observed = self.observed(now);
        self.peers
            .values()
            .filter(move |record| {
                let is_seen = observed.since(record.seen()) < LIMIT_WINDOW;
                record.heartbeat.phase == PeerPhase::Serving && is_seen
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

    /// The known peers among which limits for all nodes together are divided; see [`Self::sharing_nodes`].
    pub fn sharing(&self) -> impl Iterator<Item = &NodeId> {
        let peers = self.peers.values();
        let sharing = peers.filter(|record| record.heartbeat.phase != PeerPhase::Stopping);
        sharing.map(|record| &record.heartbeat.node)
    }

    /// Mean age of the heartbeats from which the loads of the live peers are taken; zero without any.
    pub fn mean_age(&self, now: Timestamp) -> TimeSpan {
        if let Some(digest) = &self.digest {
            return TimeSpan(digest.age.0 + now.since(digest.received).0);
        }
        let (count, total) = self
            .heard(now)
            .map(|record| now.since(record.received).as_millis())
            .fold((0, 0), |(count, total), age| (count + 1, total + age));
        TimeSpan(total / u64::max(count, 1))
    }

    /// Whether the store is unreachable for so many nodes that no other one can acquire the lease: a majority of the
    /// known peers is heard, and a majority of those cannot reach the store.
    pub fn is_store_unreachable(&self, now: Timestamp) -> bool {
        let total = self.peers.len();
        let heard = self.heard(now).count();
        let unreachable = self
            .heard(now)
            .filter(|record| record.heartbeat.is_store_unreachable)
            .count();
        heard * 2 > total && unreachable * 2 > heard
    }

    /// The relays among this node and its peers; none in a deployment in which all nodes send their heartbeats to all
    /// others. A relay that has fallen silent is left out at once, before the digests of the others show it.
    pub fn relays(&self, own: RelayCandidate<'_>, now: Timestamp) -> Vec<NodeId> {
        if self.known() <= MAX_DIRECT_PEERS {
            return Vec::new();
        }
        let observed = self.observed(now);
        let peers = self.live(now).filter(|record| {
            let is_silent = !record.is_heard_within(PEER_TIMEOUT, observed);
            record.heartbeat.phase != PeerPhase::Stopping
                && !(record.heartbeat.is_relay && is_silent)
        });
        let candidates = peers.map(|record| RelayCandidate {
            node: &record.heartbeat.node,
            domain: &record.heartbeat.failure_domain,
            processor: record.heartbeat.processor,
            is_store_unreachable: record.heartbeat.is_store_unreachable,
        });
        let relays = choose_relays(candidates.chain([own]).collect());
        relays.into_iter().cloned().collect()
    }

    /// Prepares the digests that a relay sends. `own` is the relay's own heartbeat.
    pub fn digests(&self, own: &PeerHeartbeat, now: Timestamp) -> DigestBuilder {
        let own_node = (NodeNumber::of(&own.node), own.phase);
        let nodes = self.heard(now).map(|record| {
            let heartbeat = &record.heartbeat;
            (NodeNumber::of(&heartbeat.node), heartbeat.phase)
        });
        let mut totals = self.totals.clone();
        totals.add_own(own);
        let mut unserved = own.unserved.clone();
        unserved.extend(self.unserved.learned_within(UNSERVED_RELAY_TIME, now));
        let common = PeerDigest {
            age: self.mean_age(now),
            nodes: nodes.chain([own_node]).collect(),
            stalled_targets: totals.stalled_targets(),
            closed_targets: totals.closed_targets(),
            usage: self
                .usage(&own.usage, now)
                .map(|usage| usage.into_values().collect())
                .unwrap_or_default(),
            unserved,
            ..PeerDigest::default()
        };
        DigestBuilder::new(common, totals.loads(), totals.sent())
    }

    /// The digest of a node, without its own part.
    pub fn digest_for(&self, builder: &DigestBuilder, node: &NodeId, now: Timestamp) -> PeerDigest {
        let observed = self.observed(now);
        let record = self.peers.get(node);
        let heard = record.filter(|record| record.is_heard_within(PEER_TIMEOUT, observed));
        builder.digest_for(heard.map(|record| &record.heartbeat))
    }
}
