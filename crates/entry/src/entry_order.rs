//! Order of what a node learns of an entry from the store and from peers.
//!
//! A node may copy entries from a peer while a watch of the store is under way, whose answer is older. What is older than
//! what the node knows must change nothing: the entry of a leader from before its group was formed would make the
//! controller form its group again while it serves, and the entry of a backend server from before it has left would bring
//! it back.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jaysaddle_adapter::backend::is_newer_entry;
use jaysaddle_adapter::backend::is_older_entry;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use serde_json::Value;

/// Time for which removed entries are remembered. A copy of the store is some seconds old.
const REMOVED_RETENTION: TimeSpan = TimeSpan::from_secs(60);
/// Maximum number of removed entries that are remembered.
const MAX_REMOVED: usize = 4096;

/// Entries of backend servers that were removed, with the time.
#[derive(Debug, Default)]
pub struct RemovedEntries {
    entries: BTreeMap<CompactString, (Value, Timestamp)>,
}

impl RemovedEntries {
    /// Remembers an entry that was removed.
    pub fn remember(&mut self, name: CompactString, spec: Value, now: Timestamp) {
        if self.entries.len() >= MAX_REMOVED {
            self.entries.pop_first();
        }
        self.entries.insert(name, (spec, now));
    }

    /// Forgets entries that were removed long ago.
    pub fn expire(&mut self, now: Timestamp) {
        self.entries
            .retain(|_, (_, time)| now.since(*time) < REMOVED_RETENTION);
    }

    /// Whether an entry was written no later than one of the same process that was removed.
    pub fn includes(&self, name: &CompactString, spec: &Value) -> bool {
        let known = self.entries.get(name);
        known.is_some_and(|(removed, _)| !is_newer_entry(removed, spec))
    }

    /// Whether a change of an entry is older than what this node knows. `current` is the entry that it has.
    pub fn is_outdated(
        &self,
        name: &CompactString,
        spec: &Value,
        is_removal: bool,
        current: Option<&Value>,
    ) -> bool {
        match current {
            Some(current) => is_older_entry(spec, current),
            None => !is_removal && self.includes(name, spec),
        }
    }
}
