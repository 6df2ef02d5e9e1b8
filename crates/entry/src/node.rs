//! State shared by all tasks of the event loop.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use compact_str::CompactString;
use jaysaddle_adapter::config::parse_config;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::controller::ControllerTiming;
use jaysaddle_fleet::controller::FleetController;
use jaysaddle_fleet::evacuation::EvacuationState;
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
use jaysaddle_gateway::crash_guard::CrashGuard;
use jaysaddle_gateway::gateway::RequestGateway;
use jaysaddle_gateway::retry_pool::PoolLimits;
use jaysaddle_gateway::service_times::ServiceTimes;
use jaysaddle_gateway::settings::GatewaySettings;
use jaysaddle_gateway::settings::PacingSettings;
use jaysaddle_gateway::target::ServerNumber;
use jaysaddle_gateway::unserved::UnservedRequests;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use serde_json::Value;
use tokio::sync::Notify;

use crate::byte_budget::MemoryBudgets;
use crate::connector::ServerConnector;
use crate::evacuation_sync::report_cold;
use crate::loop_lag::LoopLag;
use crate::pool::BackendPool;
use crate::server_reach::ReachMonitor;
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

/// Shared state of an entry node.
pub struct EntryNode {
    pub settings: EntrySettings,
    /// Platform bounds in force; unlike `settings` they change when the settings file is reloaded.
    pub bounds: Cell<PlatformBounds>,
    pub incarnation: Incarnation,
    pub gateway: RefCell<RequestGateway>,
    /// Requests at backend servers, to find those that end them.
    pub crashes: RefCell<CrashGuard>,
    /// Whether this node reaches backend servers.
    pub reach: ReachMonitor,
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
    /// Evacuated failure domains.
    pub evacuations: RefCell<EvacuationState>,
    pub controller: RefCell<FleetController>,
    pub lease: RefCell<LeaseState>,
    /// Lease handover that this node announces while it stops, and when it was made.
    pub handover: RefCell<Option<(LeaseHandover, Timestamp)>>,
    /// Limits on the memory of responses.
    pub budgets: MemoryBudgets,
    pub pool: BackendPool,
    pub store: StoreClient,
    pub phase: Cell<PeerPhase>,
    pub loop_lag: LoopLag,
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
    pub fn new(settings: EntrySettings, connector: Rc<dyn ServerConnector>) -> Self {
        let bounds = settings.bounds;
        let own_retries = own_retries(&bounds);
        let gateway_settings = GatewaySettings {
            retry_permille: own_retries.permille,
            retry_burst: own_retries.burst,
            pacing: settings.admission.is_paced.then(PacingSettings::default),
            ..GatewaySettings::default()
        };
        let incarnation = clock::new_incarnation();
        let budgets = MemoryBudgets::of(settings.memory);
        let key = NodeKey {
            id: settings.node.clone(),
            incarnation,
        };
        let mut lease = LeaseState::new(
            key,
            TermNode::of(&settings.node, incarnation),
            LeaseTiming::default(),
        );
        if !settings.is_first_start {
            lease.delay_acquisition();
        }
        let mut gateway =
            RequestGateway::new(gateway_settings, settings.node.clone(), incarnation.0);
        gateway.set_pool_limits(pooled_retries(&bounds));
        gateway.set_cold_bound(bounds.cold_bound());
        if settings.admission.prefers_near {
            gateway.set_near_domain(Some(settings.failure_domain.clone()));
        }
        Self {
            gateway: RefCell::new(gateway),
            crashes: RefCell::default(),
            reach: ReachMonitor::default(),
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
            evacuations: RefCell::default(),
            controller: RefCell::new(FleetController::new(ControllerTiming::default())),
            lease: RefCell::new(lease),
            handover: RefCell::default(),
            pool: BackendPool::new(connector),
            store: StoreClient::new(settings.store, budgets.store.clone()),
            budgets,
            phase: Cell::new(PeerPhase::Starting),
            loop_lag: LoopLag::default(),
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

    /// Records that a response states a backend server to be cold for `left`.
    pub fn record_cold(&self, backend: &VmId, server: ServerNumber, left: TimeSpan) {
        let service = self
            .table
            .borrow()
            .get(backend)
            .map(|row| row.entry.service.clone());
        let Some(service) = service.filter(|_| left > TimeSpan(0)) else {
            return;
        };
        let mut gateway = self.gateway.borrow_mut();
        let notice = gateway.record_cold_response(server, backend, &service, left, clock::now());
        report_cold(notice.as_slice(), "response");
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

    /// Time since the table was last known to be current; the maximum when it was never read.
    pub fn table_age(&self, now: Timestamp) -> TimeSpan {
        self.table_read_at
            .get()
            .map_or(TimeSpan(u64::MAX), |read| now.since(read))
    }
}
