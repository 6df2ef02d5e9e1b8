//! The fleet view: an immutable snapshot that the control plane publishes to the data plane.

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

/// State of a VM, derived from all sources of evidence.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// No evidence is available yet.
    #[default]
    Unknown,
    /// The VM answers in time.
    Live,
    /// The VM answers, but much later than comparable VMs.
    Straggler,
    /// The VM has missed probes and may recover.
    Suspect,
    /// The VM has failed.
    Dead,
    /// The VM accepts no new work.
    Leaving,
    /// The VM answers again after a failure; it is not used until its damping time has passed.
    Returning,
}

impl VmState {
    /// Whether a group with a member in this state may accept new requests.
    pub fn may_serve(self) -> bool {
        matches!(self, VmState::Live | VmState::Straggler | VmState::Unknown)
    }

    /// Whether the planner may assign a VM in this state to a group.
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
    /// The group is complete and its leader has confirmed the stored generation.
    Ready,
    /// The group accepts no new requests.
    Draining,
    /// A member is missing.
    Incomplete,
}

/// A group as seen by request routing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupView {
    /// Id of the group, unique in the fleet.
    pub id: GroupId,
    /// Generation according to the stored placement.
    pub generation: Generation,
    /// Model that the group serves.
    pub model: ModelId,
    /// Version of the model's weights.
    pub version: ModelVersion,
    /// Fabric domain of the members.
    pub fabric_domain: FabricDomainId,
    /// Failure domain of the members.
    pub failure_domain: FailureDomainId,
    /// Members with their state, in rank order; the first is the leader.
    pub members: Vec<(VmId, VmState)>,
    /// Address of the leader's engine.
    pub leader: SocketAddr,
    /// Readiness for requests.
    pub state: GroupState,
    /// Concurrent requests that the group accepts.
    pub slots: SlotCount,
    /// Why the group is not ready; empty when it is.
    pub reason: compact_str::CompactString,
}

/// A backend server of a plain service as seen by request routing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceView {
    /// Name of the service.
    pub name: ServiceId,
    /// VM that the backend server runs on.
    pub vm: VmId,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomainId,
    /// State of the VM.
    pub state: VmState,
    /// Accounts that may call the service; empty means every account.
    pub accounts: Vec<AccountId>,
    /// Whether calls may be retried when the caller does not state it.
    pub idempotent: bool,
}

/// This node's share of an account's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Concurrent requests that this node grants the account under any load.
    pub floor: SlotCount,
    /// Maximum number of concurrent requests that this node grants; `None` means no limit.
    pub ceiling: Option<SlotCount>,
}

/// Snapshot of the configuration and of the state of groups, services and nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Whether the node has a configuration; without one it serves no callers.
    pub configured: bool,
    /// The rules in force.
    pub rules: Arc<RulesDocument>,
    /// All groups of the placement, including those that are not ready.
    pub groups: Vec<GroupView>,
    /// Backend servers of plain services.
    pub services: Vec<ServiceView>,
    /// All nodes in the membership table, including this one.
    pub nodes: Vec<(NodeRecord, NodeState)>,
    /// Node runs whose request ledger was handed over, mapped to the run that holds it now.
    pub handovers: BTreeMap<NodeKey, NodeKey>,
    /// This node's share of each account's limits.
    pub shares: BTreeMap<AccountId, AccountShare>,
    /// Share of the fleet's slots that this node may fill, in permille.
    pub capacity_permille: u32,
}
