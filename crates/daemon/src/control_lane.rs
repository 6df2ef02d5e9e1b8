//! Control plane thread: passes events to the reducer and its effects to worker pools.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_engine::ReportFailure;
use jaysaddle_health::ProbeFailure;
use jaysaddle_reducer::ControlEffect;
use jaysaddle_reducer::ControlEvent;
use jaysaddle_reducer::ControlState;
use jaysaddle_reducer::OperatorOutcome;
use jaysaddle_reducer::StoreCaller;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_reducer::operator::OperatorTicket;
use jaysaddle_transport::TransportCommand;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::clock;
use crate::shared_state::ControlPlaneInput;
use crate::shared_state::SharedState;
use crate::telemetry;
use crate::worker_pool::WorkerPool;

/// Interval between tick events, for both planes.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between updates of the gauges.
const GAUGE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Timeout of an order. A new lease holder waits for this time before it sends orders to engines
/// that ignore fencing tokens, so an order must not be in flight for longer.
const ORDER_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// Exit code when a later incarnation of the same node has been started. Two incarnations must not
/// both act as one node.
const SUPERSEDED_EXIT_CODE: i32 = 3;

/// Worker pools of the control plane. Each kind of call has its own, so that slow calls of one kind
/// do not delay the others.
#[derive(Clone)]
pub struct ControlPools {
    /// Pool for probes of VMs.
    pub probes: WorkerPool,
    /// Pool for orders to engines.
    pub orders: WorkerPool,
    /// Pool for lease acquisitions and renewals, whose delay could expire a lease.
    pub leases: WorkerPool,
    /// Pool for all other calls to the store.
    pub store: WorkerPool,
}

impl ControlPools {
    /// Starts all worker threads.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub fn start() -> std::io::Result<Self> {
        Ok(Self {
            probes: WorkerPool::start("probe", 32)?,
            orders: WorkerPool::start("order", 16)?,
            leases: WorkerPool::start("lease", 4)?,
            store: WorkerPool::start("store", 4)?,
        })
    }
}

/// Reducer state of the control plane, its input and the clients that execute its effects.
pub struct ControlPlane {
    /// The daemon's shared state.
    pub shared: Arc<SharedState>,
    /// State machine that makes the decisions.
    pub state: ControlState,
    /// Receiver of events, operator changes and queries.
    pub input: flume::Receiver<ControlPlaneInput>,
    /// Sender of commands to the peer transport.
    pub transport: flume::Sender<TransportCommand>,
    /// Worker pools for blocking calls.
    pub pools: ControlPools,
}

struct EventLoop {
    plane: ControlPlane,
    operator_replies: BTreeMap<OperatorTicket, flume::Sender<OperatorOutcome>>,
    next_ticket: u64,
    last_tick: Timestamp,
    last_gauge_update: Timestamp,
}

impl ControlPlane {
    /// Starts the thread, which runs until all input senders are dropped.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start(self) -> std::io::Result<thread::JoinHandle<()>> {
        thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                let now = clock::now();
                EventLoop {
                    plane: self,
                    operator_replies: BTreeMap::new(),
                    next_ticket: 1,
                    last_tick: now,
                    last_gauge_update: now,
                }
                .run();
            })
    }
}

