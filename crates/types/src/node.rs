//! What nodes know of one another.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FailureDomainId;
use crate::ids::Incarnation;
use crate::ids::NodeId;
use crate::ids::RegionId;

/// One run of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeKey {
    /// The node.
    pub id: NodeId,
    /// Its restart number.
    pub incarnation: Incarnation,
}

/// State of a node as seen by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// Answers probes.
    Alive,
    /// Did not answer; may refute.
    Suspect,
    /// Stops; serves until its callers have moved.
    Leaving,
    /// Failed or has left.
    Dead,
}

/// Addresses and place of a node, as learned from its settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The run of the node.
    pub key: NodeKey,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Region.
    pub region: RegionId,
}
