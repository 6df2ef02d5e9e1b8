//! What the simulations of content that ends servers share: steps in the order of their times, and the roles of nodes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use jaysaddle_gateway::crash_evidence::PeerRole;

/// Number of relays of a large deployment, and the largest deployment without any.
pub const RELAYS: usize = 3;
const MAX_DIRECT: usize = 25;
/// Interval of heartbeats.
pub const BEAT_MS: u64 = 200;
/// Time in which a node learns what others know.
pub const CONTACT_MS: u64 = 3000;
/// Time after which a server that has ended is back.
pub const RETURN_MS: u64 = 3000;
/// Limit on the control traffic of a node, in bytes a second.
pub const MAX_BYTES_PER_SECOND: usize = 5000;

/// Steps of a simulation. Those of the same time are taken in the order in which they were planned.
pub struct StepQueue<S> {
    steps: BinaryHeap<Reverse<(u64, u64, S)>>,
    count: u64,
}

impl<S: Ord> Default for StepQueue<S> {
    fn default() -> Self {
        Self {
            steps: BinaryHeap::new(),
            count: 0,
        }
    }
}

impl<S: Ord> StepQueue<S> {
    pub fn plan(&mut self, at: u64, step: S) {
        self.count += 1;
        self.steps.push(Reverse((at, self.count, step)));
    }

    /// The next step and its time.
    pub fn pop(&mut self) -> Option<(u64, S)> {
        let Reverse((at, _, step)) = self.steps.pop()?;
        Some((at, step))
    }

    pub fn clear(&mut self) {
        self.steps.clear();
    }
}

/// Whether a deployment of `nodes` has relays.
pub fn has_relays(nodes: usize) -> bool {
    nodes > MAX_DIRECT
}

/// Role of a node. The first nodes of a large deployment are its relays.
pub fn role_of(node: usize, nodes: usize) -> PeerRole {
    match (has_relays(nodes), node < RELAYS) {
        (false, _) => PeerRole::Direct,
        (true, true) => PeerRole::Relay,
        (true, false) => PeerRole::Follower,
    }
}
