//! Order of the nodes for what a backend server grants to all of them together.
//!
//! All nodes that know the same members compute the same order by rendezvous hashing, and each backend server has an
//! order of its own. If a node joins or leaves, the others keep their order.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use jaysaddle_types::ids::NodeId;

use crate::target::ServerNumber;

/// Maximum number of ranks that are kept, which bounds the memory while backend servers come and go.
const MAX_RANKS: usize = 4096;

/// Position of this node in the orders of the backend servers.
#[derive(Debug)]
pub struct NodeRanks {
    node: NodeId,
    /// The other nodes.
    members: Vec<NodeId>,
    /// Ranks that were computed for the current members.
    ranks: HashMap<ServerNumber, usize>,
}

fn node_weight(node: &NodeId, server: ServerNumber) -> u64 {
    let mut hasher = DefaultHasher::new();
    (node, server).hash(&mut hasher);
    hasher.finish()
}

impl NodeRanks {
    /// Creates the ranks of a node that knows no others.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            members: Vec::new(),
            ranks: HashMap::new(),
        }
    }

    /// Sets the other nodes.
    pub fn set_members<'a>(&mut self, members: impl Iterator<Item = &'a NodeId> + Clone) {
        if !self.members.iter().eq(members.clone()) {
            self.members = members.cloned().collect();
            self.ranks.clear();
        }
    }

    /// Number of nodes, including this one.
    pub fn nodes(&self) -> usize {
        self.members.len() + 1
    }

    /// Number of nodes that come before this one for a backend server.
    pub fn rank(&mut self, server: ServerNumber) -> usize {
        if self.ranks.len() >= MAX_RANKS {
            self.ranks.clear();
        }
        let (node, members) = (&self.node, &self.members);
        *self.ranks.entry(server).or_insert_with(|| {
            let own_weight = node_weight(node, server);
            let before = members
                .iter()
                .filter(|member| node_weight(member, server) > own_weight);
            before.count()
        })
    }
}
