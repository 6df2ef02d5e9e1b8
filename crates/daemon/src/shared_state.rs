//! What the threads of a daemon share.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
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
use crate::telemetry::MetricsRenderer;

/// A question to the control lane, run on its thread.
pub type ControlPlaneQuery = Box<dyn FnOnce(&ControlState, Timestamp) + Send>;

/// A question to the traffic lane, run on its thread.
pub type DataPlaneQuery = Box<dyn FnOnce(&TrafficState, Timestamp) + Send>;

/// Input of the control lane.
pub enum ControlPlaneInput {
    /// An event for the reducer.
    Event(ControlEvent),
    /// An operator's change; the answer goes to the sender.
    Operator(
        Box<dyn FnOnce(jaysaddle_reducer::operator::OperatorTicket) -> ControlEvent + Send>,
        flume::Sender<jaysaddle_reducer::OperatorAnswer>,
    ),
    /// A question.
    Query(ControlPlaneQuery),
}

/// Input of the traffic lane.
pub enum DataPlaneInput {
    /// An event for the reducer.
    Event(TrafficEvent),
    /// A request; effects that concern it go to the sender.
    Request(Box<RequestSpec>, flume::Sender<TrafficEffect>),
    /// A question.
    Query(DataPlaneQuery),
}

/// Shards that this node held when the control lane last looked.
#[derive(Debug, Default)]
struct HeldShards {
    shards: BTreeSet<FabricDomainId>,
    observed_at: Timestamp,
}

/// Age up to which the control lane's view of its leases allows an order. Below the margin that a
/// new holder waits beyond the lease's duration.
const MAX_HELD_AGE: TimeSpan = TimeSpan::from_millis(500);

/// Shared by all threads of a daemon.
pub struct SharedState {
    /// Settings.
    pub settings: NodeSettings,
    /// This run of the node.
    pub own_node: NodeRecord,
    /// Input of the control lane.
    pub control_plane: flume::Sender<ControlPlaneInput>,
    /// Input of the traffic lane.
    pub data_plane: flume::Sender<DataPlaneInput>,
    /// Engines and plain services.
    pub engine: Arc<dyn EngineClient>,
    /// The platform.
    pub store: Arc<dyn PlatformStore>,
    /// Latest decisions.
    pub journal: DecisionJournal,
    /// Renders the metrics.
    pub metrics: MetricsRenderer,
    /// Set once a planned stop has begun.
    pub stopping: AtomicBool,
    /// Requests of callers that hold a thread.
    pub open_requests: AtomicUsize,
    view: RwLock<Arc<FleetView>>,
    held: Mutex<HeldShards>,
    next_request: AtomicU64,
}

impl SharedState {
    /// A shared for a node that knows nothing yet.
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
            open_requests: AtomicUsize::new(0),
            view: RwLock::default(),
            held: Mutex::default(),
            next_request: AtomicU64::new(1),
        }
    }

    /// The view in force.
    pub fn view(&self) -> Arc<FleetView> {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the view in force.
    pub fn set_view(&self, view: Arc<FleetView>) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }

    /// Records the shards held at `now`.
    pub fn set_held_shards(&self, shards: BTreeSet<FabricDomainId>, now: Timestamp) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        *held = HeldShards {
            shards,
            observed_at: now,
        };
    }

    /// Whether an order for `shard` may be sent now.
    pub fn may_send_order(&self, shard: &FabricDomainId) -> bool {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        clock::now().since(held.observed_at) <= MAX_HELD_AGE && held.shards.contains(shard)
    }

    /// An id for a request that arrives at this node.
    pub fn new_request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format_compact!(
            "{}.{}.{number}",
            self.own_node.key.id,
            self.own_node.key.incarnation
        ))
    }

    /// Sends an event to the control lane; lost when the lane has ended.
    pub fn send_control_event(&self, event: ControlEvent) {
        let _ = self.control_plane.send(ControlPlaneInput::Event(event));
    }

    /// Sends an event to the traffic lane; lost when the lane has ended.
    pub fn send_data_event(&self, event: TrafficEvent) {
        let _ = self.data_plane.send(DataPlaneInput::Event(event));
    }

    /// Runs `query` on the control lane and returns its result; `None` when the lane has ended.
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

    /// Runs `query` on the traffic lane and returns its result; `None` when the lane has ended.
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
