//! The thread of the traffic lane: feeds the reducer and hands effects to the requests' threads.

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
use crate::control_lane::TICK;
use crate::control_lane::report_violation;
use crate::hub::Hub;
use crate::hub::TrafficInput;

/// The traffic lane with what it drives.
pub struct TrafficLane {
    /// Shared state.
    pub hub: Arc<Hub>,
    /// The reducer's lane.
    pub state: TrafficState,
    /// Input.
    pub input: flume::Receiver<TrafficInput>,
    /// Peer links.
    pub transport: flume::Sender<TransportCommand>,
    /// Told when a handover of the ledger has ended, and whether a successor holds it.
    pub handover: flume::Sender<bool>,
}

struct LaneLoop {
    lane: TrafficLane,
    waiters: HashMap<RequestId, flume::Sender<TrafficEffect>>,
    last_tick: Timestamp,
}

impl TrafficLane {
    /// Runs the lane until its input ends.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start(self) -> std::io::Result<thread::JoinHandle<()>> {
        thread::Builder::new()
            .name("traffic".into())
            .spawn(move || {
                LaneLoop {
                    lane: self,
                    waiters: HashMap::new(),
                    last_tick: clock::now(),
                }
                .run();
            })
    }
}

impl LaneLoop {
    fn run(mut self) {
        loop {
            match self.lane.input.recv_timeout(TICK) {
                Ok(TrafficInput::Event(event)) => self.step(event),
                Ok(TrafficInput::Request(spec, waiter)) => {
                    self.waiters.insert(spec.id.clone(), waiter);
                    self.step(TrafficEvent::RequestArrived(*spec));
                }
                Ok(TrafficInput::Query(query)) => query(&self.lane.state, clock::now()),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            let now = clock::now();
            if now.since(self.last_tick).as_duration() >= TICK {
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
        let effects = self.lane.state.step(event, clock::now());
        let took = started.elapsed();
        for effect in effects {
            self.perform(effect, took);
        }
        if let Some(request) = ended
            && !self.lane.state.is_open(&request)
        {
            self.waiters.remove(&request);
        }
    }

    /// Passes an effect to the thread of its request.
    fn pass(&mut self, request: &RequestId, effect: TrafficEffect, ends: bool) {
        let waiter = if ends {
            self.waiters.remove(request)
        } else {
            self.waiters.get(request).cloned()
        };
        if let Some(waiter) = waiter {
            let _ = waiter.send(effect);
        }
    }

    fn perform(&mut self, effect: TrafficEffect, took: Duration) {
        match effect {
            TrafficEffect::CheckGroup { ref request, .. }
            | TrafficEffect::Dispatch { ref request, .. } => {
                let request = request.clone();
                self.pass(&request, effect, false);
            }
            TrafficEffect::Refuse { ref request, .. }
            | TrafficEffect::ReturnStored { ref request, .. } => {
                let request = request.clone();
                self.pass(&request, effect, true);
            }
            TrafficEffect::SendPeer { to, message } => {
                let _ = self
                    .lane
                    .transport
                    .send(TransportCommand::Send { to, message });
            }
            TrafficEffect::Attempted { vm, finding } => {
                self.lane
                    .hub
                    .control_event(ControlEvent::Attempted { vm, finding });
            }
            TrafficEffect::UsageMeasured(usage) => {
                self.lane
                    .hub
                    .control_event(ControlEvent::UsageMeasured(usage));
            }
            TrafficEffect::LedgerMoved { successor } => {
                self.lane
                    .hub
                    .control_event(ControlEvent::LedgerMoved { successor });
            }
            TrafficEffect::HandoverEnded { complete } => {
                let _ = self.lane.handover.send(complete);
            }
            TrafficEffect::Decision(record) => self.lane.hub.journal.record(record, took),
            TrafficEffect::Violation(violation) => report_violation(&violation),
        }
    }
}
