//! The registered backend servers, as last read from the platform's store.

use std::collections::BTreeMap;

use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::units::TimeSpan;
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

/// An entry that is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedRow {
    /// The entry as it was last.
    pub entry: BackendEntry,
    /// When it was seen to be gone.
    pub removed: Timestamp,
    /// Whether it went because its backend server had not written for long. Otherwise the backend server may have
    /// taken it away itself and finish its work.
    pub has_lapsed: bool,
}

/// The registered backend servers.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    rows: BTreeMap<VmId, TableRow>,
    /// Entries that are gone, for ids that have not come back.
    removed: BTreeMap<VmId, RemovedRow>,
    /// Since when all writes have been followed. Silence before that, such as during an outage of the store, shows
    /// nothing about a backend server.
    followed_since: Timestamp,
    change_count: u64,
}

/// Silence of a backend server before the removal of its entry from which the entry has lapsed. The platform removes
/// it after three intervals of 1.2 s; one that takes its entry away has written within the last interval. Both are
/// seen up to a second late.
const LAPSE_SILENCE: TimeSpan = TimeSpan(2400);

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

    /// Takes note that an entry was removed, as seen while all writes were followed. Returns whether it was there.
    pub fn remove(&mut self, id: &VmId, now: Timestamp) -> bool {
        let has_lapsed = self.rows.get(id).is_some_and(|row| {
            let last_sign = row.written.max(self.followed_since);
            now.since(last_sign) >= LAPSE_SILENCE
        });
        self.take_out(id, has_lapsed, now)
    }

    fn take_out(&mut self, id: &VmId, has_lapsed: bool, now: Timestamp) -> bool {
        let Some(row) = self.rows.remove(id) else {
            return false;
        };
        if self.removed.len() >= MAX_REMOVED {
            self.removed.pop_first();
        }
        let removed = RemovedRow {
            entry: row.entry,
            removed: now,
            has_lapsed,
        };
        self.removed.insert(id.clone(), removed);
        self.change_count += 1;
        true
    }

    /// Replaces the whole table by a complete reading. Returns whether anything but times has changed.
    ///
    /// A listing carries no evidence of a fresh write: an entry that did not change keeps its time, and one that is
    /// missing may have been taken away by its backend server.
    pub fn replace(&mut self, entries: Vec<BackendEntry>, now: Timestamp) -> bool {
        self.followed_since = now;
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
            self.take_out(&id, false, now);
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

    /// The entry of `id` that is gone; `None` while it is registered or was never seen.
    pub fn removed(&self, id: &VmId) -> Option<&RemovedRow> {
        self.removed.get(id)
    }

    /// The removed entry of the leader of a group.
    pub fn removed_leader(&self, key: &GroupKey) -> Option<&RemovedRow> {
        self.removed.values().find(|row| {
            let membership = row.entry.membership.as_ref();
            membership.is_some_and(|membership| membership.rank == 0 && membership.key == *key)
        })
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
