//! Changes of a node's table of backend servers: listings and changes from the store, copies from peers, and reports.

use std::collections::BTreeMap;

use compact_str::CompactString;
use jaysaddle_adapter::backend::cold_time_error;
use jaysaddle_adapter::backend::is_newer_entry;
use jaysaddle_adapter::backend::parse_entry;
use jaysaddle_adapter::orders::update_entry;
use jaysaddle_adapter::store::StoreChange;
use jaysaddle_adapter::store::StoreObject;
use jaysaddle_daemon::clock;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use serde_json::Value;

use crate::evacuation_sync::report_cold;
use crate::node::EntryNode;

/// Time since the previous read of the store from which there may have been an outage. The store is read every
/// second, and less often while it is slow.
const OUTAGE_READ_AGE: TimeSpan = TimeSpan(1700);
/// Time for which missing entries are kept after an outage: live backend servers write entries that expired during
/// the outage again within it, with a margin for propagation.
const OUTAGE_GRACE: TimeSpan = TimeSpan(2300);

/// Difference between this node's table and a peer's.
#[derive(Debug)]
pub struct TableDifference {
    /// Entries that this node does not have, or has with another content.
    pub entries: Vec<(CompactString, Value)>,
    /// Names of entries that the peer does not have.
    pub gone: Vec<CompactString>,
    /// Time as of which the peer's table was complete.
    pub read_at: Timestamp,
}

impl EntryNode {
    /// Replaces the table by a full listing from the store.
    ///
    /// An entry older than the known state of its backend server is ignored. After an outage, missing entries are
    /// kept for a grace period, because live backend servers write theirs again.
    pub fn replace_table(&self, mut entries: BTreeMap<CompactString, Value>, read_at: Timestamp) {
        let now = clock::now();
        let before = self.store_read_at.replace(Some(read_at));
        // A node that has just started cannot tell whether there was an outage.
        if before.is_none_or(|before| now.since(before) >= OUTAGE_READ_AGE) {
            self.begin_outage_grace(now);
        }
        self.restore.leave_out_removed(&mut entries, now);
        for (name, current) in &*self.raw_entries.borrow() {
            match entries.get_mut(name) {
                Some(entry) if !is_newer_entry(current, entry) => entry.clone_from(current),
                None if now < self.outage_grace_until.get() => {
                    entries.insert(name.clone(), current.clone());
                }
                _ => {}
            }
        }
        self.install_table(entries, read_at);
    }

    /// Keeps entries that are missing from the store for a while, because live backend servers write theirs again.
    pub fn begin_outage_grace(&self, now: Timestamp) {
        self.outage_grace_until.set(now + OUTAGE_GRACE);
    }

    /// Applies the difference between this node's table and a peer's. Entries that are newer at this node are kept,
    /// because reports may have updated them.
    pub fn apply_difference(&self, difference: TableDifference) {
        let now = clock::now();
        for name in difference.gone {
            let removed = self.raw_entries.borrow_mut().remove(&name);
            if let Some(spec) = removed {
                self.restore.remember_removed(name.clone(), spec);
                if let Ok(id) = name.parse() {
                    self.table.borrow_mut().remove_missing(&id, now);
                }
                self.table_log.borrow_mut().record(name);
            }
        }
        for (name, spec) in difference.entries {
            if !self.is_outdated(&name, &spec, false) {
                self.put_entry(&name, spec);
            }
        }
        self.confirm_table(difference.read_at);
        self.publish_table();
    }

    /// Records that the table is known to be complete as of `read_at`.
    pub fn confirm_table(&self, read_at: Timestamp) {
        let before = self.table_read_at.get();
        if before.is_none_or(|before| before < read_at) {
            self.table_read_at.set(Some(read_at));
        }
    }

