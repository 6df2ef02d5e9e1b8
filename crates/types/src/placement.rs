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

/// What the placement wants of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupIntent {
    /// The group is to load its model and serve.
    Serve,
    /// The group takes no new request and is dissolved once its requests have ended.
    Drain,
    /// The group takes no new request and is changed once its requests have ended: its model gets
    /// another version, or a VM takes another's place.
    Rebuild,
}

impl GroupIntent {
    /// Whether the group takes no new request.
    pub const fn is_draining(self) -> bool {
        matches!(self, GroupIntent::Drain | GroupIntent::Rebuild)
    }
}

/// One group as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupRecord {
    /// Id of the group.
    pub id: GroupId,
    /// Fencing token; raised with every change of members, model or version.
    pub generation: Generation,
    /// Model of the group.
    pub model: ModelId,
    /// Version of the model.
    pub version: ModelVersion,
    /// Members in rank order; the first is the leader.
    ///
    /// # Invariants
    ///
    /// All members sit in the document's fabric domain, and no VM is in two records.
    pub members: Vec<VmId>,
    /// What is wanted of the group.
    pub intent: GroupIntent,
}

/// All groups of one fabric domain; one conditional update changes them together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementDocument {
    /// The fabric domain.
    pub fabric_domain: FabricDomainId,
    /// Epoch of the lease holder that wrote the document.
    pub epoch: LeaseEpoch,
    /// Marks the write, so that a lost answer is resolved by reading back.
    pub write_id: WriteId,
    /// Highest generation given out so far; generations are never reused.
    pub last_generation: Generation,
    /// The groups.
    pub groups: Vec<GroupRecord>,
}
