//! What is claimed about a node run, and which of two claims holds.

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::TimeSpan;

/// A claim about the state of one node run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeClaim {
    /// The node.
    pub record: NodeRecord,
    /// Revision of the node's own last claim; only the node itself raises it.
    pub revision: u64,
    /// The state.
    pub state: NodeState,
    /// The node that suspects the subject or declares it dead; absent when the subject itself
    /// claims the state.
    pub reporter: Option<NodeKey>,
    /// Time since death; zero for other states.
    pub dead_for: TimeSpan,
}

/// Orders claims about one node run; the highest holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimRank(pub u64);

impl ClaimRank {
    /// The rank of a state at a revision.
    ///
    /// Suspicion outranks both states that a node claims about itself, because only the node can
    /// take it back, with a higher revision.
    pub fn new(revision: u64, state: NodeState) -> Self {
        let order = match state {
            NodeState::Alive => 0,
            NodeState::Leaving => 1,
            NodeState::Suspect => 2,
            NodeState::Dead => 3,
        };
        Self(revision.saturating_mul(4).saturating_add(order))
    }
}

impl NodeClaim {
    /// The rank of the claim.
    pub fn rank(&self) -> ClaimRank {
        ClaimRank::new(self.revision, self.state)
    }

    /// Whether the node itself has said that it is gone, so that nobody need look for it.
    pub fn is_leave_notice(&self) -> bool {
        self.state == NodeState::Dead && self.reporter.is_none()
    }
}
