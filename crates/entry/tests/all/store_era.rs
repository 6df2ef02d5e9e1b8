//! The era of the store.

use jaysaddle_entry::store_era::EraOutcome;
use jaysaddle_entry::store_era::EraTracker;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::units::Timestamp;

fn observe(tracker: &mut EraTracker, era: u64, now: u64) -> EraOutcome {
    tracker.observe(StoreEra(era), Timestamp(now))
}

/// Guards against a restore that goes unnoticed or is counted twice, by the store and by a peer.
#[test]
fn each_restore_is_noticed_once() {
    let mut tracker = EraTracker::default();
    assert!(!tracker.announce(StoreEra(4)));
    assert_eq!(observe(&mut tracker, 4, 100), EraOutcome::Current);
    assert_eq!(observe(&mut tracker, 5, 200), EraOutcome::Restored);
    assert!(!tracker.announce(StoreEra(5)));
    assert!(tracker.announce(StoreEra(6)));
    assert_eq!(observe(&mut tracker, 6, 300), EraOutcome::Current);
    assert_eq!(tracker.restores(), 2);
}

/// Guards against a late response of a lost history that is used, and against a node that refuses all responses because
/// of one wrong era, named by the store or by a peer.
#[test]
fn lower_era_is_believed_only_if_it_stays() {
    let mut tracker = EraTracker::default();
    observe(&mut tracker, 4, 100);
    observe(&mut tracker, 5, 200);
    assert_eq!(observe(&mut tracker, 4, 300), EraOutcome::Outdated);
    assert_eq!(observe(&mut tracker, 5, 400), EraOutcome::Current);
    assert_eq!(observe(&mut tracker, 4, 5350), EraOutcome::Outdated);
    assert!(tracker.announce(StoreEra(900)));
    assert_eq!(observe(&mut tracker, 5, 5400), EraOutcome::Current);
    assert_eq!(observe(&mut tracker, 700, 5500), EraOutcome::Current);
    for now in [5600, 8000, 10_599] {
        assert_eq!(observe(&mut tracker, 5, now), EraOutcome::Outdated);
    }
    assert_eq!(observe(&mut tracker, 5, 10_600), EraOutcome::Restored);
    assert_eq!(tracker.era(), Some(StoreEra(5)));
}
