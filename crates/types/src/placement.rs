//! The placement object of a fabric domain, as kept in the store.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FabricDomainId;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::LeaseEpoch;
use crate::ids::ModelId;
use crate::ids::ModelVersion;
use crate::ids::VmId;
use crate::ids::WriteId;

/// Target state of a group in the placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupIntent {
    /// The group is to load its model and serve.
    Serve,
    /// The group accepts no new requests and is dissolved once its requests have ended.
    Drain,
    /// The group accepts no new requests and is changed once its requests have ended: its model
    /// gets another version, or a VM is replaced by another one.
    Rebuild,
}

impl GroupIntent {
    /// Whether the group accepts no new requests.
    pub const fn is_draining(self) -> bool {
        matches!(self, GroupIntent::Drain | GroupIntent::Rebuild)
    }
}

/// A group as stored in the placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupRecord {
    /// Id of the group, unique in the fleet.
    pub id: GroupId,
    /// Fencing token; raised with every change of members, model or version.
    pub generation: Generation,
    /// Model that the group is to load.
    pub model: ModelId,
    /// Version of the model's weights.
    pub version: ModelVersion,
    /// Members in rank order; the first is the leader.
    ///
    /// # Invariants
    ///
    /// All members belong to the document's fabric domain, and no VM is in two records.
    pub members: Vec<VmId>,
    /// Target state of the group.
    pub intent: GroupIntent,
}

/// All groups of one fabric domain. A single conditional update replaces the complete document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementDocument {
    /// Fabric domain that the document covers.
    pub fabric_domain: FabricDomainId,
    /// Epoch of the lease holder that wrote the document.
    pub epoch: LeaseEpoch,
    /// Identifies the write. If the store's response is lost, the writer reads the object back and
    /// compares the id to determine whether the write took effect.
    pub write_id: WriteId,
    /// Highest generation assigned so far; generations are never reused.
    pub last_generation: Generation,
    /// Groups placed in the fabric domain.
    pub groups: Vec<GroupRecord>,
}
