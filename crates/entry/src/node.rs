//! State shared by all tasks of the event loop.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use compact_str::CompactString;
use jaysaddle_adapter::backend::is_newer_entry;
use jaysaddle_adapter::backend::parse_entry;
use jaysaddle_adapter::config::parse_config;
use jaysaddle_adapter::orders::update_entry;
use jaysaddle_adapter::store::StoreChange;
use jaysaddle_adapter::store::StoreObject;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::controller::ControllerTiming;
use jaysaddle_fleet::controller::FleetController;
use jaysaddle_fleet::lease::LeaseHandover;
use jaysaddle_fleet::lease::LeaseState;
use jaysaddle_fleet::lease::LeaseTiming;
use jaysaddle_fleet::lease::TermNode;
use jaysaddle_fleet::leaving::LeavingServer;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_fleet::relays::RelayCandidate;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_fleet::table_log::TableLog;
use jaysaddle_gateway::gateway::RequestGateway;
use jaysaddle_gateway::retry_pool::PoolLimits;
use jaysaddle_gateway::service_times::ServiceTimes;
use jaysaddle_gateway::settings::GatewaySettings;
use jaysaddle_gateway::target::ServerNumber;
use jaysaddle_gateway::unserved::UnservedRequests;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use serde_json::Value;
use tokio::sync::Notify;

use crate::byte_budget::ResponseBudgets;
use crate::pool::BackendPool;
use crate::settings::EntrySettings;
use crate::settings::PlatformBounds;
use crate::shutdown::ShutdownState;
use crate::store_client::StoreClient;
use crate::store_restore::RestoreState;
use crate::store_sync::WatchPosition;

/// Fraction of the platform's bounds on retries that is divided among the nodes as their own shares.
const OWN_RETRY_PART: f64 = 0.15;
/// Fraction of the platform's bounds up to which nodes may use what others leave. Together with shares that are used only
/// after that, the bounds are kept.
const POOLED_RETRY_PART: f64 = 0.8;

/// Time since the previous read of the store from which there may have been an outage. The store is read every
/// second, and less often while it is slow.
const OUTAGE_READ_AGE: TimeSpan = TimeSpan(1700);
/// Time for which missing entries are kept after an outage: live backend servers write entries that expired during
/// the outage again within it, with a margin for propagation.
const OUTAGE_GRACE: TimeSpan = TimeSpan(2300);

/// Part of the platform's bounds on retries: the number per thousand requests of a service, and the burst in any window.
fn retry_part(bounds: &PlatformBounds, part: f64) -> PoolLimits {
    PoolLimits {
        permille: (bounds.repeat_ratio * part * 1000.0) as u32,
        burst: (f64::from(bounds.repeat_slack) * part) as u32,
    }
}

/// Retries of which each node has a share of its own.
pub fn own_retries(bounds: &PlatformBounds) -> PoolLimits {
    retry_part(bounds, OWN_RETRY_PART)
}

/// Retries of all nodes up to which a node may send more than its share.
pub fn pooled_retries(bounds: &PlatformBounds) -> PoolLimits {
    retry_part(bounds, POOLED_RETRY_PART)
}

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