    fn install_table(&self, entries: BTreeMap<CompactString, Value>, read_at: Timestamp) {
        let now = clock::now();
        let missing: Vec<CompactString> = {
            let before = self.raw_entries.borrow();
            let names = before.keys().filter(|name| !entries.contains_key(*name));
            names.cloned().collect()
        };
        for name in missing {
            if let Some(spec) = self.raw_entries.borrow_mut().remove(&name) {
                self.restore.remember_removed(name.clone(), spec);
            }
            self.table_log.borrow_mut().record(name);
        }
        let decoded: Vec<BackendEntry> = entries
            .iter()
            .filter_map(|(name, spec)| decode_entry(name, spec))
            .collect();
        let changed: Vec<CompactString> = {
            let table = self.table.borrow();
            let is_changed = |entry: &&BackendEntry| {
                let row = table.get(&entry.id);
                row.is_none_or(|row| row.entry != **entry)
            };
            let changed = decoded.iter().filter(is_changed);
            changed.map(|entry| entry.id.as_str().into()).collect()
        };
        for name in changed {
            self.table_log.borrow_mut().record(name);
        }
        *self.raw_entries.borrow_mut() = entries;
        self.table.borrow_mut().replace(decoded, now);
        self.table_read_at.set(Some(read_at));
        self.publish_table();
    }

    /// Applies a change that a watch of the store reports, unless it is older than what this node knows.
    pub fn apply_change(&self, change: StoreChange) {
        let StoreObject { name, spec, .. } = change.object;
        if self.is_outdated(&name, &spec, change.is_removed) {
            log::debug!("event=change_outdated entry={name:?}");
        } else if change.is_removed {
            self.remove_entry(&name);
        } else {
            self.put_entry(&name, spec);
        }
    }

    fn is_outdated(&self, name: &CompactString, spec: &Value, is_removal: bool) -> bool {
        let entries = self.raw_entries.borrow();
        let removed = self.restore.removed.borrow();
        removed.is_outdated(name, spec, is_removal, entries.get(name))
    }

    /// Puts one entry into the table.
    fn put_entry(&self, name: &CompactString, spec: Value) {
        let now = clock::now();
        let has_changed = match decode_entry(name, &spec) {
            Some(entry) => self.table.borrow_mut().put(entry, now),
            None => name
                .parse()
                .is_ok_and(|id| self.table.borrow_mut().remove(&id, now)),
        };
        if has_changed {
            self.table_log.borrow_mut().record(name.clone());
        }
        self.raw_entries.borrow_mut().insert(name.clone(), spec);
    }

    /// Updates an entry from a backend server's report while the store is unreachable.
    pub fn apply_report(&self, id: &VmId, report: &[u8]) {
        let name: CompactString = id.as_str().into();
        let Some(mut spec) = self.raw_entries.borrow().get(&name).cloned() else {
            return;
        };
        match update_entry(&mut spec, report) {
            Ok(()) => {
                self.put_entry(&name, spec);
                self.table_read_at.set(Some(clock::now()));
                self.publish_table();
            }
            Err(error) => log::warn!("event=report_undecodable vm={id} error=\"{error:#}\""),
        }
    }

    /// Applies the removal of an entry from the store.
    fn remove_entry(&self, name: &CompactString) {
        let removed = self.raw_entries.borrow_mut().remove(name);
        if let Some(spec) = removed {
            self.restore.remember_removed(name.clone(), spec);
            self.table_log.borrow_mut().record(name.clone());
        }
        if let Ok(id) = name.parse() {
            self.table.borrow_mut().remove(&id, clock::now());
        }
    }

    /// Passes what entries state about cold backend servers to the gateway.
    fn record_cold_servers(&self) {
        let mut gateway = self.gateway.borrow_mut();
        let notices = gateway.record_cold_entries(&self.table.borrow(), clock::now());
        report_cold(&notices, "entry");
    }

    /// Updates the gateway's targets from the table, and notifies peers of changed targets
    /// when this node holds the lease or is a relay.
    pub fn publish_table(&self) {
        let has_changed = self
            .gateway
            .borrow_mut()
            .update_targets(&self.table.borrow());
        self.record_cold_servers();
        let is_holder = self.lease.borrow().held_term(clock::now()).is_some();
        if has_changed && (is_holder || self.is_relay.get()) {
            self.heartbeat_now.notify_one();
        }
    }
}

fn decode_entry(name: &str, spec: &Value) -> Option<BackendEntry> {
    if let Some(error) = cold_time_error(spec) {
        log::warn!("event=cold_time_ignored entry={name:?} error=\"{error:#}\"");
        metrics::counter!("jaysaddle_cold_times_ignored_total").increment(1);
    }
    match parse_entry(name, spec) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::debug!("event=entry_undecodable entry={name:?} error=\"{error:#}\"");
            None
        }
    }
}
