//! Tests of the groups reconstructed from entries.

use jaysaddle_fleet::groups::ReportedGroup;
use jaysaddle_fleet::groups::group_generation;
use jaysaddle_fleet::groups::group_name;
use jaysaddle_fleet::groups::latest_reported_term;
use jaysaddle_fleet::groups::reported_groups;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::GroupMembership;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::units::Timestamp;

use crate::fake::SMALL;
use crate::fake::config;
use crate::fake::entry;
use crate::fake::model;

fn member(id: &str, generation: u64, rank: u32, phase: MemberPhase) -> BackendEntry {
    BackendEntry {
        model: Some(model(SMALL)),
        membership: Some(GroupMembership {
            key: GroupKey {
                group: GroupId::new("g1"),
                generation: Generation(generation),
            },
            rank,
            phase,
        }),
        ..entry(id, "d0")
    }
}

fn groups_of(entries: Vec<BackendEntry>) -> Vec<ReportedGroup> {
    let mut table = BackendTable::default();
    table.replace(entries, Timestamp(1));
    reported_groups(&table, &config()).into_values().collect()
}

#[test]
fn complete_open_group_accepts_requests() {
    let groups = groups_of(vec![
        member("vm0", 1, 0, MemberPhase::Open),
        member("vm1", 1, 1, MemberPhase::Ready),
    ]);
    assert!(groups[0].accepts_requests());
}

/// Guards against requests to a group with a missing member.
#[test]
fn incomplete_group_accepts_no_requests() {
    let groups = groups_of(vec![member("vm0", 1, 0, MemberPhase::Open)]);
    assert!(!groups[0].accepts_requests());
}

/// Guards against counting members of different generations as one group.
#[test]
fn generations_are_separate_groups() {
    let groups = groups_of(vec![
        member("vm0", 1, 0, MemberPhase::Open),
        member("vm1", 2, 1, MemberPhase::Ready),
    ]);
    assert!(groups.iter().all(|group| !group.accepts_requests()));
}

/// Guards against requests to a group whose leader is in any phase but open.
#[test]
fn only_open_leader_accepts_requests() {
    for phase in [
        MemberPhase::Joining,
        MemberPhase::Ready,
        MemberPhase::Closing,
        MemberPhase::Broken,
        MemberPhase::Unknown,
    ] {
        let groups = groups_of(vec![
            member("vm0", 1, 0, phase),
            member("vm1", 1, 1, MemberPhase::Ready),
        ]);
        assert!(!groups[0].accepts_requests(), "{phase:?}");
    }
}

/// Guards against new requests to a group with a draining member.
#[test]
fn draining_member_stops_new_requests() {
    let mut leaving = member("vm1", 1, 1, MemberPhase::Ready);
    leaving.is_draining = true;
    let groups = groups_of(vec![member("vm0", 1, 0, MemberPhase::Open), leaving]);
    assert!(!groups[0].accepts_requests());
}

/// Guards against terms that are taken from entries of another writer, whose generations would exhaust the terms.
#[test]
fn reported_terms_are_those_of_own_groups() {
    let report = |name: &str, generation: u64| {
        let mut entry = member(&format!("vm-{name}"), generation, 0, MemberPhase::Open);
        if let Some(membership) = &mut entry.membership {
            membership.key.group = GroupId::new(name);
        }
        entry
    };
    let term = LeaseEpoch((3 << 16) | 7);
    let own = report(&group_name(term, 5), group_generation(term, 5).0);
    let mut table = BackendTable::default();
    table.replace(
        vec![own, report("other", u64::MAX), report("g9-1", u64::MAX)],
        Timestamp(1),
    );
    assert_eq!(latest_reported_term(&table), term);
}
