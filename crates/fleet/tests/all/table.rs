//! The table of backend servers.

use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::units::Timestamp;

use crate::fake::entry;
use crate::fake::vm;

/// Guards against a backend server that starts again under its id and is taken for its former start.
#[test]
fn a_new_start_under_an_old_id_is_seen() {
    let mut table = BackendTable::default();
    table.put(entry("vm0", "d0"), Timestamp(100));
    let mut restarted = entry("vm0", "d0");
    restarted.started = 2;
    assert!(table.put(restarted, Timestamp(900)));
    assert_eq!(
        table.get(&vm("vm0")).expect("row").first_seen,
        Timestamp(900)
    );
}

/// Guards against work for every heartbeat: a write that changes nothing is no change.
#[test]
fn a_heartbeat_is_no_change() {
    let mut table = BackendTable::default();
    table.put(entry("vm0", "d0"), Timestamp(100));
    let before = table.change_count();
    assert!(!table.put(entry("vm0", "d0"), Timestamp(1300)));
    assert_eq!(table.change_count(), before);
    assert_eq!(
        table.get(&vm("vm0")).expect("row").last_write,
        Timestamp(1300)
    );
}

/// Guards against entries that a whole reading no longer holds.
#[test]
fn a_reading_replaces_everything() {
    let mut table = BackendTable::default();
    table.put(entry("vm0", "d0"), Timestamp(100));
    table.put(entry("vm1", "d0"), Timestamp(100));
    assert!(table.replace(vec![entry("vm1", "d0")], Timestamp(500)));
    assert!(table.get(&vm("vm0")).is_none());
    let removed = table.removed(&vm("vm0")).expect("a removed row");
    assert_eq!(
        (removed.removed_at, removed.has_expired),
        (Timestamp(500), false)
    );
    assert_eq!(table.len(), 1);
}

/// Guards against a backend server that takes its entry away and finishes its work being taken for a crashed one.
#[test]
fn a_removal_right_after_a_write_is_no_lapse() {
    let mut table = BackendTable::default();
    table.put(entry("vm0", "d0"), Timestamp(1000));
    table.put(entry("vm1", "d0"), Timestamp(2300));
    table.remove(&vm("vm0"), Timestamp(4500));
    table.remove(&vm("vm1"), Timestamp(4500));
    assert!(
        table
            .removed(&vm("vm0"))
            .expect("a removed row")
            .has_expired
    );
    assert!(
        !table
            .removed(&vm("vm1"))
            .expect("a removed row")
            .has_expired
    );
}

/// Guards against a backend server that leaves right after an outage of the store being taken for a crashed one:
/// that nothing was written during the outage shows nothing. Seen on ebiere-collect, trouble-3, seed 137864636460.
#[test]
fn silence_during_an_outage_is_no_lapse() {
    let mut table = BackendTable::default();
    let entries = vec![entry("vm0", "d0"), entry("vm1", "d0")];
    table.replace(entries.clone(), Timestamp(1000));
    table.replace(entries, Timestamp(9000));
    table.remove(&vm("vm0"), Timestamp(9300));
    table.remove(&vm("vm1"), Timestamp(12_000));
    assert!(
        !table
            .removed(&vm("vm0"))
            .expect("a removed row")
            .has_expired
    );
    assert!(
        table
            .removed(&vm("vm1"))
            .expect("a removed row")
            .has_expired
    );
}
