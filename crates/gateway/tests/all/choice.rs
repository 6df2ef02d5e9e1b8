//! Choice of a target.

use std::collections::HashMap;

use jaysaddle_gateway::target::TargetNumber;
use jaysaddle_types::units::Timestamp;

use crate::scene::Scene;

fn count(numbers: impl Iterator<Item = TargetNumber>) -> HashMap<TargetNumber, u32> {
    let mut counts = HashMap::new();
    for number in numbers {
        *counts.entry(number).or_default() += 1;
    }
    counts
}

#[test]
fn requests_spread_evenly() {
    let mut scene = Scene::new(4);
    let counts = count((0..40).filter_map(|_| scene.send(&[], 100)));
    assert_eq!(counts.len(), 4);
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

/// Guards against several nodes that all send to the group which one of them knows to be free.
#[test]
fn the_load_of_peers_counts() {
    let mut scene = Scene::new(2);
    let first = scene.send(&[], 100).expect("a target");
    scene.hear(vec![(first.0, 10)], vec![], vec![], 100);
    let counts = count((0..9).filter_map(|_| scene.send(&[], 100)));
    assert_eq!(counts.get(&first), None, "{counts:?}");
}

/// Guards against requests to a group whose streams have all stopped, seen here or by a peer.
#[test]
fn a_silent_group_is_avoided() {
    let mut scene = Scene::new(2);
    let first = scene.send(&[], 100).expect("a target");
    let second = scene.send(&[], 100).expect("a target");
    assert_ne!(first, second);
    for now in (150..1000).step_by(50) {
        scene.progress(second, 50, now);
    }
    let counts = count((0..5).filter_map(|_| scene.send(&[], 1000)));
    assert_eq!(counts.get(&first), None, "{counts:?}");
    assert_eq!(scene.gateway.stalled_groups(Timestamp(1000)).len(), 1);

    let mut scene = Scene::new(2);
    let first = scene.send(&[], 100).expect("a target");
    scene.hear(vec![], vec![first.0], vec![], 100);
    let counts = count((0..5).filter_map(|_| scene.send(&[], 100)));
    assert_eq!(counts.get(&first), None, "{counts:?}");
}

/// Guards against requests to a group that the controller, at a peer, is closing.
#[test]
fn a_closed_group_gets_nothing() {
    let mut scene = Scene::new(1);
    let first = scene.send(&[], 100).expect("a target");
    scene.hear(vec![], vec![], vec![first.0], 100);
    assert_eq!(scene.send(&[], 100), None);
}

/// Guards against a second attempt at the target that has just failed.
#[test]
fn a_tried_target_is_not_chosen_again() {
    let mut scene = Scene::new(2);
    let first = scene.send(&[], 100).expect("a target");
    for _ in 0..5 {
        assert_ne!(scene.send(&[first], 100), Some(first));
    }
}

/// Guards against slow groups that get as much as the others.
#[test]
fn a_slow_group_gets_less() {
    let mut scene = Scene::new(2);
    let slow = scene.send(&[], 100).expect("a target");
    let quick = scene.send(&[], 100).expect("a target");
    for now in (150..2000).step_by(50) {
        scene.progress(quick, 50, now);
        scene.progress(slow, 250, now);
    }
    let counts = count((0..12).filter_map(|_| scene.send(&[], 2000)));
    assert!(counts[&quick] >= 9, "{counts:?}");
}
