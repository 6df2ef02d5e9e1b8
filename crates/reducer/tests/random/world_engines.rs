//! What reaches the fake engines: probes, orders, sends and the ends of runs.

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
use crate::world::LEAVING_MS;
use crate::world::PRESENCE_MS;
use crate::world::SERVICE_VM;
use crate::world::World;
use crate::world::WorldEvent;
use crate::world::vm_address;

impl World {
    pub(crate) fn engine_at(&self, address: SocketAddr) -> Option<usize> {
        (0..self.engines.len()).find(|index| vm_address(*index) == address)
    }

    /// Members of a group that its leader cannot reach or that have not loaded.
    pub(crate) fn missing_members(&self, index: usize) -> Vec<VmId> {
        let Some(duty) = &self.engines[index].duty else {
            return Vec::new();
        };
        duty.members
            .iter()
            .filter(|member| {
                !self.engines.iter().any(|engine| {
                    engine.vm == **member
                        && engine.is_well(self.now)
                        && engine.duty.as_ref().is_some_and(|other| {
                            other.group == duty.group
                                && other.generation == duty.generation
                                && other.loaded_at <= self.now
                        })
                })
            })
            .cloned()
            .collect()
    }

    pub(crate) fn engine_call(&mut self, node: usize, incarnation: u64, effect: Effect) {
        match effect {
            Effect::Control(ControlEffect::ProbeVm {
                vm,
                address,
                timeout,
            }) => {
                let (wait, outcome) = self.report_of(address, timeout);
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
                self.after(
                    wait,
                    WorldEvent::Deliver {
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
                    .is_well(self.now)
                    .then(|| self.engines[index].order(&order, self.now));
                let event = ControlEvent::OrderAnswered { vm, order, outcome };
                self.deliver(node, incarnation, Event::Control(event));
            }
            Effect::Traffic(TrafficEffect::CheckGroup {
                request, address, ..
            }) => {
                let (wait, outcome) = self.report_of(address, TimeSpan::from_secs(1));
                let event = TrafficEvent::GroupReported { request, outcome };
                let event = Box::new(Event::Traffic(event));
                self.after(
                    wait,
                    WorldEvent::Deliver {
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
                self.dispatch_arrives(
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

    pub(crate) fn report_of(
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
        if !self.engines[index].is_well(self.now) {
            return (timeout.as_millis(), Err(ProbeFailure::Timeout));
        }
        let missing = self.missing_members(index);
        (delay, Ok(self.engines[index].report(missing, self.now)))
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one effect")]
    pub(crate) fn dispatch_arrives(
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
        let known = self.engines[index].starts.contains_key(request.as_str());
        if resume_at.is_some() && !known {
            let outcome = AttemptOutcome::Refused(EngineRefusal::UnknownRequest);
            self.deliver(node, incarnation, ended(outcome));
            return;
        }
        if let RouteTarget::Group {
            group, generation, ..
        } = target
        {
            let follows = self.engines[index]
                .duty
                .as_ref()
                .is_some_and(|duty| duty.group == *group && duty.generation == *generation);
            if !follows {
                let outcome = AttemptOutcome::Refused(EngineRefusal::StaleGeneration);
                self.deliver(node, incarnation, ended(outcome));
                return;
            }
        }
        if !self.engines[index].is_well(self.now) {
            // The send is not answered; the request may run when the VM goes on.
            self.start_run(index, request, target);
            let broken = AttemptOutcome::Broken {
                received: 0,
                delivered: false,
                resumable: true,
            };
            let event = Box::new(ended(broken));
            self.after(
                3_000,
                WorldEvent::Deliver {
                    node,
                    incarnation,
                    event,
                },
            );
            return;
        }
        if resume_at.is_none() {
            self.check_start(index, target);
            self.start_run(index, request, target);
        }
        let time = 50 + self.draw(600);
        let request = request.clone();
        self.after(
            time,
            WorldEvent::RunEnds {
                node,
                incarnation,
                vm: index,
                request,
                attempt,
            },
        );
    }

    pub(crate) fn start_run(&mut self, index: usize, request: &RequestId, _target: &RouteTarget) {
        let starts = self.engines[index]
            .starts
            .entry(request.to_string())
            .or_insert(0);
        *starts = 1;
    }

    /// Every member was well a moment ago, and none has been leaving for long.
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
                .expect("members are VMs");
            if is_group {
                assert!(
                    engine.last_well + PRESENCE_MS >= self.now,
                    "at {} a run starts at {} while {member} was last well at {}; {:?}",
                    self.now,
                    self.engines[index].vm,
                    engine.last_well,
                    self.plan
                );
            }
            let quiet = self.last_fault_end + 2_000 < self.now || self.plan.faults.len() == 1;
            if let Some(since) = engine.leaving_since
                && quiet
            {
                assert!(
                    since + LEAVING_MS >= self.now,
                    "at {} a run starts at {member}, which has been leaving since {since}; {:?}",
                    self.now,
                    self.plan
                );
            }
        }
    }

    pub(crate) fn run_ends(
        &mut self,
        node: usize,
        incarnation: u64,
        vm: usize,
        request: RequestId,
        attempt: u32,
    ) {
        let engine = &self.engines[vm];
        if engine.alive && !engine.is_well(self.now) {
            let wait = engine.frozen_until - self.now;
            self.after(
                wait,
                WorldEvent::RunEnds {
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
                answer: StoredResponse {
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
            self.answer(&request, CallEnd::Answered);
        }
    }
}