/// Shared state of an entry node.
pub struct EntryNode {
    pub settings: EntrySettings,
    /// Platform bounds in force; unlike `settings` they change when the settings file is reloaded.
    pub bounds: Cell<PlatformBounds>,
    pub incarnation: Incarnation,
    pub gateway: RefCell<RequestGateway>,
    pub peers: RefCell<PeerTable>,
    /// Attempts of callers that this node did not serve.
    pub unserved: RefCell<UnservedRequests>,
    /// Service times by route, to tell which requests a planned stop leaves enough time for.
    pub service_times: RefCell<ServiceTimes>,
    pub table: RefCell<BackendTable>,
    /// Time as of which the table is known to be complete and current; `None` before the first read.
    pub table_read_at: Cell<Option<Timestamp>>,
    /// When the store was last read, in full or by a watch; `None` before the first read.
    pub store_read_at: Cell<Option<Timestamp>>,
    /// Time until which entries missing from the store are kept after an outage.
    pub outage_grace_until: Cell<Timestamp>,
    pub config: RefCell<Option<Rc<ServingConfig>>>,
    /// The configuration as read, kept to serve copies to peers.
    pub raw_config: RefCell<Option<Value>>,
    /// The backend entries as read, kept to serve copies to peers.
    pub raw_entries: RefCell<BTreeMap<CompactString, Value>>,
    /// Changes of the table, for copies to peers.
    pub table_log: RefCell<TableLog>,
    /// Number of times that the table was changed by a reading of the store. After one, the table may differ from what was
    /// copied from a peer.
    pub store_reads: Cell<u64>,
    /// Where a watch of the backend entries continues that includes all changes after the table.
    pub table_position: Cell<Option<WatchPosition>>,
    /// What is remembered to deal with a restore of the store.
    pub restore: RestoreState,
    pub controller: RefCell<FleetController>,
    pub lease: RefCell<LeaseState>,
    /// Lease handover that this node announces while it stops.
    pub handover: RefCell<Option<LeaseHandover>>,
    /// Limits on the memory of responses.
    pub budgets: ResponseBudgets,
    pub pool: BackendPool,
    pub store: StoreClient,
    pub phase: Cell<PeerPhase>,
    pub shutdown: ShutdownState,
    /// Number of open connections of callers.
    pub caller_connections: Cell<u32>,
    /// Number of open connections to the directory, readiness and metrics endpoints.
    pub info_connections: Cell<u32>,
    /// Number of callers' requests in flight.
    pub open_requests: Cell<u32>,
    /// Target change counter in the lease holder's last heartbeat.
    pub holder_target_changes: Cell<u64>,
    /// Target change counter of the lease holder when its table was last copied.
    pub copied_target_changes: Cell<u64>,
    /// Whether this node is a relay.
    pub is_relay: Cell<bool>,
    /// Triggers an immediate comparison with the peers' versions.
    pub feed_check: Notify,
    /// Triggers an immediate read of the backend entries.
    pub table_refresh: Notify,
    /// Triggers an immediate heartbeat.
    pub heartbeat_now: Notify,
}

impl EntryNode {
    pub fn new(settings: EntrySettings) -> Self {
        let bounds = settings.bounds;
        let own_retries = own_retries(&bounds);
        let gateway_settings = GatewaySettings {
            retry_permille: own_retries.permille,
            retry_burst: own_retries.burst,
            ..GatewaySettings::default()
        };
        let incarnation = clock::new_incarnation();
        let budgets = ResponseBudgets::of(settings.memory);
        let mut lease = LeaseState::new(
            settings.node.clone(),
            TermNode::of(&settings.node, incarnation),
            LeaseTiming::default(),
        );
        if !settings.is_first_start {
            lease.delay_acquisition();
        }
        let mut gateway =
            RequestGateway::new(gateway_settings, settings.node.clone(), incarnation.0);
        gateway.set_pool_limits(pooled_retries(&bounds));
        Self {
            gateway: RefCell::new(gateway),
            peers: RefCell::default(),
            unserved: RefCell::default(),
            service_times: RefCell::default(),
            table: RefCell::default(),
            table_read_at: Cell::new(None),
            store_read_at: Cell::new(None),
            outage_grace_until: Cell::new(Timestamp(0)),
            config: RefCell::default(),
            raw_config: RefCell::default(),
            raw_entries: RefCell::default(),
            table_log: RefCell::default(),
            store_reads: Cell::new(0),
            table_position: Cell::new(None),
            restore: RestoreState::default(),
            controller: RefCell::new(FleetController::new(ControllerTiming::default())),
            lease: RefCell::new(lease),
            handover: RefCell::default(),
            pool: BackendPool::default(),
            store: StoreClient::new(settings.store, budgets.store.clone()),
            budgets,
            phase: Cell::new(PeerPhase::Starting),
            shutdown: ShutdownState::default(),
            caller_connections: Cell::new(0),
            info_connections: Cell::new(0),
            open_requests: Cell::new(0),
            holder_target_changes: Cell::new(0),
            copied_target_changes: Cell::new(0),
            is_relay: Cell::new(false),
            feed_check: Notify::new(),
            table_refresh: Notify::new(),
            heartbeat_now: Notify::new(),
            bounds: Cell::new(bounds),
            incarnation,
            settings,
        }
    }

