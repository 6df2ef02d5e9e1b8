//! The thread of the control lane: feeds the reducer and hands its effects to the workers.

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
use jaysaddle_reducer::OperatorAnswer;
use jaysaddle_reducer::StoreCaller;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_reducer::operator::OperatorTicket;
use jaysaddle_transport::TransportCommand;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::clock;
use crate::hub::ControlInput;
use crate::hub::Hub;
use crate::pools::WorkerPool;
use crate::telemetry;

/// Time between ticks of a lane.
pub const TICK: Duration = Duration::from_millis(50);

/// Time between updates of the gauges.
const OBSERVE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Time allowed for an order. It is the time for which a new lease holder waits before it orders
/// engines that ignore fencing tokens, so an order must not be in flight for longer.
const ORDER_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// Exit code of a run that a later run of the same node has superseded. Two runs would both answer
/// for one node.
const SUPERSEDED_EXIT_CODE: i32 = 3;

/// Workers of the control lane, apart from each other so that one kind of slow call does not delay
/// the others.
#[derive(Clone)]
pub struct ControlPools {
    /// Probes of VMs.
    pub probes: WorkerPool,
    /// Orders to engines.
    pub orders: WorkerPool,
    /// Renewals of leases.
    pub leases: WorkerPool,
    /// Other calls to the store.
    pub store: WorkerPool,
}

impl ControlPools {
    /// Starts the workers.
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

/// The control lane with what it drives.
pub struct ControlLane {
    /// Shared state.
    pub hub: Arc<Hub>,
    /// The reducer's lane.
    pub state: ControlState,
    /// Input.
    pub input: flume::Receiver<ControlInput>,
    /// Peer links.
    pub transport: flume::Sender<TransportCommand>,
    /// Workers.
    pub pools: ControlPools,
}

struct LaneLoop {
    lane: ControlLane,
    answers: BTreeMap<OperatorTicket, flume::Sender<OperatorAnswer>>,
    next_ticket: u64,
    last_tick: Timestamp,
    last_observed: Timestamp,
}

impl ControlLane {
    /// Runs the lane until its input ends.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start(self) -> std::io::Result<thread::JoinHandle<()>> {
        thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                let now = clock::now();
                LaneLoop {
                    lane: self,
                    answers: BTreeMap::new(),
                    next_ticket: 1,
                    last_tick: now,
                    last_observed: now,
                }
                .run();
            })
    }
}

impl LaneLoop {
    fn run(mut self) {
        self.step(ControlEvent::Tick);
        loop {
            match self.lane.input.recv_timeout(TICK) {
                Ok(input) => self.take(input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            let now = clock::now();
            if now.since(self.last_tick).as_duration() >= TICK {
                self.last_tick = now;
                self.step(ControlEvent::Tick);
                self.lane
                    .hub
                    .set_held(self.lane.state.held_shards(now), now);
                self.observe(now);
            }
        }
    }

    fn take(&mut self, input: ControlInput) {
        match input {
            ControlInput::Event(event) => self.step(event),
            ControlInput::Operator(event, answer) => {
                let ticket = OperatorTicket(self.next_ticket);
                self.next_ticket += 1;
                self.answers.insert(ticket, answer);
                self.step(event(ticket));
            }
            ControlInput::Query(query) => query(&self.lane.state, clock::now()),
        }
    }

    fn observe(&mut self, now: Timestamp) {
        let elapsed = now.since(self.last_observed);
        if elapsed >= OBSERVE_INTERVAL {
            self.last_observed = now;
            let held = self.lane.state.held_shards(now).len();
            telemetry::observe(&self.lane.state, &self.lane.hub.view(), held, elapsed);
        }
    }

    fn step(&mut self, event: ControlEvent) {
        let started = Instant::now();
        let effects = self.lane.state.step(event, clock::now());
        let took = started.elapsed();
        for effect in effects {
            self.perform(effect, took);
        }
    }

    fn perform(&mut self, effect: ControlEffect, took: Duration) {
        let hub = self.lane.hub.clone();
        match effect {
            ControlEffect::SendPeer { to, message } => {
                let _ = self
                    .lane
                    .transport
                    .send(TransportCommand::Send { to, message });
            }
            ControlEffect::Reconnect { to } => {
                let _ = self.lane.transport.send(TransportCommand::Reconnect { to });
            }
            ControlEffect::CallStore {
                caller,
                call,
                request,
            } => {
                let pool = match caller {
                    StoreCaller::Lease => &self.lane.pools.leases,
                    StoreCaller::Placement | StoreCaller::Operator => &self.lane.pools.store,
                };
                pool.run(move || {
                    let outcome = hub.store.call(&request);
                    log::debug!("store call {call} of {caller:?} ended: {outcome:?}");
                    hub.control_event(ControlEvent::CallAnswered {
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
            } => self.lane.pools.probes.run(move || {
                let started = clock::now();
                let outcome = hub
                    .engine
                    .fetch_report(address, timeout)
                    .map_err(probe_failure);
                let latency = clock::now().since(started);
                if let Ok(report) = &outcome {
                    hub.traffic_event(TrafficEvent::VmReported(report.clone()));
                }
                hub.control_event(ControlEvent::VmReported {
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
            } => self.lane.pools.orders.run(move || {
                // The job may have waited, or the process may have been paused, since the reducer
                // checked the lease.
                let outcome = if hub.may_order(&shard) {
                    hub.engine.send_order(address, &order, ORDER_TIMEOUT)
                } else {
                    log::warn!("order to {vm} withheld: the lease of {shard} is not held any more");
                    None
                };
                hub.control_event(ControlEvent::OrderAnswered { vm, order, outcome });
            }),
            ControlEffect::PublishView(view) => {
                hub.set_view(view.clone());
                hub.traffic_event(TrafficEvent::ViewChanged(view));
            }
            ControlEffect::AnswerOperator { ticket, answer } => {
                if let Some(sender) = self.answers.remove(&ticket) {
                    let _ = sender.send(answer);
                }
            }
            ControlEffect::Superseded => {
                log::error!("a later run of this node has started; this one ends");
                std::process::exit(SUPERSEDED_EXIT_CODE);
            }
            ControlEffect::Decision(record) => hub.journal.record(record, took),
            ControlEffect::Violation(violation) => report_violation(&violation),
        }
    }
}

/// Logs and counts a violation.
pub fn report_violation(violation: &jaysaddle_reducer::InvariantViolation) {
    log::error!("{violation}");
    metrics::counter!(
        "jaysaddle_invariant_violations_total",
        "invariant" => violation.kind.as_str()
    )
    .increment(1);
}

/// The health tracker's word for a failed report.
pub fn probe_failure(failure: ReportFailure) -> ProbeFailure {
    match failure {
        ReportFailure::Timeout => ProbeFailure::Timeout,
        ReportFailure::Refused => ProbeFailure::Refused,
        ReportFailure::Invalid => ProbeFailure::Invalid,
    }
}
