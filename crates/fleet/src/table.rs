//! The registered backend servers, as last read from the platform's store.

use std::collections::BTreeMap;

use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::units::Timestamp;

/// An entry and when it was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// The entry.
    pub entry: BackendEntry,
    /// When its last write was seen. A live backend server writes at every heartbeat.
    pub written: Timestamp,
    /// When this start of the backend server was first seen.
    pub appeared: Timestamp,
}

/// The registered backend servers.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    rows: BTreeMap<VmId, TableRow>,
    /// When each removed id was last seen to go, for ids that have not come back.
    removed: BTreeMap<VmId, Timestamp>,
    change_count: u64,
}

/// Removed ids that are remembered; more than any fleet loses within a store's history.
const MAX_REMOVED: usize = 4096;

impl BackendTable {
    /// Takes over a written entry. Returns whether more than its time has changed.
    pub fn put(&mut self, entry: BackendEntry, now: Timestamp) -> bool {
        self.removed.remove(&entry.id);
        match self.rows.get_mut(&entry.id) {
            Some(row) => {
                row.written = now;
                if row.entry == entry {
                    return false;
                }
                if row.entry.started != entry.started {
                    row.appeared = now;
                }
                row.entry = entry;
            }
            None => {
                let row = TableRow {
                    entry: entry.clone(),
                    written: now,
                    appeared: now,
                };
                self.rows.insert(entry.id, row);
            }
        }
        self.change_count += 1;
        true
    }

    /// Takes note that an entry is gone. Returns whether it was there.
    pub fn remove(&mut self, id: &VmId, now: Timestamp) -> bool {
        let was_there = self.rows.remove(id).is_some();
        if was_there {
            if self.removed.len() >= MAX_REMOVED {
                self.removed.pop_first();
            }
            self.removed.insert(id.clone(), now);
            self.change_count += 1;
        }
        was_there
    }

    /// Replaces the whole table by a complete reading. Returns whether anything but times has changed.
    ///
    /// A listing carries no evidence of a fresh write: an entry that did not change keeps its time.
    pub fn replace(&mut self, entries: Vec<BackendEntry>, now: Timestamp) -> bool {
        let before = self.change_count;
        let present: std::collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        let gone: Vec<_> = self
            .rows
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id, now);
        }
        for entry in entries {
            let is_same = self
                .rows
                .get(&entry.id)
                .is_some_and(|row| row.entry == entry);
            if !is_same {
                self.put(entry, now);
            }
        }
        self.change_count != before
    }

    /// The row of `id`.
    pub fn get(&self, id: &VmId) -> Option<&TableRow> {
        self.rows.get(id)
    }

    /// All rows in the order of their ids.
    pub fn rows(&self) -> impl Iterator<Item = &TableRow> {
        self.rows.values()
    }

    /// When `id` was seen to go; `None` while it is registered or was never seen.
    pub fn removed_at(&self, id: &VmId) -> Option<Timestamp> {
        self.removed.get(id).copied()
    }

    /// Number of registered backend servers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none is registered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Counts changes; equal counts mean an equal table, but for times.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }
}
