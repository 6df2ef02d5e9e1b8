//! Reacts to a store that has come back from an older copy.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use compact_str::CompactString;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::lease::LeaseEvent;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use serde_json::Value;

use crate::entry_order::RemovedEntries;
use crate::lease::handle_lease_event;
use crate::node::EntryNode;

/// What a node remembers to deal with a restore of the store.
#[derive(Debug, Default)]
pub struct RestoreState {
    /// Number of restores that the node has dealt with.
    handled: Cell<u64>,
    /// Time of the last restore; `None` before the first.
    last: Cell<Option<Timestamp>>,
    /// Whether the node holds the lease and has not written it since the last restore.
    pub lease_pending: Cell<bool>,
    /// Entries of backend servers that were removed. An older copy of the store lists them again.
    pub removed: RefCell<RemovedEntries>,
}

impl RestoreState {
    /// Remembers an entry that was removed.
    pub fn remember_removed(&self, name: CompactString, spec: Value) {
        let mut removed = self.removed.borrow_mut();
        removed.remember(name, spec, clock::now());
    }

    /// Leaves out the entries that an older copy of the store lists although they were removed. A live backend server
    /// writes a newer one.
    pub fn leave_out_removed(&self, entries: &mut BTreeMap<CompactString, Value>, now: Timestamp) {
        let mut removed = self.removed.borrow_mut();
        removed.expire(now);
        if self.last.get().is_some() {
            entries.retain(|name, entry| !removed.includes(name, entry));
        }
    }

    /// Records that something that the store had lost was written again.
    pub fn record_rewrite(&self, kind: &str) {
        metrics::counter!("jaysaddle_store_rewrites_total", "kind" => kind.to_owned()).increment(1);
        let since = self.last.get();
        let after = since.map_or(TimeSpan(0), |since| clock::now().since(since));
        log::info!(
            "event=store_rewritten kind={kind} after_ms={}",
            after.as_millis()
        );
    }
}

/// Reacts to a restore of the store: drops what depends on versions of the lost history, and waits for the entries that
/// backend servers write again.
pub fn handle_restores(node: &Rc<EntryNode>) {
    let restores = node.store.restores();
    if node.restore.handled.replace(restores) == restores {
        return;
    }
    let now = clock::now();
    node.restore.last.set(Some(now));
    node.begin_outage_grace(now);
    let is_held = node.lease.borrow().held_term(now).is_some();
    node.restore.lease_pending.set(is_held);
    node.crashes.borrow_mut().record_restore();
    handle_lease_event(node, LeaseEvent::StoreRestored);
    // The peers learn of the restore from this node's heartbeat.
    node.heartbeat_now.notify_one();
}

/// Reacts to restores of the store. Never returns.
pub async fn watch_restores(node: Rc<EntryNode>) {
    loop {
        let restored = node.store.restored();
        handle_restores(&node);
        restored.await;
    }
}
