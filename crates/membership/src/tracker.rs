//! The membership tracker.

use std::net::SocketAddr;

use jaysaddle_types::ids::NodeId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::Timestamp;

use crate::event::MembershipEffect;
use crate::event::MembershipEvent;
use crate::settings::MembershipSettings;

/// Tracks the nodes of the cluster and spreads rumors between them.
#[derive(Debug)]
pub struct MembershipTracker {
    own: NodeRecord,
}

impl MembershipTracker {
    /// A tracker that knows only itself and looks for peers at the seed addresses.
    pub fn new(
        settings: MembershipSettings,
        own: NodeRecord,
        seeds: Vec<SocketAddr>,
        seed: u64,
    ) -> Self {
        let _ = (settings, seeds, seed);
        Self { own }
    }

    /// Takes one event and returns what to do about it.
    pub fn step(&mut self, event: MembershipEvent, now: Timestamp) -> Vec<MembershipEffect> {
        let _ = (event, now);
        Vec::new()
    }

    /// All known nodes, the own one included.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodeRecord, NodeState)> {
        std::iter::once((&self.own, NodeState::Alive))
    }

    /// One run of a node.
    pub fn record(&self, key: &NodeKey) -> Option<(&NodeRecord, NodeState)> {
        self.nodes().find(|(record, _)| record.key == *key)
    }

    /// The latest run of a node.
    pub fn by_id(&self, id: &NodeId) -> Option<(&NodeRecord, NodeState)> {
        self.nodes().find(|(record, _)| record.key.id == *id)
    }

    /// Share of known peers that answer this node, in thousandths; 1000 when alone.
    pub fn reachable_permille(&self, now: Timestamp) -> u32 {
        let _ = now;
        1000
    }

    /// The node run that took over the ledger of `key`.
    pub fn handover_of(&self, key: &NodeKey) -> Option<&NodeKey> {
        let _ = key;
        None
    }
}
