//! Table of the registered backend servers, as last read from the platform's store.

use std::collections::BTreeMap;

use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::leaving::LeavingServer;
use crate::leaving::LeavingServers;

/// The entry of a registered backend server, with the times at which it was observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// Latest content of the entry.
    pub entry: BackendEntry,
    /// When the last write of the entry was observed. A live backend server writes at every heartbeat.
    pub last_write: Timestamp,
    /// When the current start of the backend server was first observed.
    pub first_seen: Timestamp,
    /// Model of the last group since the current start, as far as observed. It stays in accelerator memory after the VM
    /// has left the group, when the entry no longer names it.
    pub last_model: Option<ModelId>,
}

/// An entry that is no longer in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedRow {
    /// Last content of the entry.
    pub entry: BackendEntry,
    /// When the removal was observed.
    pub removed_at: Timestamp,
    /// Whether the platform removed the entry because its heartbeats had stopped. Otherwise the backend server may
    /// have deregistered itself and may still be finishing its requests.
    pub has_expired: bool,
}

/// The registered backend servers, and those that were removed.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    rows: BTreeMap<VmId, TableRow>,
    /// Removed entries whose ids have not been registered again.
    removed: BTreeMap<VmId, RemovedRow>,
    /// Start of the period for which all writes have been observed. A lack of writes before that, such as during an
    /// outage of the store, is no evidence that a backend server has failed.
    watched_since: Timestamp,
    /// When changes were last read; `None` before the first listing.
    last_read: Option<Timestamp>,
    change_count: u64,
    /// Backend servers that have said that they are leaving; their entries count as draining.
    leaving: LeavingServers,
}

/// An entry counts as expired if it was not written for this long before its removal. The platform removes an entry
/// after three missed heartbeats of 1.2 s; a backend server that deregisters itself has written within the last
/// interval. Both are observed up to a second late.
const EXPIRY_WRITE_AGE: TimeSpan = TimeSpan(2400);

/// Time between two reads of changes up to which the lack of writes is evidence. A backend server that deregisters itself
/// may have written an interval of heartbeats earlier, and its removal is observed up to this time later.
const MAX_READ_GAP: TimeSpan = TimeSpan(1200);

/// Maximum number of removed entries kept; more than any fleet loses within the history that the store keeps.
const MAX_REMOVED: usize = 4096;

impl BackendTable {
    /// Records a write of an entry. Returns whether the content of the entry has changed.
    pub fn put(&mut self, mut entry: BackendEntry, now: Timestamp) -> bool {
        self.removed.remove(&entry.id);
        entry.is_draining |= self.leaving.contains(&entry.id, entry.started);
        match self.rows.get_mut(&entry.id) {
            Some(row) => {
                row.last_write = now;
                if row.entry == entry {
                    return false;
                }
                if row.entry.started != entry.started {
                    row.first_seen = now;
                    row.last_model = None;
                }
                if entry.model.is_some() {
                    row.last_model.clone_from(&entry.model);
                }
                row.entry = entry;
            }
            None => {
                let row = TableRow {
                    entry: entry.clone(),
                    last_write: now,
                    first_seen: now,
                    last_model: entry.model.clone(),
                };
                self.rows.insert(entry.id, row);
            }
        }
        self.change_count += 1;
        true
    }

    /// Records that the process of a backend server has said that it is leaving: its entry counts as draining from now
    /// on, whatever the store shows. Returns whether that was not known.
    pub fn mark_leaving(&mut self, server: &LeavingServer, now: Timestamp) -> bool {
        if !self.leaving.record(server, now) {
            return false;
        }
        if let Some(row) = self.rows.get_mut(&server.id)
            && row.entry.started == server.started
            && !row.entry.is_draining
        {
            row.entry.is_draining = true;
            self.change_count += 1;
        }
        true
    }

    /// Leaving backend servers that this node passes on to its peers.
    pub fn announced_leaving(&self, now: Timestamp) -> Vec<LeavingServer> {
        self.leaving.announced(now)
    }

    /// Records the removal of an entry, observed while all writes were watched. Returns whether the entry was known.
    pub fn remove(&mut self, id: &VmId, now: Timestamp) -> bool {
        let has_expired = self.rows.get(id).is_some_and(|row| {
            let unwritten_since = row.last_write.max(self.watched_since);
            now.since(unwritten_since) >= EXPIRY_WRITE_AGE
        });
        self.move_to_removed(id, has_expired, now)
    }

    /// Removes an entry that a copy of the table no longer contains. Returns whether it was known. It does not count as
    /// expired, since its backend server may have deregistered itself.
    pub fn remove_missing(&mut self, id: &VmId, now: Timestamp) -> bool {
        self.move_to_removed(id, false, now)
    }

    /// Begins the period for which all writes are observed, after a time in which the table was copied from a peer.
    pub fn begin_watch(&mut self, now: Timestamp) {
        self.watched_since = now;
        self.last_read = Some(now);
    }

    /// Begins to record changes that were read at `now`. After a long time without reading, a backend server that was
    /// removed may have written and deregistered itself meanwhile.
    pub fn begin_changes(&mut self, now: Timestamp) {
        let is_late = |read: Timestamp| now.since(read) > MAX_READ_GAP;
        if self.last_read.replace(now).is_none_or(is_late) {
            self.watched_since = now;
        }
    }

    fn move_to_removed(&mut self, id: &VmId, has_expired: bool, now: Timestamp) -> bool {
        let Some(row) = self.rows.remove(id) else {
            return false;
        };
        if self.removed.len() >= MAX_REMOVED {
            self.removed.pop_first();
        }
        let removed = RemovedRow {
            entry: row.entry,
            removed_at: now,
            has_expired,
        };
        self.removed.insert(id.clone(), removed);
        self.change_count += 1;
        true
    }

    /// Replaces the whole table with a complete listing. Returns whether the content of any entry has changed.
    ///
    /// A listing is no evidence of a recent write: an unchanged entry keeps its times. A missing entry does not count
    /// as expired, since its backend server may have deregistered itself.
    pub fn replace(&mut self, entries: Vec<BackendEntry>, now: Timestamp) -> bool {
        self.begin_watch(now);
        let before = self.change_count;
        let present: std::collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        let missing: Vec<_> = self
            .rows
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.move_to_removed(&id, false, now);
        }
        for mut entry in entries {
            entry.is_draining |= self.leaving.contains(&entry.id, entry.started);
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

    /// The row of a registered backend server.
    pub fn get(&self, id: &VmId) -> Option<&TableRow> {
        self.rows.get(id)
    }

    /// All rows, ordered by id.
    pub fn rows(&self) -> impl Iterator<Item = &TableRow> {
        self.rows.values()
    }

    /// The removed entry of `id`; `None` if it is registered or not known.
    pub fn removed(&self, id: &VmId) -> Option<&RemovedRow> {
        self.removed.get(id)
    }

    /// The removed entry that names its backend server as leader of the group `key`.
    pub fn removed_leader(&self, key: &GroupKey) -> Option<&RemovedRow> {
        self.removed.values().find(|row| {
            let membership = row.entry.membership.as_ref();
            membership.is_some_and(|membership| membership.rank == 0 && membership.key == *key)
        })
    }

    /// Whether the entry of a member of the group `key` has expired.
    pub fn has_expired_member(&self, key: &GroupKey) -> bool {
        self.removed.values().any(|row| {
            let membership = row.entry.membership.as_ref();
            row.has_expired && membership.is_some_and(|membership| membership.key == *key)
        })
    }

    /// Number of registered backend servers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no backend server is registered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Number of content changes so far. As long as it is the same, the table differs only in times.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }
}
