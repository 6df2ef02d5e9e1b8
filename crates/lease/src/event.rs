//! Events and effects of the lease table.

use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::RegionId;
use jaysaddle_types::ids::WriteId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use serde::Deserialize;
use serde::Serialize;

/// Content of a lease object in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Node incarnation that holds the lease; absent after a release.
    pub holder: Option<NodeKey>,
    /// Fencing token; increases with every acquisition.
    pub epoch: LeaseEpoch,
    /// Unique id of the write, which shows whether a write with unknown outcome took effect.
    pub write_id: WriteId,
}

/// A shard and its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardLocation {
    /// Fabric domain whose VMs form the shard.
    pub shard: FabricDomainId,
    /// Region of the shard's VMs. Candidates in the same region rank first.
    pub region: RegionId,
}

/// A node that may hold leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseCandidate {
    /// Incarnation of the node that may become the holder.
    pub node: NodeKey,
    /// Region that the node runs in.
    pub region: RegionId,
}

/// Input of the lease table.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseEvent {
    /// Periodic event that triggers due actions; sent several times a second.
    Tick,
    /// The inventory of shards changed; contains all shards.
    ShardsChanged(Vec<ShardLocation>),
    /// The live nodes changed; contains all of them, with this node unless it is leaving.
    CandidatesChanged(Vec<LeaseCandidate>),
    /// A store call completed.
    CallCompleted {
        /// Id of the [`LeaseEffect::Call`].
        call: CallId,
        /// Outcome of the call; a call that never completes times out in the table.
        outcome: StoreOutcome,
    },
    /// This node stops and releases all leases.
    Release,
}

/// Action that the lease table requests, or change that it reports.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseEffect {
    /// Make a store call, whose outcome returns as a [`LeaseEvent::CallCompleted`].
    Call {
        /// Id that matches the outcome to the call.
        call: CallId,
        /// Read or conditional write of a lease object.
        request: StoreRequest,
    },
    /// This node acquired the lease of a shard.
    Acquired {
        /// Shard that this node now controls.
        shard: FabricDomainId,
        /// Fencing token of the acquisition.
        epoch: LeaseEpoch,
    },
    /// This node no longer holds the lease of a shard.
    Lost {
        /// Shard that this node must no longer control.
        shard: FabricDomainId,
    },
    /// Decision to be logged and counted.
    Decision(DecisionRecord),
}
