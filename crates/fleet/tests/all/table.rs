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
    assert_eq!(table.get(&vm("vm0")).expect("row").appeared, Timestamp(900));
}

/// Guards against work for every heartbeat: a write that changes nothing is no change.
#[test]
fn a_heartbeat_is_no_change() {
    let mut table = BackendTable::default();
    table.put(entry("vm0", "d0"), Timestamp(100));
    let before = table.change_count();
    assert!(!table.put(entry("vm0", "d0"), Timestamp(1300)));
    assert_eq!(table.change_count(), before);
    assert_eq!(table.get(&vm("vm0")).expect("row").written, Timestamp(1300));
}

/// Guards against entries that a whole reading no longer holds.
#[test]
fn a_reading_replaces_everything() {
    let mut table = BackendTable::default();
    table.put(entry("vm0", "d0"), Timestamp(100));
    table.put(entry("vm1", "d0"), Timestamp(100));
    assert!(table.replace(vec![entry("vm1", "d0")], Timestamp(500)));
    assert!(table.get(&vm("vm0")).is_none());
    assert_eq!(table.removed_at(&vm("vm0")), Some(Timestamp(500)));
    assert_eq!(table.len(), 1);
}
