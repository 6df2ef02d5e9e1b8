//! Claims about the state of a node run and their precedence.

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::TimeSpan;

/// A claim about the state of one node run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeClaim {
    /// Run that the claim is about, with its addresses.
    pub record: NodeRecord,
    /// Revision of the run's own last claim; only the run itself raises it.
    pub revision: u64,
    /// Claimed state, according to `reporter` or to the run itself.
    pub state: NodeState,
    /// Node that suspects the run or declares it dead; absent if the run itself claims the state.
    pub reporter: Option<NodeKey>,
    /// Time since death; zero for other states.
    pub dead_for: TimeSpan,
}

/// Precedence of claims about one node run; the highest rank wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimRank(pub u64);

impl ClaimRank {
    /// Returns the rank of a state at a revision.
    ///
    /// Suspicion outranks both states that a node claims about itself, because only the node can
    /// refute it, by raising its revision.
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
    /// Returns the rank by which this claim is compared with others about the same run.
    pub fn rank(&self) -> ClaimRank {
        ClaimRank::new(self.revision, self.state)
    }

    /// Returns whether the run itself announced its end, so that no node needs to
    /// probe its address.
    pub fn is_leave_notice(&self) -> bool {
        self.state == NodeState::Dead && self.reporter.is_none()
    }
}
