//! Groups, reconstructed from the entries of their members.

use std::collections::BTreeMap;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::serving::ServingConfig;

use crate::lease::is_credible;
use crate::table::BackendTable;

/// Number of low bits of a generation that count the groups of a term; the high bits hold the term. No term forms
/// as many groups as the counter can hold.
const GENERATION_COUNTER_BITS: u32 = 20;

/// Generation of the group number `number` of a term of the lease.
pub fn group_generation(term: LeaseEpoch, number: u64) -> Generation {
    Generation((term.0 << GENERATION_COUNTER_BITS) | number)
}

fn term_bits(generation: Generation) -> LeaseEpoch {
    LeaseEpoch(generation.0 >> GENERATION_COUNTER_BITS)
}

/// Name of the group number `number` of a term of the lease.
pub fn group_name(term: LeaseEpoch, number: u64) -> CompactString {
    format_compact!("g{term}-{number}")
}

/// Term of the lease under which a group was formed; `None` if its name and generation are not those of such a group.
fn formation_term(key: &GroupKey) -> Option<LeaseEpoch> {
    let term = term_bits(key.generation);
    let number = key.generation.0 & ((1 << GENERATION_COUNTER_BITS) - 1);
    (key.group.as_str() == group_name(term, number)).then_some(term)
}

/// Highest credible term of the lease under which a group was formed that a backend server reports.
pub fn latest_reported_term(table: &BackendTable) -> LeaseEpoch {
    let mut latest = LeaseEpoch(0);
    for membership in table.rows().filter_map(|row| row.entry.membership.as_ref()) {
        if term_bits(membership.key.generation) > latest
            && let Some(term) = formation_term(&membership.key)
            && is_credible(term)
        {
            latest = term;
        }
    }
    latest
}

/// A group as its members report it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedGroup {
    /// Name and generation of the group.
    pub key: GroupKey,
    /// Service to which the members belong.
    pub service: ServiceId,
    /// Model that the members report.
    pub model: ModelId,
    /// Members that report the group, by rank.
    pub members: BTreeMap<u32, VmId>,
    /// Number of VMs in a group of the model; 0 if the configuration does not contain the model.
    pub size: usize,
    /// Phase of the leader; `None` if the leader does not report the group.
    pub leader_phase: Option<MemberPhase>,
    /// Whether any member is draining.
    pub has_draining_member: bool,
    /// Whether every reporting member has its part of the weights.
    pub is_loaded: bool,
}

impl ReportedGroup {
    /// Whether members of all ranks report the group.
    pub fn is_complete(&self) -> bool {
        self.size > 0 && self.members.len() == self.size && self.has_contiguous_ranks()
    }

    /// Whether no member is known to be missing, and the configuration has smaller groups of the model or does not
    /// contain it.
    pub fn is_larger_than_configured(&self) -> bool {
        self.members.len() > self.size && self.has_contiguous_ranks()
    }

    fn has_contiguous_ranks(&self) -> bool {
        self.members
            .keys()
            .zip(0u32..)
            .all(|(rank, expected)| *rank == expected)
    }

    /// The member of rank 0; `None` if it does not report the group.
    pub fn leader(&self) -> Option<&VmId> {
        self.members.get(&0)
    }

    /// Whether new requests may be sent to the leader.
    pub fn accepts_requests(&self) -> bool {
        self.is_complete()
            && self.is_loaded
            && !self.has_draining_member
            && self.leader_phase == Some(MemberPhase::Open)
    }
}

/// Collects the groups that the entries of the table report.
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
                has_draining_member: false,
                is_loaded: true,
            }
        });
        group.members.insert(membership.rank, entry.id.clone());
        group.has_draining_member |= entry.is_draining;
        let is_leader = membership.rank == 0;
        if is_leader {
            group.leader_phase = Some(membership.phase);
        }
        let is_member_loaded = match membership.phase {
            MemberPhase::Ready => true,
            MemberPhase::Open | MemberPhase::Closing => is_leader,
            MemberPhase::Joining | MemberPhase::Broken | MemberPhase::Unknown => false,
        };
        group.is_loaded &= is_member_loaded && *model == group.model;
    }
    groups
}
