//! Identity, state and addresses of nodes, as exchanged between nodes.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FailureDomainId;
use crate::ids::Incarnation;
use crate::ids::NodeId;
use crate::ids::RegionId;

/// Identifies one run of a node, from a start to the next restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeKey {
    /// Name of the node.
    pub id: NodeId,
    /// Incarnation number; higher for later restarts.
    pub incarnation: Incarnation,
}

/// State of a node as seen by another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// The node answers probes.
    Alive,
    /// A probe was not answered; the node can still refute the suspicion.
    Suspect,
    /// The node is stopping; it serves until its callers have moved to other nodes.
    Leaving,
    /// The node has failed or left.
    Dead,
}

/// Addresses and location of a node, as announced from its settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Run of the node that the record describes.
    pub key: NodeKey,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that peers connect to.
    pub peers: SocketAddr,
    /// Failure domain of the node's VM.
    pub failure_domain: FailureDomainId,
    /// Region of the node's VM.
    pub region: RegionId,
}
