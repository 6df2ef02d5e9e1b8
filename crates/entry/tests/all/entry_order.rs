//! Order of what a node learns of an entry from the store and from peers.

use compact_str::CompactString;
use jaysaddle_entry::entry_order::RemovedEntries;
use jaysaddle_types::units::Timestamp;
use serde_json::Value;
use serde_json::json;

fn entry(born: u64, count: u64) -> Value {
    json!({"service": "ledger", "born": born, "sequence": count, "state": "ready"})
}

const NAME: CompactString = CompactString::const_new("i-1");

/// Guards against the late answer of a watch that puts back the entry of a leader from before its group was formed, which a
/// copy from a peer has shown: the controller would form the group again while it serves.
#[test]
fn change_that_is_older_than_the_known_entry_is_outdated() {
    let removed = RemovedEntries::default();
    let current = entry(7, 20);
    let is_outdated = |spec: &Value| removed.is_outdated(&NAME, spec, false, Some(&current));
    assert!(is_outdated(&entry(7, 19)));
    assert!(!is_outdated(&entry(7, 20)) && !is_outdated(&entry(7, 21)));
    // Another process, or an entry of another writer.
    assert!(!is_outdated(&entry(8, 1)));
    assert!(!is_outdated(&json!({"service": 3})));
    assert!(removed.is_outdated(&NAME, &entry(7, 19), true, Some(&current)));
    assert!(!removed.is_outdated(&NAME, &entry(7, 20), true, Some(&current)));
}

/// Guards against the late answer of a watch that brings back a backend server that has left, which a copy from a peer has
/// shown. No later copy would remove it.
#[test]
fn removed_entry_comes_back_only_with_a_later_write() {
    let mut removed = RemovedEntries::default();
    removed.remember(NAME, entry(7, 20), Timestamp(1000));
    let is_outdated = |spec: &Value| removed.is_outdated(&NAME, spec, false, None);
    assert!(is_outdated(&entry(7, 19)) && is_outdated(&entry(7, 20)));
    assert!(!is_outdated(&entry(7, 21)) && !is_outdated(&entry(8, 1)));
    removed.expire(Timestamp(61_000));
    assert!(!removed.is_outdated(&NAME, &entry(7, 20), false, None));
}
