//! Interaction of the nodes with the fake engines: probes, orders, dispatched requests
//! and their completion.

use std::net::SocketAddr;

use jaysaddle_health::ProbeFailure;
use jaysaddle_ledger::StoredResponse;
use jaysaddle_reducer::ControlEffect;
use jaysaddle_reducer::ControlEvent;
use jaysaddle_reducer::Effect;
use jaysaddle_reducer::Event;
use jaysaddle_reducer::TrafficEffect;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_reducer::traffic_event::AttemptOutcome;
use jaysaddle_routing::RouteTarget;
use jaysaddle_types::engine::EngineRefusal;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::TokenCount;

use crate::caller::CallEnd;
use crate::simulation::MAX_LEAVING_MS;
use crate::simulation::MAX_UNRESPONSIVE_MS;
use crate::simulation::SERVICE_VM;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;
use crate::simulation::vm_address;

impl Simulation {
    pub(crate) fn engine_at(&self, address: SocketAddr) -> Option<usize> {
        (0..self.engines.len()).find(|index| vm_address(*index) == address)
    }

    /// Returns the members of a group that its leader cannot reach or that have not loaded weights.
    pub(crate) fn missing_members(&self, index: usize) -> Vec<VmId> {
        let Some(assignment) = &self.engines[index].assignment else {
            return Vec::new();
        };
        assignment
            .members
            .iter()
            .filter(|member| {
                !self.engines.iter().any(|engine| {
                    engine.vm == **member
                        && engine.is_responsive(self.now)
                        && engine.assignment.as_ref().is_some_and(|other| {
                            other.group == assignment.group
                                && other.generation == assignment.generation
                                && other.loaded_at <= self.now
                        })
                })
            })
            .cloned()
            .collect()
    }

    pub(crate) fn execute_engine_call(&mut self, node: usize, incarnation: u64, effect: Effect) {
        match effect {
            Effect::Control(ControlEffect::ProbeVm {
                vm,
                address,
                timeout,
            }) => {
                let (wait, outcome) = self.probe_engine(address, timeout);
                let event = ControlEvent::VmReported {
                    vm,
                    outcome: outcome.clone(),
                    latency: TimeSpan::from_millis(wait),
                };
                if let Ok(report) = outcome {
                    let report = Event::Traffic(TrafficEvent::VmReported(report));
                    self.deliver(node, incarnation, report);
                }
                let event = Box::new(Event::Control(event));
                self.schedule(
                    wait,
                    SimEvent::Deliver {
                        node,
                        incarnation,
                        event,
                    },
                );
            }
            Effect::Control(ControlEffect::OrderEngine {
                vm, address, order, ..
            }) => {
                let Some(index) = self.engine_at(address) else {
                    return;
                };
                let outcome = self.engines[index]
                    .is_responsive(self.now)
                    .then(|| self.engines[index].handle_order(&order, self.now));
                let event = ControlEvent::OrderCompleted { vm, order, outcome };
                self.deliver(node, incarnation, Event::Control(event));
            }
            Effect::Traffic(TrafficEffect::CheckGroup {
                request, address, ..
            }) => {
                let (wait, outcome) = self.probe_engine(address, TimeSpan::from_secs(1));
                let event = TrafficEvent::GroupReported { request, outcome };
                let event = Box::new(Event::Traffic(event));
                self.schedule(
                    wait,
                    SimEvent::Deliver {
                        node,
                        incarnation,
                        event,
                    },
                );
            }
            Effect::Traffic(TrafficEffect::Dispatch {
                request,
                attempt,
                target,
                address,
                resume_at,
            }) => {
                self.handle_dispatch(
                    node,
                    incarnation,
                    &request,
                    attempt,
                    &target,
                    address,
                    resume_at,
                );
            }
            _ => {}
        }
    }

