//! The fleet view: the immutable snapshot that the control lane hands to the traffic lane.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AccountId;
use crate::ids::FabricDomainId;
use crate::ids::FailureDomainId;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::ModelId;
use crate::ids::ModelVersion;
use crate::ids::ServiceId;
use crate::ids::VmId;
use crate::node::NodeKey;
use crate::node::NodeRecord;
use crate::node::NodeState;
use crate::rules::RulesDocument;
use crate::units::SlotCount;

/// State of a VM as judged from all sources.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// No evidence yet.
    #[default]
    Unknown,
    /// Answers in time.
    Live,
    /// Answers, but much slower than its peers.
    Straggler,
    /// Missed probes; may come back.
    Suspect,
    /// Failed.
    Dead,
    /// Takes no new work.
    Leaving,
    /// Answers again after a failure; not used until its damping time has passed.
    Returning,
}

impl VmState {
    /// Whether a group with such a member may take a new request.
    pub fn may_serve(self) -> bool {
        matches!(self, VmState::Live | VmState::Straggler | VmState::Unknown)
    }

    /// Whether the planner may put the VM into a group.
    pub fn may_be_placed(self) -> bool {
        matches!(self, VmState::Live)
    }
}

/// Readiness of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupState {
    /// Weights are being loaded, or the engine has not confirmed the generation.
    Loading,
    /// Whole; the leader confirmed the stored generation.
    Ready,
    /// Takes no new request.
    Draining,
    /// A member is missing.
    Incomplete,
}

/// A group as routing sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupView {
    /// Id of the group.
    pub id: GroupId,
    /// Stored generation.
    pub generation: Generation,
    /// Model.
    pub model: ModelId,
    /// Version of the model.
    pub version: ModelVersion,
    /// Fabric domain.
    pub fabric_domain: FabricDomainId,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Members in rank order with their state; the first is the leader.
    pub members: Vec<(VmId, VmState)>,
    /// Address of the leader's engine.
    pub leader: SocketAddr,
    /// Readiness.
    pub state: GroupState,
    /// Concurrent requests that the group takes.
    pub slots: SlotCount,
    /// Why the group is not ready; empty when it is.
    pub reason: compact_str::CompactString,
}

/// A backend server of a plain service as routing sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceView {
    /// Name of the service.
    pub name: ServiceId,
    /// VM that runs it.
    pub vm: VmId,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// State of the VM.
    pub state: VmState,
    /// Accounts that may call it; empty means every account.
    pub accounts: Vec<AccountId>,
    /// Whether calls may be repeated when the caller does not say.
    pub idempotent: bool,
}

/// This node's share of an account's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Concurrent requests that this node grants the account at any load.
    pub floor: SlotCount,
    /// Concurrent requests that this node grants at most; `None` means no bound.
    pub ceiling: Option<SlotCount>,
}

/// The snapshot itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Whether the node has a configuration; without one it takes no callers.
    pub configured: bool,
    /// Rules in force.
    pub rules: Arc<RulesDocument>,
    /// All groups of the placement, also those that are not ready.
    pub groups: Vec<GroupView>,
    /// Backend servers of plain services.
    pub services: Vec<ServiceView>,
    /// Nodes, this one included.
    pub nodes: Vec<(NodeRecord, NodeState)>,
    /// Node runs whose ledger has moved, with the run that holds it now.
    pub handovers: BTreeMap<NodeKey, NodeKey>,
    /// This node's shares.
    pub shares: BTreeMap<AccountId, AccountShare>,
    /// Share of the fleet's slots that this node may fill, in thousandths.
    pub capacity_permille: u32,
}