impl EventLoop {
    fn run(mut self) {
        self.step(ControlEvent::Tick);
        loop {
            match self.plane.input.recv_timeout(TICK_INTERVAL) {
                Ok(input) => self.handle_input(input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            let now = clock::now();
            if now.since(self.last_tick).as_duration() >= TICK_INTERVAL {
                self.last_tick = now;
                self.step(ControlEvent::Tick);
                self.plane
                    .shared
                    .set_held_shards(self.plane.state.held_shards(now), now);
                self.update_gauges(now);
            }
        }
    }

    fn handle_input(&mut self, input: ControlPlaneInput) {
        match input {
            ControlPlaneInput::Event(event) => self.step(event),
            ControlPlaneInput::Operator(event, reply_sender) => {
                let ticket = OperatorTicket(self.next_ticket);
                self.next_ticket += 1;
                self.operator_replies.insert(ticket, reply_sender);
                self.step(event(ticket));
            }
            ControlPlaneInput::Query(query) => query(&self.plane.state, clock::now()),
        }
    }

    fn update_gauges(&mut self, now: Timestamp) {
        let elapsed = now.since(self.last_gauge_update);
        if elapsed >= GAUGE_INTERVAL {
            self.last_gauge_update = now;
            let held_shards = self.plane.state.held_shards(now).len();
            telemetry::update_gauges(
                &self.plane.state,
                &self.plane.shared.view(),
                held_shards,
                elapsed,
            );
        }
    }

    fn step(&mut self, event: ControlEvent) {
        let started = Instant::now();
        let effects = self.plane.state.step(event, clock::now());
        let elapsed = started.elapsed();
        for effect in effects {
            self.execute(effect, elapsed);
        }
    }

    fn execute(&mut self, effect: ControlEffect, elapsed: Duration) {
        let shared = self.plane.shared.clone();
        match effect {
            ControlEffect::SendPeer { to, message } => {
                let _ = self
                    .plane
                    .transport
                    .send(TransportCommand::Send { to, message });
            }
            ControlEffect::Reconnect { to } => {
                let _ = self
                    .plane
                    .transport
                    .send(TransportCommand::Reconnect { to });
            }
            ControlEffect::CallStore {
                caller,
                call,
                request,
            } => {
                let pool = match caller {
                    StoreCaller::Lease => &self.plane.pools.leases,
                    StoreCaller::Placement | StoreCaller::Operator => &self.plane.pools.store,
                };
                pool.submit(move || {
                    let outcome = shared.store.call(&request);
                    log::debug!("store call {call} of {caller:?} ended: {outcome:?}");
                    shared.send_control_event(ControlEvent::CallCompleted {
                        caller,
                        call,
                        outcome,
                    });
                });
            }
            ControlEffect::ProbeVm {
                vm,
                address,
                timeout,
            } => self.plane.pools.probes.submit(move || {
                let started = clock::now();
                let outcome = shared
                    .engine
                    .fetch_report(address, timeout)
                    .map_err(probe_failure);
                let latency = clock::now().since(started);
                if let Ok(report) = &outcome {
                    shared.send_data_event(TrafficEvent::VmReported(report.clone()));
                }
                shared.send_control_event(ControlEvent::VmReported {
                    vm,
                    outcome,
                    latency,
                });
            }),
            ControlEffect::OrderEngine {
                shard,
                vm,
                address,
                order,
            } => self.plane.pools.orders.submit(move || {
                // Checked again, because the job may have been queued or the process suspended
                // since the reducer checked the lease.
                let outcome = if shared.may_send_order(&shard) {
                    shared.engine.send_order(address, &order, ORDER_TIMEOUT)
                } else {
                    log::warn!("order to {vm} not sent: the lease of {shard} is no longer held");
                    None
                };
                shared.send_control_event(ControlEvent::OrderCompleted { vm, order, outcome });
            }),
            ControlEffect::PublishView(view) => {
                shared.set_view(view.clone());
                shared.send_data_event(TrafficEvent::ViewChanged(view));
            }
            ControlEffect::CompleteOperation { ticket, outcome } => {
                if let Some(sender) = self.operator_replies.remove(&ticket) {
                    let _ = sender.send(outcome);
                }
            }
            ControlEffect::Superseded => {
                log::error!("a later incarnation of this node is running; exiting");
                std::process::exit(SUPERSEDED_EXIT_CODE);
            }
            ControlEffect::Decision(record) => shared.journal.record(record, elapsed),
            ControlEffect::Violation(violation) => report_violation(&violation),
        }
    }
}

/// Logs an invariant violation and increments its counter.
pub fn report_violation(violation: &jaysaddle_reducer::InvariantViolation) {
    log::error!("{violation}");
    metrics::counter!(
        "jaysaddle_invariant_violations_total",
        "invariant" => violation.kind.as_str()
    )
    .increment(1);
}

/// Converts a report failure to the corresponding failure of the health tracker.
pub fn probe_failure(failure: ReportFailure) -> ProbeFailure {
    match failure {
        ReportFailure::Timeout => ProbeFailure::Timeout,
        ReportFailure::Refused => ProbeFailure::Refused,
        ReportFailure::Invalid => ProbeFailure::Invalid,
    }
}
