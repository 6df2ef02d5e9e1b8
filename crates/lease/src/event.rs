//! Events and effects of control leases.

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

/// A lease as kept in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Holder; absent after a planned release.
    pub holder: Option<NodeKey>,
    /// Fencing token; raised with every change of holder.
    pub epoch: LeaseEpoch,
    /// Marks the write.
    pub write_id: WriteId,
}

/// A shard and where it sits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardLocation {
    /// The fabric domain that makes up the shard.
    pub shard: FabricDomainId,
    /// Its region.
    pub region: RegionId,
}

/// A node that may hold leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseCandidate {
    /// The node.
    pub node: NodeKey,
    /// Its region.
    pub region: RegionId,
}

/// What happens to leases.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseEvent {
    /// Time has passed; sent several times a second.
    Tick,
    /// The shards have changed.
    ShardsChanged(Vec<ShardLocation>),
    /// The live nodes have changed; this node is among them unless it is leaving.
    CandidatesChanged(Vec<LeaseCandidate>),
    /// A call of this part was answered.
    CallAnswered {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: StoreOutcome,
    },
    /// This node stops: release all leases.
    Release,
}

/// What leases want done or known.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseEffect {
    /// Make a call to the store.
    Call {
        /// Matches the answer.
        call: CallId,
        /// The call.
        request: StoreRequest,
    },
    /// This node now holds the shard.
    Acquired {
        /// The shard.
        shard: FabricDomainId,
        /// Its fencing token.
        epoch: LeaseEpoch,
    },
    /// This node no longer holds the shard.
    Lost {
        /// The shard.
        shard: FabricDomainId,
    },
    /// Log line.
    Decision(DecisionRecord),
}
