//! State shared by the daemon's threads.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use compact_str::format_compact;
use jaysaddle_engine::EngineClient;
use jaysaddle_platform::PlatformStore;
use jaysaddle_reducer::ControlEvent;
use jaysaddle_reducer::ControlState;
use jaysaddle_reducer::TrafficEffect;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_reducer::TrafficState;
use jaysaddle_settings::NodeSettings;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::request::RequestSpec;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::FleetView;

use crate::clock;
use crate::journal::DecisionJournal;
use crate::reply::AfterResponse;
use crate::telemetry::MetricsRenderer;

/// Read access to the control plane's state, executed on its thread.
pub type ControlPlaneQuery = Box<dyn FnOnce(&ControlState, Timestamp) + Send>;

/// Read access to the data plane's state, executed on its thread.
pub type DataPlaneQuery = Box<dyn FnOnce(&TrafficState, Timestamp) + Send>;

/// Message to the control plane thread.
pub enum ControlPlaneInput {
    /// Event to pass to the reducer.
    Event(ControlEvent),
    /// Operator's change, which becomes an event with a new ticket. The result goes to the sender.
    Operator(
        Box<dyn FnOnce(jaysaddle_reducer::operator::OperatorTicket) -> ControlEvent + Send>,
        flume::Sender<jaysaddle_reducer::OperatorOutcome>,
    ),
    /// Closure to run with the current state.
    Query(ControlPlaneQuery),
}

/// Message to the data plane thread.
pub enum DataPlaneInput {
    /// Event to pass to the reducer.
    Event(TrafficEvent),
    /// New request. Effects that concern it go to the sender.
    Request(Box<RequestSpec>, flume::Sender<TrafficEffect>),
    /// Closure to run with the current state.
    Query(DataPlaneQuery),
}

/// Fabric domains whose lease this node held at the last tick of the control plane.
#[derive(Debug, Default)]
struct HeldShards {
    shards: BTreeSet<FabricDomainId>,
    observed_at: Timestamp,
}

/// Maximum age of [`HeldShards`] at which orders may be sent. It is below the margin that a new
/// lease holder waits beyond the lease duration.
const MAX_HELD_AGE: TimeSpan = TimeSpan::from_millis(500);

/// State, clients and channels shared by all threads of a daemon.
pub struct SharedState {
    /// Node settings, read once at start.
    pub settings: NodeSettings,
    /// Record of this node with its current incarnation, as announced to peers.
    pub own_node: NodeRecord,
    /// Sender of control plane messages.
    pub control_plane: flume::Sender<ControlPlaneInput>,
    /// Sender of data plane messages.
    pub data_plane: flume::Sender<DataPlaneInput>,
    /// Client of model engines and plain services.
    pub engine: Arc<dyn EngineClient>,
    /// Client of the platform's object store and VM list.
    pub store: Arc<dyn PlatformStore>,
    /// Latest decisions of both planes.
    pub journal: DecisionJournal,
    /// Renderer of the `/metrics` response.
    pub metrics: MetricsRenderer,
    /// Set when a graceful stop has begun.
    pub stopping: AtomicBool,
    /// Set during a stop when every request of a caller that was taken has ended, so that each further one is refused.
    pub closing: AtomicBool,
    /// Number of caller requests that arrived during a stop.
    pub received_in_stop: AtomicU64,
    /// Number of caller requests refused because of a stop.
    pub refused_in_stop: AtomicU64,
    stop_deadline_ms: AtomicU64,
    view: RwLock<Arc<FleetView>>,
    held: Mutex<HeldShards>,
    next_request: AtomicU64,
}

impl SharedState {
    /// Creates the state of a node without a fleet view or leases.
    pub fn new(
        settings: NodeSettings,
        own_node: NodeRecord,
        control_plane: flume::Sender<ControlPlaneInput>,
        data_plane: flume::Sender<DataPlaneInput>,
        engine: Arc<dyn EngineClient>,
        store: Arc<dyn PlatformStore>,
        metrics: MetricsRenderer,
    ) -> Self {
        Self {
            settings,
            own_node,
            control_plane,
            data_plane,
            engine,
            store,
            metrics,
            journal: DecisionJournal::default(),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            received_in_stop: AtomicU64::new(0),
            refused_in_stop: AtomicU64::new(0),
            stop_deadline_ms: AtomicU64::new(u64::MAX),
            view: RwLock::default(),
            held: Mutex::default(),
            next_request: AtomicU64::new(1),
        }
    }

    /// Time by which each request must have ended because of a stop; far in the future before a stop.
    pub fn stop_deadline(&self) -> Timestamp {
        Timestamp(self.stop_deadline_ms.load(Ordering::SeqCst))
    }

    /// Sets the time by which each request must have ended.
    pub fn set_stop_deadline(&self, deadline: Timestamp) {
        self.stop_deadline_ms.store(deadline.0, Ordering::SeqCst);
    }

    /// Whether a caller's connection is closed after a refusal that is sent now. Before the last request that was taken has
    /// ended, it stays open: a later request on the same connection may have been taken.
    pub fn after_refusal(&self) -> AfterResponse {
        if self.closing.load(Ordering::SeqCst) {
            AfterResponse::Close
        } else {
            AfterResponse::Keep
        }
    }

    /// Current fleet view; empty until the control plane publishes one.
    pub fn view(&self) -> Arc<FleetView> {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the current fleet view.
    pub fn set_view(&self, view: Arc<FleetView>) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }

    /// Records the fabric domains whose lease is held at `now`.
    pub fn set_held_shards(&self, shards: BTreeSet<FabricDomainId>, now: Timestamp) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        *held = HeldShards {
            shards,
            observed_at: now,
        };
    }

    /// Whether the lease of `shard` was held recently enough to send an order now.
    pub fn may_send_order(&self, shard: &FabricDomainId) -> bool {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        clock::now().since(held.observed_at) <= MAX_HELD_AGE && held.shards.contains(shard)
    }

    /// Creates an id for a new request: node, incarnation and a sequence number.
    pub fn new_request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format_compact!(
            "{}.{}.{number}",
            self.own_node.key.id,
            self.own_node.key.incarnation
        ))
    }

    /// Sends an event to the control plane. It is dropped if the control plane has ended.
    pub fn send_control_event(&self, event: ControlEvent) {
        let _ = self.control_plane.send(ControlPlaneInput::Event(event));
    }

    /// Sends an event to the data plane. It is dropped if the data plane has ended.
    pub fn send_data_event(&self, event: TrafficEvent) {
        let _ = self.data_plane.send(DataPlaneInput::Event(event));
    }

    /// Runs `query` on the control plane thread and returns its result; `None` if the control
    /// plane has ended.
    pub fn query_control_plane<T: Send + 'static>(
        &self,
        query: impl FnOnce(&ControlState, Timestamp) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = flume::bounded(1);
        let input = ControlPlaneInput::Query(Box::new(move |state, now| {
            let _ = sender.send(query(state, now));
        }));
        self.control_plane.send(input).ok()?;
        receiver.recv().ok()
    }

    /// Runs `query` on the data plane thread and returns its result; `None` if the data
    /// plane has ended.
    pub fn query_data_plane<T: Send + 'static>(
        &self,
        query: impl FnOnce(&TrafficState, Timestamp) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = flume::bounded(1);
        let input = DataPlaneInput::Query(Box::new(move |state, now| {
            let _ = sender.send(query(state, now));
        }));
        self.data_plane.send(input).ok()?;
        receiver.recv().ok()
    }
}
