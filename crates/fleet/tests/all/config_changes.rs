//! Tests of the controller while the configuration of models and group sizes changes.

use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::EngineProfile;

use crate::fake::FakeFleet;
use crate::fake::LARGE;
use crate::fake::SMALL;
use crate::fake::model;

fn profile(fleet: &mut FakeFleet) -> &mut EngineProfile {
    fleet.config.services[0].engine.as_mut().expect("engine")
}

fn set_group_size(fleet: &mut FakeFleet, name: &str, size: usize) {
    let models = &mut profile(fleet).models;
    let profile = models.iter_mut().find(|profile| profile.id == model(name));
    profile.expect("a model").group_size = size;
}

/// Leaders that were ordered to leave, which cuts their requests, without an order to close before.
fn cut_leaders(fleet: &FakeFleet, leaders: &[VmId], from: usize) -> Vec<VmId> {
    let orders = &fleet.orders[from..];
    let first = |leader: &VmId| {
        orders.iter().find(|(to, order)| {
            to == leader
                && matches!(
                    order,
                    BackendOrder::Leave { .. } | BackendOrder::Close { .. }
                )
        })
    };
    let leaders = leaders.iter().filter(|leader| {
        first(leader).is_some_and(|(_, order)| matches!(order, BackendOrder::Leave { .. }))
    });
    leaders.cloned().collect()
}

fn leaders(fleet: &FakeFleet) -> Vec<VmId> {
    let mut groups = fleet.serving_groups(LARGE);
    groups.extend(fleet.serving_groups(SMALL));
    groups.into_iter().map(|group| group[0].clone()).collect()
}

/// Guards against a new lease holder that ends the requests of all groups of a model when the configuration no longer
/// contains it.
#[test]
fn groups_of_a_removed_model_are_closed_before_they_end() {
    let mut fleet = FakeFleet::new(12);
    fleet.advance(15_000);
    let leaders = leaders(&fleet);
    profile(&mut fleet)
        .models
        .retain(|profile| profile.id != model(SMALL));
    let from = fleet.orders.len();
    fleet.replace_controller(2);
    fleet.advance(10_000);
    let cut = cut_leaders(&fleet, &leaders, from);
    assert!(
        cut.is_empty(),
        "{cut:?} of {leaders:?}: {:#?}",
        fleet.decisions
    );
}

/// Guards against a new lease holder that ends the requests of all groups of a model when its group size is lowered.
#[test]
fn groups_of_another_size_are_closed_before_they_end() {
    let mut fleet = FakeFleet::new(12);
    fleet.advance(15_000);
    let leaders = leaders(&fleet);
    set_group_size(&mut fleet, LARGE, 3);
    let from = fleet.orders.len();
    fleet.replace_controller(2);
    fleet.advance(10_000);
    let cut = cut_leaders(&fleet, &leaders, from);
    assert!(
        cut.is_empty(),
        "{cut:?} of {leaders:?}: {:#?}",
        fleet.decisions
    );
}

/// Guards against groups that hold their VMs without serving after the group size of their model has changed.
#[test]
fn groups_are_formed_again_after_a_change_of_their_size() {
    for size in [3, 5] {
        let mut fleet = FakeFleet::new(12);
        fleet.advance(15_000);
        assert!(!fleet.serving_groups(LARGE).is_empty());
        let leaders = leaders(&fleet);
        set_group_size(&mut fleet, LARGE, size);
        let from = fleet.orders.len();
        fleet.advance(40_000);
        let groups = fleet.serving_groups(LARGE);
        assert!(!groups.is_empty(), "size {size}: {:#?}", fleet.decisions);
        let cut = cut_leaders(&fleet, &leaders, from);
        assert!(cut.is_empty(), "size {size}: {cut:?}");
        assert!(fleet.overlapping_joins.is_empty());
    }
}

/// Guards against VMs that stay idle: the group size of a model changes, or the model is removed, while its groups are being
/// formed. They can never be complete, and must not hold their VMs until the join times out.
#[test]
fn groups_being_formed_end_when_their_size_changes() {
    for (has_new_holder, removes) in [(false, false), (true, false), (false, true), (true, true)] {
        let mut fleet = FakeFleet::new(12);
        fleet.advance(3000);
        if removes {
            let models = &mut profile(&mut fleet).models;
            models.retain(|profile| profile.id != model(SMALL));
        } else {
            set_group_size(&mut fleet, SMALL, 3);
        }
        if has_new_holder {
            fleet.replace_controller(2);
        }
        fleet.advance(25_000);
        let serving = fleet.serving_groups(SMALL).len() + fleet.serving_groups(LARGE).len();
        assert_eq!(
            serving, 3,
            "new holder {has_new_holder}, removed {removes}: {:#?}",
            fleet.decisions
        );
        assert!(fleet.overlapping_joins.is_empty());
    }
}

/// Guards against VMs that a group holds without serving: the group size is lowered, and the next holder takes the group over
/// as complete, because its table does not show the last member yet.
#[test]
fn group_taken_over_without_its_last_member_ends_after_a_change_of_its_size() {
    for formed in [1500, 15_000] {
        let mut fleet = FakeFleet::new(4);
        profile(&mut fleet)
            .models
            .retain(|profile| profile.id == model(LARGE));
        fleet.advance(formed);
        let last = fleet.orders[3].0.clone();
        set_group_size(&mut fleet, LARGE, 3);
        fleet.remove_entry(&last);
        fleet.replace_controller(2);
        fleet.advance(3000);
        fleet.restore_entry(&last);
        fleet.advance(25_000);
        let groups = fleet.serving_groups(LARGE);
        assert_eq!(groups.len(), 1, "{formed} ms: {:#?}", fleet.decisions);
        assert!(fleet.overlapping_joins.is_empty());
    }
}

/// Guards against VMs that open groups hold without serving after their model was removed.
#[test]
fn open_groups_of_a_removed_model_end() {
    let mut fleet = FakeFleet::new(8);
    fleet.advance(15_000);
    let models = &mut profile(&mut fleet).models;
    models.retain(|profile| profile.id == model(LARGE));
    fleet.advance(30_000);
    let groups = fleet.serving_groups(LARGE);
    assert_eq!(groups.len(), 2, "{:#?}", fleet.decisions);
}

/// Guards against an outage of all groups of a service because its part of a configuration is unreadable.
#[test]
fn groups_of_a_service_without_a_profile_stay_open() {
    let mut fleet = FakeFleet::new(8);
    fleet.advance(15_000);
    let before = fleet.open_groups();
    for service in &mut fleet.config.services {
        service.engine = None;
    }
    fleet.advance(10_000);
    assert!(!before.is_empty());
    assert_eq!(fleet.open_groups(), before, "{:#?}", fleet.decisions);
}
