//! Tests of the table of backend servers.

use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::units::Timestamp;

use crate::fake::entry;
use crate::fake::vm;

/// Guards against a restarted backend server being treated as its earlier start, because it has the same id.
#[test]
fn restart_under_same_id_updates_first_seen() {
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

/// Guards against work at every heartbeat: a write with the same content must not count as a change.
#[test]
fn unchanged_write_is_not_a_change() {
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

/// Guards against keeping entries that a complete listing no longer contains.
#[test]
fn listing_replaces_whole_table() {
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

/// Guards against treating a backend server as crashed that has deregistered itself and is finishing its requests.
#[test]
fn removal_right_after_write_is_not_expiry() {
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

/// Guards against treating a backend server as crashed that deregisters itself right after an outage of the store. The
/// lack of writes during the outage is no evidence. Found in scenario trouble-3 of ebiere-collect, seed 137864636460.
#[test]
fn missing_writes_during_outage_are_not_expiry() {
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
