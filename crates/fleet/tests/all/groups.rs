//! Groups as entries show them.

use jaysaddle_fleet::groups::ReportedGroup;
use jaysaddle_fleet::groups::reported_groups;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
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
fn a_whole_open_group_serves() {
    let groups = groups_of(vec![
        member("vm0", 1, 0, MemberPhase::Open),
        member("vm1", 1, 1, MemberPhase::Ready),
    ]);
    assert!(groups[0].accepts_requests());
}

/// Guards against requests to a group that lacks a member.
#[test]
fn a_group_without_a_member_does_not_serve() {
    let groups = groups_of(vec![member("vm0", 1, 0, MemberPhase::Open)]);
    assert!(!groups[0].accepts_requests());
}

/// Guards against members of two generations that look like one group.
#[test]
fn members_of_another_generation_do_not_count() {
    let groups = groups_of(vec![
        member("vm0", 1, 0, MemberPhase::Open),
        member("vm1", 2, 1, MemberPhase::Ready),
    ]);
    assert!(groups.iter().all(|group| !group.accepts_requests()));
}

/// Guards against requests to a group that was not opened, loads, closes or broke.
#[test]
fn only_an_open_leader_serves() {
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

/// Guards against new work for a group with a member that stops.
#[test]
fn a_leaving_member_stops_new_requests() {
    let mut leaving = member("vm1", 1, 1, MemberPhase::Ready);
    leaving.is_draining = true;
    let groups = groups_of(vec![member("vm0", 1, 0, MemberPhase::Open), leaving]);
    assert!(!groups[0].accepts_requests());
}
