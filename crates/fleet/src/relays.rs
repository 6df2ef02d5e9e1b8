//! Choice of the relays of a large deployment.
//!
//! In a small deployment, each node sends its heartbeats to all others. In a large one that would cost each node more with
//! every other node, so the nodes send their heartbeats to a few relays, and the relays send each node a digest of all
//! of them (`digest.rs`). All nodes choose the relays by the same rule from the nodes that they consider live. While their
//! views differ, there are more relays or fewer for a moment.

use std::cmp::Reverse;

use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::ProcessorShare;

/// Largest number of peers to which a node sends its heartbeats directly.
pub const MAX_DIRECT_PEERS: usize = 24;
/// Number of relays, so that the loss of one or two leaves another.
pub const RELAY_COUNT: usize = 3;

/// A node that may become a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayCandidate<'a> {
    /// Id of the node.
    pub node: &'a NodeId,
    /// Failure domain of the node.
    pub domain: &'a FailureDomainId,
    /// Processor of the node's VM.
    pub processor: ProcessorShare,
    /// Whether the store is unreachable for the node.
    pub is_store_unreachable: bool,
}

impl RelayCandidate<'_> {
    /// Preference among nodes that may do work for all others, best first.
    pub fn preference(&self) -> (bool, Reverse<ProcessorShare>, &NodeId) {
        (
            self.is_store_unreachable,
            Reverse(self.processor),
            self.node,
        )
    }
}

/// Chooses up to [`RELAY_COUNT`] relays, in different failure domains if there are enough. Nodes with more processor time
/// come first, since a relay works for all nodes.
pub fn choose_relays<'a>(mut candidates: Vec<RelayCandidate<'a>>) -> Vec<&'a NodeId> {
    candidates.sort_by(|a, b| a.preference().cmp(&b.preference()));
    let mut chosen: Vec<RelayCandidate<'a>> = Vec::new();
    for candidate in &candidates {
        let is_other_domain = chosen.iter().all(|other| other.domain != candidate.domain);
        if chosen.len() < RELAY_COUNT && is_other_domain {
            chosen.push(*candidate);
        }
    }
    for candidate in &candidates {
        if chosen.len() < RELAY_COUNT && !chosen.contains(candidate) {
            chosen.push(*candidate);
        }
    }
    chosen.into_iter().map(|relay| relay.node).collect()
}
