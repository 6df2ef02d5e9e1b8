//! State of a planned stop that requests and connections consult.

use std::cell::Cell;

use jaysaddle_daemon::clock;
use jaysaddle_gateway::shutdown::ShutdownPlan;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use tokio::sync::watch;

/// Stage of a planned stop, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// No stop has been requested.
    Serving,
    /// The node has left the directory and still serves callers that have its address.
    Withdrawn,
    /// Idle connections are closed. Requests that can still end in time are served.
    Draining,
    /// The listeners are closed. Requests of open connections are still served if they can end in time.
    Closing,
    /// The process is about to exit: connections that are still open are closed.
    Ended,
}

/// Progress of a planned stop, and counts of what has arrived since it began.
#[derive(Debug)]
pub struct ShutdownState {
    stage: watch::Sender<ShutdownStage>,
    /// When the stop was requested; `None` before.
    started: Cell<Option<Timestamp>>,
    /// Schedule of the stop; `None` before.
    plan: Cell<Option<ShutdownPlan>>,
    /// Number of listeners that accept connections.
    listeners: Cell<u32>,
    /// Connections accepted since the stop was requested.
    connections: Cell<u64>,
    /// Requests received since the stop was requested.
    requests: Cell<u64>,
    /// Requests that this node cut because its process ended.
    cut_requests: Cell<u64>,
}

impl Default for ShutdownState {
    fn default() -> Self {
        Self {
            stage: watch::Sender::new(ShutdownStage::Serving),
            started: Cell::default(),
            plan: Cell::default(),
            listeners: Cell::default(),
            connections: Cell::default(),
            requests: Cell::default(),
            cut_requests: Cell::default(),
        }
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl ShutdownState {
    /// Begins the stop.
    pub fn begin(&self, plan: ShutdownPlan, now: Timestamp) {
        self.started.set(Some(now));
        self.plan.set(Some(plan));
        self.enter(ShutdownStage::Withdrawn);
    }

    /// Enters a later stage.
    pub fn enter(&self, stage: ShutdownStage) {
        self.stage
            .send_if_modified(|current| std::mem::replace(current, stage.max(*current)) < stage);
    }

    /// Current stage.
    pub fn stage(&self) -> ShutdownStage {
        *self.stage.borrow()
    }

    /// Completes when `stage` or a later one has been entered.
    pub async fn entered(&self, stage: ShutdownStage) {
        let mut receiver = self.stage.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = receiver.wait_for(|current| *current >= stage).await;
    }

    /// Schedule of the stop; `None` before it was requested.
    pub fn plan(&self) -> Option<ShutdownPlan> {
        self.plan.get()
    }

    /// Time by which every request must have ended; the maximum if no stop was requested.
    pub fn request_deadline(&self) -> Timestamp {
        self.plan
            .get()
            .map_or(Timestamp(u64::MAX), |plan| plan.request_deadline)
    }

    /// Whether requests that have not ended yet are cut because the process is about to end.
    pub fn cuts_requests(&self, now: Timestamp) -> bool {
        now >= self.request_deadline()
    }

    /// Time since the stop was requested; `None` before.
    pub fn elapsed(&self) -> Option<TimeSpan> {
        Some(clock::now().since(self.started.get()?))
    }

    /// Records a listener that accepts connections.
    pub fn listener_opened(&self) {
        self.listeners.set(self.listeners.get() + 1);
    }

    /// Records the end of a listener.
    pub fn listener_closed(&self) {
        self.listeners.set(self.listeners.get() - 1);
    }

    /// Number of listeners that accept connections.
    pub fn listeners(&self) -> u32 {
        self.listeners.get()
    }

    /// Counts an accepted connection.
    pub fn record_connection(&self) {
        if self.started.get().is_some() {
            increment(&self.connections);
            metrics::counter!("jaysaddle_stopping_connections_total").increment(1);
        }
    }

    /// Counts a received request.
    pub fn record_request(&self) {
        if self.started.get().is_some() {
            increment(&self.requests);
            metrics::counter!("jaysaddle_stopping_requests_total").increment(1);
        }
    }

    /// Counts a request that was cut by the end of the process.
    pub fn record_cut(&self) {
        increment(&self.cut_requests);
    }

    /// Number of connections accepted since the stop was requested.
    pub fn connections(&self) -> u64 {
        self.connections.get()
    }

    /// Number of requests received since the stop was requested.
    pub fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Number of requests cut by the end of the process.
    pub fn cut_requests(&self) -> u64 {
        self.cut_requests.get()
    }
}
