//! Digest of the heartbeats of all nodes, which a relay sends to each node that is no relay.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::TimeSpan;

use crate::peer_totals::TargetTotal;
use crate::peers::PeerHeartbeat;
use crate::peers::PeerLoad;
use crate::peers::PeerPhase;
use crate::peers::PeerUnserved;
use crate::usage::ServiceUsage;

/// Identifies a node in a digest. It is a hash of the node's id, so all nodes compute the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeNumber(pub u32);

impl NodeNumber {
    /// Computes the number of a node.
    pub fn of(node: &NodeId) -> Self {
        let mut hasher = DefaultHasher::new();
        node.hash(&mut hasher);
        Self((hasher.finish() >> 32) as u32)
    }
}

/// Requests that nodes have sent to a backend server with a request limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSent {
    /// Number of the backend server's process.
    pub server: u32,
    /// Number of requests in the last [`LIMIT_WINDOW`](crate::peers::LIMIT_WINDOW).
    pub requests: u32,
}

/// What a relay has heard from all nodes, without the part of the node that receives the digest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerDigest {
    /// Mean age of the heartbeats from which the loads were taken.
    pub age: TimeSpan,
    /// The live nodes and their phases.
    pub nodes: Vec<(NodeNumber, PeerPhase)>,
    /// Requests in flight, by target.
    pub loads: Vec<PeerLoad>,
    /// Targets that send no data although some node has requests in flight there.
    pub stalled_targets: Vec<u32>,
    /// Targets that the controller has closed to new requests.
    pub closed_targets: Vec<u32>,
    /// Attempts of callers that nodes did not serve and that the relay has learned of lately.
    pub unserved: Vec<PeerUnserved>,
    /// Requests to backend servers with a request limit.
    pub sent: Vec<ServerSent>,
    /// Requests and retries of all nodes by service. They include the part of the node that receives the digest.
    pub usage: Vec<ServiceUsage>,
}

/// Builds the digests of one round.
#[derive(Debug)]
pub struct DigestBuilder {
    /// The digest before the part of its recipient is subtracted, without loads and sent requests.
    common: PeerDigest,
    loads: BTreeMap<u32, TargetTotal>,
    sent: BTreeMap<u32, u32>,
}

impl DigestBuilder {
    /// Creates the digests of what `peers` reported, as summed up in `loads` and `sent`, and of the relay itself.
    pub fn new(
        common: PeerDigest,
        loads: BTreeMap<u32, TargetTotal>,
        sent: BTreeMap<u32, u32>,
    ) -> Self {
        Self {
            common,
            loads,
            sent,
        }
    }

    /// The digest for a node, without its own part. `heartbeat` is the last one of the node that the sums include.
    pub fn digest_for(&self, heartbeat: Option<&PeerHeartbeat>) -> PeerDigest {
        let own_loads = heartbeat.map_or(&[][..], |heartbeat| &heartbeat.loads);
        let own_limits = heartbeat.map_or(&[][..], |heartbeat| &heartbeat.limits);
        let loads = self.loads.iter().filter_map(|(target, total)| {
            let own = own_loads.iter().find(|load| load.target == *target);
            let requests = total.requests - own.map_or(0, |load| load.requests.min(total.requests));
            let late = total.late - own.map_or(0, |load| load.late.min(total.late));
            let unread = total.unread - own.map_or(0, |load| load.unread.min(total.unread));
            (requests > 0).then_some(PeerLoad {
                target: *target,
                requests,
                late,
                unread,
            })
        });
        let sent = self.sent.iter().filter_map(|(server, total)| {
            let own = own_limits.iter().find(|limit| limit.server == *server);
            let requests = total - own.map_or(0, |limit| limit.sent.min(*total));
            (requests > 0).then_some(ServerSent {
                server: *server,
                requests,
            })
        });
        PeerDigest {
            loads: loads.collect(),
            sent: sent.collect(),
            ..self.common.clone()
        }
    }
}
