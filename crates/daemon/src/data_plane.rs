//! Data plane thread: passes events to the reducer and its effects to the request threads.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_reducer::ControlEvent;
use jaysaddle_reducer::TrafficEffect;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_reducer::TrafficState;
use jaysaddle_transport::TransportCommand;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::Timestamp;

use crate::clock;
use crate::control_lane::TICK_INTERVAL;
use crate::control_lane::report_violation;
use crate::shared_state::DataPlaneInput;
use crate::shared_state::SharedState;

/// Reducer state of the data plane, its input and the channels that receive its effects.
pub struct DataPlane {
    /// The daemon's shared state.
    pub shared: Arc<SharedState>,
    /// State machine that makes the decisions.
    pub state: TrafficState,
    /// Receiver of events, requests and queries.
    pub input: flume::Receiver<DataPlaneInput>,
    /// Sender of commands to the peer transport.
    pub transport: flume::Sender<TransportCommand>,
    /// Sender of the result of a ledger handover: true if a successor holds the complete ledger.
    pub handover: flume::Sender<bool>,
}

struct EventLoop {
    plane: DataPlane,
    waiters: HashMap<RequestId, flume::Sender<TrafficEffect>>,
    last_tick: Timestamp,
}

impl DataPlane {
    /// Starts the thread, which runs until all input senders are dropped.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start(self) -> std::io::Result<thread::JoinHandle<()>> {
        thread::Builder::new()
            .name("traffic".into())
            .spawn(move || {
                EventLoop {
                    plane: self,
                    waiters: HashMap::new(),
                    last_tick: clock::now(),
                }
                .run();
            })
    }
}

impl EventLoop {
    fn run(mut self) {
        loop {
            match self.plane.input.recv_timeout(TICK_INTERVAL) {
                Ok(DataPlaneInput::Event(event)) => self.step(event),
                Ok(DataPlaneInput::Request(spec, waiter)) => {
                    self.waiters.insert(spec.id.clone(), waiter);
                    self.step(TrafficEvent::RequestArrived(*spec));
                }
                Ok(DataPlaneInput::Query(query)) => query(&self.plane.state, clock::now()),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            let now = clock::now();
            if now.since(self.last_tick).as_duration() >= TICK_INTERVAL {
                self.last_tick = now;
                self.step(TrafficEvent::Tick);
            }
        }
    }

    fn step(&mut self, event: TrafficEvent) {
        let ended = match &event {
            TrafficEvent::AttemptEnded { request, .. }
            | TrafficEvent::CallerDisconnected(request) => Some(request.clone()),
            _ => None,
        };
        let started = Instant::now();
        let effects = self.plane.state.step(event, clock::now());
        let elapsed = started.elapsed();
        for effect in effects {
            self.execute(effect, elapsed);
        }
        if let Some(request) = ended
            && !self.plane.state.is_open(&request)
        {
            self.waiters.remove(&request);
        }
    }

    /// Sends an effect to the thread of its request. The last effect removes the channel.
    fn forward(&mut self, request: &RequestId, effect: TrafficEffect, is_last: bool) {
        let waiter = if is_last {
            self.waiters.remove(request)
        } else {
            self.waiters.get(request).cloned()
        };
        if let Some(waiter) = waiter {
            let _ = waiter.send(effect);
        }
    }

    fn execute(&mut self, effect: TrafficEffect, elapsed: Duration) {
        match effect {
            TrafficEffect::CheckGroup { ref request, .. }
            | TrafficEffect::Dispatch { ref request, .. }
            | TrafficEffect::AwaitAttempt { ref request, .. } => {
                let request = request.clone();
                self.forward(&request, effect, false);
            }
            TrafficEffect::Refuse { ref request, .. }
            | TrafficEffect::ReturnStored { ref request, .. } => {
                let request = request.clone();
                self.forward(&request, effect, true);
            }
            TrafficEffect::SendPeer { to, message } => {
                let _ = self
                    .plane
                    .transport
                    .send(TransportCommand::Send { to, message });
            }
            TrafficEffect::Attempted { vm, finding } => {
                self.plane
                    .shared
                    .send_control_event(ControlEvent::Attempted { vm, finding });
            }
            TrafficEffect::UsageMeasured(usage) => {
                self.plane
                    .shared
                    .send_control_event(ControlEvent::UsageMeasured(usage));
            }
            TrafficEffect::LedgerMoved { successor } => {
                self.plane
                    .shared
                    .send_control_event(ControlEvent::LedgerMoved { successor });
            }
            TrafficEffect::HandoverEnded { complete } => {
                let _ = self.plane.handover.send(complete);
            }
            TrafficEffect::Decision(record) => self.plane.shared.journal.record(record, elapsed),
            TrafficEffect::Violation(violation) => report_violation(&violation),
        }
    }
}