    /// Records what a response to a request sent at `sent` states about the request limit of a backend server.
    pub fn record_limit(
        &self,
        backend: &VmId,
        server: ServerNumber,
        limit: Option<RequestLimit>,
        sent: Timestamp,
    ) {
        let mut gateway = self.gateway.borrow_mut();
        let Some(change) = gateway.record_limit(server, limit, sent, clock::now()) else {
            return;
        };
        log::info!("event=request_limit vm={backend} {change} source=response");
        if change.is_urgent() {
            self.heartbeat_now.notify_one();
        }
    }

    /// Records that a backend server has said that it is leaving, in a response to this node or to the peer that `source`
    /// names.
    pub fn record_leaving(&self, server: &LeavingServer, source: &str) {
        let is_new = self.table.borrow_mut().mark_leaving(server, clock::now());
        if is_new {
            log::info!("event=server_leaving vm={} source={source}", server.id);
            // The entry that says so itself will be no change any more.
            self.table_log
                .borrow_mut()
                .record(server.id.as_str().into());
            self.publish_table();
        }
    }

    /// Records that a backend server has asked this node to send it nothing for a while.
    pub fn record_pause(&self, backend: &VmId, server: ServerNumber, pause: TimeSpan) {
        log::info!(
            "event=server_pause vm={backend} pause_ms={}",
            pause.as_millis()
        );
        metrics::counter!("jaysaddle_server_pauses_total").increment(1);
        let until = clock::now() + pause;
        self.gateway
            .borrow_mut()
            .record_pause(server, backend, until);
    }

    /// Whether the lease holder reports that the store is unreachable, which this node has not noticed.
    pub fn is_store_in_doubt(&self) -> bool {
        let now = clock::now();
        let peers = self.peers.borrow();
        let mut holders = peers.heard(now).map(|record| &record.heartbeat);
        !self.store.is_unreachable(now)
            && holders.any(|holder| holder.claim.is_some() && holder.is_store_unreachable)
    }

    /// This node as a candidate for work that one node does for all others.
    pub fn relay_candidate(&self, now: Timestamp) -> RelayCandidate<'_> {
        RelayCandidate {
            node: &self.settings.node,
            domain: &self.settings.failure_domain,
            processor: self.settings.processor,
            is_store_unreachable: self.store.is_unreachable(now),
        }
    }

    /// Version of the configuration in force, or 0 when there is none.
    pub fn config_version(&self) -> u64 {
        self.config
            .borrow()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// Applies a configuration if it is newer than the one in force.
    pub fn apply_config(&self, spec: Value, origin: &str) {
        let decoded = match parse_config(&spec) {
            Ok(decoded) => decoded,
            Err(error) => {
                log::warn!("event=config_undecodable origin={origin} error=\"{error:#}\"");
                return;
            }
        };
        for problem in &decoded.problems {
            log::warn!("event=config_part_undecodable problem=\"{problem}\"");
        }
        let before = self.config_version();
        let config = Rc::new(decoded.config);
        if config.version <= before {
            return;
        }
        log::info!(
            "event=config_in_force version={} before={before} origin={origin} routes={}",
            config.version,
            config.routes.len()
        );
        *self.raw_config.borrow_mut() = Some(spec);
        *self.config.borrow_mut() = Some(config.clone());
        self.gateway
            .borrow_mut()
            .set_config(config, &self.table.borrow());
        if self.is_relay.get() {
            self.heartbeat_now.notify_one();
        }
        if self.phase.get() == PeerPhase::Starting {
            self.phase.set(PeerPhase::Serving);
        }
    }

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
            log::debug!("event=change_outdated entry={name}");
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

    /// Updates the gateway's targets from the table, and notifies peers of changed targets
    /// when this node holds the lease or is a relay.
    pub fn publish_table(&self) {
        let has_changed = self
            .gateway
            .borrow_mut()
            .update_targets(&self.table.borrow());
        let is_holder = self.lease.borrow().held_term(clock::now()).is_some();
        if has_changed && (is_holder || self.is_relay.get()) {
            self.heartbeat_now.notify_one();
        }
    }

    /// Time since the table was last known to be current; the maximum when it was never read.
    pub fn table_age(&self, now: Timestamp) -> TimeSpan {
        self.table_read_at
            .get()
            .map_or(TimeSpan(u64::MAX), |read| now.since(read))
    }
}

fn decode_entry(name: &str, spec: &Value) -> Option<BackendEntry> {
    match parse_entry(name, spec) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::debug!("event=entry_undecodable entry={name:?} error=\"{error:#}\"");
            None
        }
    }
}