    pub(crate) fn probe_engine(
        &mut self,
        address: SocketAddr,
        timeout: TimeSpan,
    ) -> (
        u64,
        Result<jaysaddle_types::engine::EngineReport, ProbeFailure>,
    ) {
        let delay = self.delay();
        let Some(index) = self.engine_at(address) else {
            return (delay, Err(ProbeFailure::Refused));
        };
        if !self.engines[index].alive {
            return (delay, Err(ProbeFailure::Refused));
        }
        if !self.engines[index].is_responsive(self.now) {
            return (timeout.as_millis(), Err(ProbeFailure::Timeout));
        }
        let missing = self.missing_members(index);
        (delay, Ok(self.engines[index].report(missing, self.now)))
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one effect")]
    pub(crate) fn handle_dispatch(
        &mut self,
        node: usize,
        incarnation: u64,
        request: &RequestId,
        attempt: u32,
        target: &RouteTarget,
        address: SocketAddr,
        resume_at: Option<u32>,
    ) {
        let Some(index) = self.engine_at(address) else {
            return;
        };
        let ended = |outcome| {
            Event::Traffic(TrafficEvent::AttemptEnded {
                request: request.clone(),
                attempt,
                outcome,
            })
        };
        if !self.engines[index].alive {
            self.deliver(node, incarnation, ended(AttemptOutcome::NotSent));
            return;
        }
        let started = self.engines[index].starts.contains_key(request.as_str());
        if resume_at.is_some() && !started {
            let outcome = AttemptOutcome::Refused(EngineRefusal::UnknownRequest);
            self.deliver(node, incarnation, ended(outcome));
            return;
        }
        if let RouteTarget::Group {
            group, generation, ..
        } = target
        {
            let follows = self.engines[index]
                .assignment
                .as_ref()
                .is_some_and(|joined| joined.group == *group && joined.generation == *generation);
            if !follows {
                let outcome = AttemptOutcome::Refused(EngineRefusal::StaleGeneration);
                self.deliver(node, incarnation, ended(outcome));
                return;
            }
        }
        if !self.engines[index].is_responsive(self.now) {
            // The request gets no response, but may run once the VM resumes.
            self.start_request(index, request, target);
            let broken = AttemptOutcome::Broken {
                received: 0,
                delivered: false,
                resumable: true,
            };
            let event = Box::new(ended(broken));
            self.schedule(
                3_000,
                SimEvent::Deliver {
                    node,
                    incarnation,
                    event,
                },
            );
            return;
        }
        if resume_at.is_none() {
            self.check_start(index, target);
            self.start_request(index, request, target);
        }
        let time = 50 + self.random_below(600);
        let request = request.clone();
        self.schedule(
            time,
            SimEvent::EndRequest {
                node,
                incarnation,
                vm: index,
                request,
                attempt,
            },
        );
    }

    pub(crate) fn start_request(
        &mut self,
        index: usize,
        request: &RequestId,
        _target: &RouteTarget,
    ) {
        let starts = self.engines[index]
            .starts
            .entry(request.to_string())
            .or_insert(0);
        *starts = 1;
    }

    /// Checks that every member was responsive within [`MAX_UNRESPONSIVE_MS`] and that none has
    /// been leaving for longer than [`MAX_LEAVING_MS`].
    pub(crate) fn check_start(&self, index: usize, target: &RouteTarget) {
        let members = match target {
            RouteTarget::Group { members, .. } => members.clone(),
            RouteTarget::Server { vm } => vec![vm.clone()],
        };
        let is_group = matches!(target, RouteTarget::Group { .. });
        for member in members {
            let engine = self
                .engines
                .iter()
                .find(|engine| engine.vm == member)
                .expect("every member is a VM of the simulation");
            if is_group {
                assert!(
                    engine.last_responsive + MAX_UNRESPONSIVE_MS >= self.now,
                    "at {} a request starts on {} while {member} was last responsive at {}; {:?}",
                    self.now,
                    self.engines[index].vm,
                    engine.last_responsive,
                    self.plan
                );
            }
            let no_faults = self.last_fault_end + 2_000 < self.now || self.plan.faults.len() == 1;
            if let Some(since) = engine.leaving_since
                && no_faults
            {
                assert!(
                    since + MAX_LEAVING_MS >= self.now,
                    "at {} a request starts on {member}, leaving since {since}; {:?}",
                    self.now,
                    self.plan
                );
            }
        }
    }

    pub(crate) fn end_request(
        &mut self,
        node: usize,
        incarnation: u64,
        vm: usize,
        request: RequestId,
        attempt: u32,
    ) {
        let engine = &self.engines[vm];
        if engine.alive && !engine.is_responsive(self.now) {
            let wait = engine.frozen_until - self.now;
            self.schedule(
                wait,
                SimEvent::EndRequest {
                    node,
                    incarnation,
                    vm,
                    request,
                    attempt,
                },
            );
            return;
        }
        let outcome = if engine.alive {
            AttemptOutcome::Completed {
                response: StoredResponse {
                    status: 200,
                    content_type: "text/plain".into(),
                    body: request.to_string().into_bytes().into(),
                },
                first_token: TimeSpan::from_millis(20),
                cached_tokens: TokenCount(0),
            }
        } else {
            AttemptOutcome::Broken {
                received: 0,
                delivered: false,
                resumable: vm != SERVICE_VM,
            }
        };
        if !self.is_running(node, incarnation) {
            return;
        }
        let completed = matches!(outcome, AttemptOutcome::Completed { .. });
        let event = TrafficEvent::AttemptEnded {
            request: request.clone(),
            attempt,
            outcome,
        };
        self.deliver(node, incarnation, Event::Traffic(event));
        if completed {
            self.respond(&request, CallEnd::Answered);
        }
    }
}
