//! Groups as the entries of their members show them.

use std::collections::BTreeMap;

use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::serving::ServingConfig;

use crate::table::BackendTable;

/// A group as its members report it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedGroup {
    /// Name and generation.
    pub key: GroupKey,
    /// Service of the members.
    pub service: ServiceId,
    /// Model.
    pub model: ModelId,
    /// Members that report the group, by rank.
    pub members: BTreeMap<u32, VmId>,
    /// VMs that the model needs; 0 when the configuration does not name the model.
    pub size: usize,
    /// Phase of the leader, when it reports.
    pub leader_phase: Option<MemberPhase>,
    /// Whether a member announced that it stops.
    pub has_draining: bool,
    /// Whether every reporting member holds its part.
    pub is_loaded: bool,
}

impl ReportedGroup {
    /// Whether every rank of the model's size reports the group.
    pub fn is_whole(&self) -> bool {
        self.size > 0
            && self.members.len() == self.size
            && self
                .members
                .keys()
                .zip(0u32..)
                .all(|(rank, expected)| *rank == expected)
    }

    /// The leader, when it reports.
    pub fn leader(&self) -> Option<&VmId> {
        self.members.get(&0)
    }

    /// Whether new requests may be sent to the leader.
    pub fn accepts_requests(&self) -> bool {
        self.is_whole()
            && self.is_loaded
            && !self.has_draining
            && self.leader_phase == Some(MemberPhase::Open)
    }
}

/// The groups that the entries report.
pub fn reported_groups(
    table: &BackendTable,
    config: &ServingConfig,
) -> BTreeMap<GroupKey, ReportedGroup> {
    let mut groups: BTreeMap<GroupKey, ReportedGroup> = BTreeMap::new();
    for row in table.rows() {
        let entry = &row.entry;
        let (Some(membership), Some(model)) = (&entry.membership, &entry.model) else {
            continue;
        };
        let group = groups.entry(membership.key.clone()).or_insert_with(|| {
            let size = config
                .engine(&entry.service)
                .and_then(|engine| engine.models.iter().find(|profile| profile.id == *model))
                .map_or(0, |profile| profile.group_size);
            ReportedGroup {
                key: membership.key.clone(),
                service: entry.service.clone(),
                model: model.clone(),
                members: BTreeMap::new(),
                size,
                leader_phase: None,
                has_draining: false,
                is_loaded: true,
            }
        });
        group.members.insert(membership.rank, entry.id.clone());
        group.has_draining |= entry.is_draining;
        let is_leader = membership.rank == 0;
        if is_leader {
            group.leader_phase = Some(membership.phase);
        }
        let holds_part = match membership.phase {
            MemberPhase::Ready => true,
            MemberPhase::Open | MemberPhase::Closing => is_leader,
            MemberPhase::Joining | MemberPhase::Broken | MemberPhase::Unknown => false,
        };
        group.is_loaded &= holds_part && *model == group.model;
    }
    groups
}
