//! Copies of entries of backend servers.

use jaysaddle_adapter::backend::entry_write_count;
use jaysaddle_adapter::backend::is_newer_entry;
use jaysaddle_adapter::backend::parse_entry;
use jaysaddle_entry::entry_codec::decode_entries;
use jaysaddle_entry::entry_codec::decode_entry;
use jaysaddle_entry::entry_codec::encode_entry;
use serde_json::Value;
use serde_json::json;

fn engine(phase: &str) -> Value {
    json!({
        "service": "engines", "address": "10.128.0.9:8080", "zone": "phc-a", "version": "v1", "slots": 17,
        "state": "ready", "sequence": 4, "born": 17, "models": [{"name": "large"}], "domain": "phc-a-d0",
        "staged": ["small"], "group": {"name": "g7", "epoch": 12, "rank": 1, "state": phase}
    })
}

fn plain() -> Value {
    json!({
        "service": "ledger", "address": "10.128.0.10:8080", "zone": "phc-b", "slots": 6, "state": "draining",
        "sequence": 9, "born": 3
    })
}

/// Guards against fields that a copy of an entry loses, so that a node that follows a relay would use other backend servers
/// than one that reads the store.
#[test]
fn copied_entry_is_the_same_at_the_receiver() {
    let phases = ["joining", "ready", "open", "closing", "broken", "later"];
    let mut without_start = plain();
    without_start
        .as_object_mut()
        .map(|entry| entry.remove("born"));
    let entries = phases.into_iter().map(engine);
    let entries = entries.chain([plain(), without_start]);
    for spec in entries {
        let entry = parse_entry("i-1", &spec).expect("an entry");
        let count = entry_write_count(&spec).expect("a count");
        let copy = decode_entry(&encode_entry(&entry, count)).expect("an entry");
        assert_eq!(parse_entry("i-1", &copy).expect("an entry"), entry);
        assert!(!is_newer_entry(&copy, &spec) && !is_newer_entry(&spec, &copy));
    }
}

/// Guards against a copy that names no valid backend server and is used nevertheless.
#[test]
fn copy_without_valid_fields_is_refused() {
    let entry = parse_entry("i-1", &engine("open")).expect("an entry");
    let mut message = encode_entry(&entry, 4);
    message.address = "nowhere".to_owned();
    assert!(decode_entry(&message).is_err());
}

/// Guards against one odd entry of a copy that hides all others, so that a node which follows a relay has no table.
#[test]
fn sound_entries_of_a_copy_are_used_beside_odd_ones() {
    let copy = |name: &str, address: &str| {
        let entry = parse_entry("i-1", &plain()).expect("an entry");
        let mut message = encode_entry(&entry, 4);
        message.name = name.to_owned();
        message.address = address.to_owned();
        message
    };
    let sound = "10.0.0.1:80";
    let copied = decode_entries(&[
        copy("i-1", sound),
        copy("i-2", "10.0.0.1:65536"),
        copy("line\nbreak", sound),
        copy(&"n".repeat(1 << 16), sound),
        copy("i-3", sound),
    ]);
    let names: Vec<&str> = copied.sound.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!((names, copied.odd.len()), (vec!["i-1", "i-3"], 3));
}
