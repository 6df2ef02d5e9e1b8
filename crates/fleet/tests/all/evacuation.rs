//! Tests of evacuated failure domains: what a node knows of them, and what the controller does.

use std::collections::BTreeSet;

use jaysaddle_fleet::controller::FleetEvent;
use jaysaddle_fleet::evacuation::EvacuationSet;
use jaysaddle_fleet::evacuation::EvacuationState;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::units::Timestamp;

use crate::fake::FakeFleet;
use crate::fake::LARGE;
use crate::fake::SMALL;
use crate::fake::vm;

fn set(era: u64, revision: u64, domains: &[&str]) -> EvacuationSet {
    EvacuationSet {
        era: StoreEra(era),
        revision: StoreRevision(revision),
        domains: domains
            .iter()
            .map(|name| FailureDomainId::new(*name))
            .collect(),
    }
}

/// Guards against a peer with an old set that brings back an evacuation which was taken back, in whatever order sets arrive.
#[test]
fn set_of_an_earlier_revision_changes_nothing() {
    let mut state = EvacuationState::default();
    let domain = FailureDomainId::new("a");
    assert!(state.merge(&set(1, 10, &["a"]), Timestamp(1)).is_some());
    let change = state.merge(&set(1, 20, &[]), Timestamp(2)).expect("change");
    assert_eq!(change.lifted, std::slice::from_ref(&domain));
    for old in [set(1, 10, &["a"]), set(1, 20, &["a"]), set(0, 99, &["a"])] {
        assert_eq!(state.merge(&old, Timestamp(3)), None);
    }
    assert!(!state.is_evacuated(&domain));
    assert_eq!(state.lifted_at(&domain), Some(Timestamp(2)));
}

/// Guards against a store that came back from an older copy, whose revisions are lower than those known before.
#[test]
fn set_of_a_later_era_counts_although_its_revision_is_lower() {
    let mut state = EvacuationState::default();
    state.merge(&set(1, 500, &[]), Timestamp(1));
    assert!(state.merge(&set(2, 30, &["a"]), Timestamp(2)).is_some());
    assert!(state.is_evacuated(&FailureDomainId::new("a")));
}

fn evacuate(fleet: &mut FakeFleet, domains: &[&str]) {
    let domains = domains.iter().map(|name| FailureDomainId::new(*name));
    let domains: BTreeSet<FailureDomainId> = domains.collect();
    fleet.handle_event(FleetEvent::Evacuated(domains));
}

/// Guards against orders and groups in an evacuated failure domain, and against a model whose capacity there still counts,
/// so that no groups are formed elsewhere.
#[test]
fn groups_are_formed_outside_an_evacuated_failure_domain() {
    let mut fleet = FakeFleet::new(8);
    fleet.advance(15_000);
    let serving = |fleet: &FakeFleet| {
        let groups = [LARGE, SMALL].map(|name| fleet.serving_groups(name));
        groups.into_iter().flatten().collect::<Vec<_>>()
    };
    let before = serving(&fleet);
    assert!(!before.is_empty());
    evacuate(&mut fleet, &["a"]);
    for number in 0..8 {
        fleet.add_vm_in(&format!("new{number}"), "d1", "b");
    }
    let orders = fleet.orders.len();
    fleet.advance(15_000);
    let is_evacuated = |id: &str| id.starts_with("vm");
    let later = &fleet.orders[orders..];
    assert!(
        later.iter().all(|(id, _)| !is_evacuated(id.as_str())),
        "{later:?}"
    );
    let new = serving(&fleet).len() - before.len();
    assert!(new > 0, "{:#?}", fleet.decisions);
    evacuate(&mut fleet, &[]);
    fleet.kill(&vm("vm1"));
    fleet.remove_entry(&vm("vm1"));
    fleet.advance(5000);
    assert!(
        fleet.orders[orders..]
            .iter()
            .any(|(id, _)| is_evacuated(id.as_str()))
    );
}
