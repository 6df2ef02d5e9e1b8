//! The simulated store, and the nodes that hold the lease one after another, each with a table of its own.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use jaysaddle_fleet::controller::ControllerTiming;
use jaysaddle_fleet::controller::FleetController;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::units::Timestamp;

/// Time for which a node keeps missing entries and gives no orders after an outage, in milliseconds.
const OUTAGE_GRACE_MS: u64 = 2300;
/// Time in which a node that was handed the lease collects reports, in milliseconds.
const REPORT_COLLECTION_MS: u64 = 500;

/// An entry in the store.
#[derive(Clone, Debug)]
pub struct StoredEntry {
    pub entry: BackendEntry,
    /// Number of writes of its process so far.
    pub write_count: u64,
    pub written_at: u64,
}

/// A change of an entry, as a watch reports it.
#[derive(Clone, Debug)]
pub enum EntryChange {
    Written(Box<StoredEntry>),
    Removed(VmId),
}

/// The platform's store.
#[derive(Debug, Default)]
pub struct SimStore {
    pub entries: BTreeMap<VmId, StoredEntry>,
    /// When the store returns, in milliseconds; 0 if it was never away.
    pub down_until: u64,
    /// Whether entries also expire while the store is away.
    pub expires_in_outage: bool,
    /// VMs without an entry, with the time for which the store was up meanwhile. No entry returns while it is away.
    pub missing_for: BTreeMap<VmId, u64>,
}

impl SimStore {
    pub fn is_up(&self, now: u64) -> bool {
        now >= self.down_until
    }
}

/// A node that may hold the lease. Times are in milliseconds.
#[derive(Debug)]
pub struct Holder {
    pub controller: FleetController,
    pub table: BackendTable,
    /// Age of the changes that the node reads.
    pub lag: u64,
    /// Whether the node has noticed that the store is away.
    pub sees_outage: bool,
    /// Number of the node's process, to which responses belong.
    pub process: u64,
    /// Time until which the table is not current.
    grace_until: u64,
    /// When the node lists all entries again, and whether that is the first time since an outage.
    relist: Option<(u64, bool)>,
    feed: VecDeque<(u64, EntryChange)>,
    /// Start and write count of the known entries.
    known: BTreeMap<VmId, (u64, u64)>,
}

impl Holder {
    pub fn new(lag: u64) -> Self {
        Self {
            controller: FleetController::new(ControllerTiming::default()),
            table: BackendTable::default(),
            lag,
            sees_outage: false,
            process: 0,
            grace_until: 0,
            relist: None,
            feed: VecDeque::new(),
            known: BTreeMap::new(),
        }
    }

    /// Starts the node's process again. It lists the entries.
    pub fn restart(&mut self, store: &SimStore, now: u64) {
        *self = Self {
            process: self.process + 1,
            ..Self::new(self.lag)
        };
        self.relist_at(now.max(store.down_until));
    }

    pub fn is_table_current(&self, now: u64) -> bool {
        now >= self.grace_until
    }

    /// Delays orders until the reports of all VMs have been collected.
    pub fn collect_reports(&mut self, now: u64) {
        self.grace_until = self.grace_until.max(now + REPORT_COLLECTION_MS);
    }

    /// Lists the entries at `time`, because the store has returned.
    pub fn relist_at(&mut self, time: u64) {
        self.relist = Some((time, true));
    }

    /// Queues a change that was written at `now`.
    pub fn queue(&mut self, change: EntryChange, now: u64) {
        self.feed.push_back((now + self.lag, change));
    }

    /// Reads what is due from the store.
    pub fn read(&mut self, store: &SimStore, now: u64) {
        if !store.is_up(now) {
            return;
        }
        let time = Timestamp(now);
        // A watch that an outage has cut off is followed by a listing.
        if self.relist.is_some_and(|(_, is_first)| is_first) || self.is_listing_due(now) {
            if self.is_listing_due(now) {
                self.list_again(store, now);
            }
            return;
        }
        while let Some((_, change)) = self.feed.pop_front_if(|(at, _)| *at <= now) {
            match change {
                EntryChange::Written(stored) => {
                    if self.is_newer(&stored) {
                        self.put(&stored);
                        self.table.put(stored.entry.clone(), time);
                    }
                }
                EntryChange::Removed(id) => {
                    self.known.remove(&id);
                    self.table.remove(&id, time);
                }
            }
        }
        self.table.begin_changes(time);
    }

    fn is_listing_due(&self, now: u64) -> bool {
        self.relist.is_some_and(|(at, _)| at <= now)
    }

    /// Carries out the listing that is due. After the first one since an outage, entries may still be those from before it.
    fn list_again(&mut self, store: &SimStore, now: u64) {
        let is_first = self.relist.take().is_some_and(|(_, is_first)| is_first);
        self.sees_outage = false;
        self.feed.clear();
        if is_first {
            self.grace_until = now + OUTAGE_GRACE_MS;
            // A second listing shows which entries have not been written again.
            self.relist = Some((self.grace_until, false));
        }
        self.list(store, is_first, Timestamp(now));
    }

    fn is_newer(&self, stored: &StoredEntry) -> bool {
        let known = self.known.get(&stored.entry.id);
        known.is_none_or(|(started, count)| {
            *started != stored.entry.started || *count < stored.write_count
        })
    }

    fn put(&mut self, stored: &StoredEntry) {
        let known = (stored.entry.started, stored.write_count);
        self.known.insert(stored.entry.id.clone(), known);
    }

    fn list(&mut self, store: &SimStore, keeps_missing: bool, now: Timestamp) {
        let mut entries = BTreeMap::new();
        for row in self.table.rows() {
            let id = &row.entry.id;
            if keeps_missing || store.entries.contains_key(id) {
                entries.insert(id.clone(), row.entry.clone());
            }
        }
        for (id, stored) in &store.entries {
            if !entries.contains_key(id) || self.is_newer(stored) {
                entries.insert(id.clone(), stored.entry.clone());
                self.put(stored);
            }
        }
        self.known.retain(|id, _| entries.contains_key(id));
        self.table.replace(entries.into_values().collect(), now);
    }

    /// Updates the group of an entry from a report, as nodes do while the store is unreachable for them.
    pub fn apply_report(&mut self, report: &BackendEntry, now: u64) {
        let Some(row) = self.table.get(&report.id) else {
            return;
        };
        let entry = BackendEntry {
            model: report.model.clone(),
            staged: report.staged.clone(),
            membership: report.membership.clone(),
            ..row.entry.clone()
        };
        self.table.put(entry, Timestamp(now));
    }
}
