//! Tests of the controller with backend servers whose process is silent without having failed.

use jaysaddle_fleet::controller::FleetEvent;
use jaysaddle_fleet::controller::ProbeResult;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendOrder;

use crate::fake::FakeFleet;
use crate::fake::LARGE;
use crate::fake::SMALL;
use crate::fake::model;

/// Advances a fleet that needs its group of the large model, while the group of `leader` sends no data.
fn advance_stalled(fleet: &mut FakeFleet, leader: &VmId, millis: u64) {
    for _ in 0..millis / 100 {
        fleet.report_stall(leader);
        *fleet.work.entry(model(LARGE)).or_default() += 60;
        *fleet.work.entry(model(SMALL)).or_default() += 40;
        fleet.advance(100);
    }
}

/// Orders that end the work of a group: those to leave or close it.
fn ending_orders(fleet: &FakeFleet) -> Vec<&(VmId, BackendOrder)> {
    let orders = fleet.orders.iter();
    orders
        .filter(|(_, order)| {
            matches!(
                order,
                BackendOrder::Leave { .. } | BackendOrder::Close { .. }
            )
        })
        .collect()
}

/// Guards against a sound group that is dissolved, or other groups that are closed in its place, because a member does not get
/// the processor for a while. In an incident of December 2026, streams ended when their silent group was ordered to leave.
#[test]
fn paused_members_end_no_group() {
    for (rank, millis) in [(0, 1000), (1, 2500), (0, 4000), (3, 4000)] {
        let mut fleet = FakeFleet::new(10);
        fleet.advance(15_000);
        let groups = (fleet.serving_groups(LARGE), fleet.serving_groups(SMALL));
        let group = groups.0[0].clone();
        let earlier = ending_orders(&fleet).len();
        fleet.paused.insert(group[rank].clone());
        advance_stalled(&mut fleet, &group[0], millis);
        assert_eq!(fleet.controller.closed_leaders(), [group[0].clone()]);
        fleet.resume();
        fleet.advance(1000);
        assert_eq!(
            ending_orders(&fleet).len(),
            earlier,
            "{:#?}",
            fleet.decisions
        );
        let now = (fleet.serving_groups(LARGE), fleet.serving_groups(SMALL));
        assert_eq!(now, groups, "{:#?}", fleet.decisions);
        assert!(fleet.controller.closed_leaders().is_empty());
    }
}

/// Guards against a group that stays closed to requests for good because a member is silent for good, and against orders that
/// are repeated before their response can have arrived.
#[test]
fn member_that_stays_silent_ends_its_group() {
    let mut fleet = FakeFleet::new(10);
    fleet.advance(15_000);
    let group = fleet.serving_groups(LARGE)[0].clone();
    fleet.paused.extend([group[0].clone(), group[1].clone()]);
    advance_stalled(&mut fleet, &group[0], 8000);
    let leaves = ending_orders(&fleet)
        .iter()
        .filter(|(id, order)| *id == group[0] && matches!(order, BackendOrder::Leave { .. }))
        .count();
    assert!(
        (1..=3).contains(&leaves),
        "{leaves}: {:#?}",
        fleet.decisions
    );
    fleet.resume();
    fleet.advance(5000);
    assert!(fleet.overlapping_joins.is_empty());
}

/// Guards against groups that are ended or closed by probes in whose time this process did not run.
#[test]
fn void_probes_count_for_nothing() {
    let mut fleet = FakeFleet::new(4);
    fleet.advance(15_000);
    let orders = ending_orders(&fleet).len();
    let id = fleet.serving_group(SMALL, LARGE)[0].clone();
    for _ in 0..20 {
        let result = ProbeResult::Void;
        fleet.handle_event(FleetEvent::ProbeDone {
            id: id.clone(),
            result,
        });
        fleet.advance(500);
    }
    assert!(fleet.controller.closed_leaders().is_empty());
    assert_eq!(ending_orders(&fleet).len(), orders);
}

/// Guards against requests that are cut because a member of their group deregisters itself before it shuts down, as some backend
/// servers do without a word: the leader must finish them before it leaves, also under a new lease holder.
#[test]
fn group_of_a_deregistered_member_finishes_its_requests() {
    for has_new_holder in [false, true] {
        let mut fleet = FakeFleet::new(4);
        fleet.advance(15_000);
        let group = fleet.serving_group(SMALL, LARGE);
        fleet.remove_entry(&group[1]);
        if has_new_holder {
            fleet.replace_controller(2);
        }
        fleet.advance(1000);
        let orders = ending_orders(&fleet);
        assert_eq!(orders[0].0, group[0]);
        assert!(
            matches!(orders[0].1, BackendOrder::Close { .. }),
            "{orders:?}"
        );
    }
}
