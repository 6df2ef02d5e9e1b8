//! Tests of the table of backend servers.

use jaysaddle_fleet::leaving::LeavingServer;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::fake::LARGE;
use crate::fake::entry;
use crate::fake::model;
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

/// Guards against treating a backend server as crashed that deregisters itself while the node does not read the store for
/// some seconds, because the node is short of processor time or the store is slow: its writes since the last read are
/// missing as well. Its group would be formed again while it still finishes its requests.
#[test]
fn missing_writes_between_distant_reads_are_not_expiry() {
    let has_expired = |reads: &[u64]| {
        let mut table = BackendTable::default();
        table.replace(vec![entry("vm0", "d0")], Timestamp(1000));
        for read in reads {
            table.begin_changes(Timestamp(*read));
        }
        table.remove(&vm("vm0"), Timestamp(5000));
        table
            .removed(&vm("vm0"))
            .expect("a removed row")
            .has_expired
    };
    assert!(has_expired(&[2000, 3000, 4000, 5000]));
    assert!(!has_expired(&[2000, 5000]));
}

fn leaving_server(started: u64) -> LeavingServer {
    LeavingServer {
        id: vm("vm0"),
        started,
    }
}

/// Guards against using a backend server again because its entry, which is older than its own word, says that it is
/// ready, and against giving up its next process, which is not leaving.
#[test]
fn leaving_server_counts_as_draining_until_it_starts_again() {
    let mut table = BackendTable::default();
    table.put(entry("vm0", "d0"), Timestamp(100));
    assert!(table.mark_leaving(&leaving_server(1), Timestamp(200)));
    assert!(!table.mark_leaving(&leaving_server(1), Timestamp(300)));
    let is_draining = |table: &BackendTable| table.get(&vm("vm0")).expect("row").entry.is_draining;
    table.put(entry("vm0", "d0"), Timestamp(400));
    assert!(is_draining(&table));
    table.replace(vec![entry("vm0", "d0")], Timestamp(500));
    assert!(is_draining(&table));
    table.remove(&vm("vm0"), Timestamp(600));
    table.put(entry("vm0", "d0"), Timestamp(700));
    assert!(is_draining(&table));
    let mut restarted = entry("vm0", "d0");
    restarted.started = 2;
    table.put(restarted, Timestamp(800));
    assert!(!is_draining(&table));
}

/// Guards against announcements without end, and against peers that are not told.
#[test]
fn leaving_server_is_announced_for_a_while() {
    let mut table = BackendTable::default();
    table.mark_leaving(&leaving_server(1), Timestamp(200));
    assert_eq!(table.announced_leaving(Timestamp(300)), [leaving_server(1)]);
    let later = Timestamp(200) + TimeSpan::from_secs(10);
    assert!(table.announced_leaving(later).is_empty());
}

/// Guards against taking a VM that has left its group for one without weights, although the model of its last group is in
/// its memory, and against expecting it there after a restart.
#[test]
fn model_of_last_group_is_known_until_the_next_start() {
    let mut table = BackendTable::default();
    let mut member = entry("vm0", "d0");
    member.model = Some(model(LARGE));
    table.put(member, Timestamp(100));
    table.put(entry("vm0", "d0"), Timestamp(200));
    let last_model = |table: &BackendTable| {
        let row = table.get(&vm("vm0")).expect("row");
        row.last_model.clone()
    };
    assert_eq!(last_model(&table), Some(model(LARGE)));
    let mut restarted = entry("vm0", "d0");
    restarted.started = 2;
    table.put(restarted, Timestamp(300));
    assert_eq!(last_model(&table), None);
}
