//! Discrete-event simulation of the nodes, the fakes and the messages between them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use compact_str::format_compact;
use jaysaddle_reducer::ControlEffect;
use jaysaddle_reducer::ControlEvent;
use jaysaddle_reducer::Effect;
use jaysaddle_reducer::Event;
use jaysaddle_reducer::NodeReducer;
use jaysaddle_reducer::TrafficEffect;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_reducer::step;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;
use jaysaddle_wire::messages::PeerMessage;

use crate::caller::CallEnd;
use crate::caller::FakeCall;
use crate::engine::FakeEngine;
use crate::faults::RunPlan;
use crate::store::FakeStore;

/// Number of nodes.
pub const NODES: usize = 4;

/// Number of VMs in each of the two fabric domains.
pub const VMS_PER_DOMAIN: usize = 5;

/// Duration of a run, long enough to recover after the last fault.
pub const RUN_DURATION_MS: u64 = 75_000;

/// Interval between ticks of a node.
pub(crate) const TICK_INTERVAL_MS: u64 = 100;

/// Interval between watch responses to a node.
pub(crate) const WATCH_INTERVAL_MS: u64 = 400;

/// Interval between new calls.
pub(crate) const CALL_INTERVAL_MS: u64 = 350;

/// Time after which no new calls start.
pub(crate) const LAST_CALL_MS: u64 = 35_000;

/// Time for which callers keep using an address from discovery.
pub(crate) const DISCOVERY_TTL_MS: u64 = 2_000;

/// Maximum delay of a message without a fault.
pub(crate) const MAX_MESSAGE_DELAY_MS: u64 = 40;

/// Maximum time for which a group's member may have been unresponsive when a request starts: the
/// maximum age of the leader's report, plus the delays of the report and of the dispatch.
pub(crate) const MAX_UNRESPONSIVE_MS: u64 = 2_000 + 4 * MAX_MESSAGE_DELAY_MS;

/// Time after which a leaving VM must not start a request: 3 s, plus the delay of the dispatch.
pub(crate) const MAX_LEAVING_MS: u64 = 3_000 + 2 * MAX_MESSAGE_DELAY_MS;

/// A scheduled event.
#[derive(Debug)]
pub(crate) enum SimEvent {
    Tick(usize),
    Watch(usize),
    Deliver {
        node: usize,
        incarnation: u64,
        event: Box<Event>,
    },
    PeerMessage {
        to: SocketAddr,
        message: PeerMessage,
        from: usize,
    },
    StoreCall {
        node: usize,
        incarnation: u64,
        effect: Box<ControlEffect>,
    },
    EngineCall {
        node: usize,
        incarnation: u64,
        effect: Box<Effect>,
    },
    EndRequest {
        node: usize,
        incarnation: u64,
        vm: usize,
        request: RequestId,
        attempt: u32,
    },
    NewCall(u64),
    StartAttempt(u64),
    AttemptTimeout {
        call: u64,
        request: RequestId,
    },
    Fault(usize),
    StartNode(usize),
    StopPhase {
        node: usize,
        incarnation: u64,
        phase: u8,
    },
    RestartVm(usize),
}

pub(crate) struct SimulatedNode {
    pub(crate) reducer: Option<NodeReducer>,
    pub(crate) incarnation: u64,
    pub(crate) paused_until: u64,
    pub(crate) partitioned_until: u64,
    pub(crate) revisions: BTreeMap<ObjectKind, u64>,
    pub(crate) rules_version: ObjectVersion,
    pub(crate) stopping: bool,
    pub(crate) restart_delay: u64,
}

/// State of a run.
pub struct Simulation {
    /// Seed and faults of the run, printed with each failure.
    pub(crate) plan: RunPlan,
    pub(crate) now: u64,
    pub(crate) last_sequence: u64,
    pub(crate) queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub(crate) pending: BTreeMap<u64, SimEvent>,
    pub(crate) random_state: u64,
    pub(crate) nodes: Vec<SimulatedNode>,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) store: FakeStore,
    pub(crate) store_down_until: u64,
    pub(crate) responses_lost_until: u64,
    pub(crate) messages_lost: (u64, u64),
    pub(crate) next_request: u64,
    pub(crate) calls: BTreeMap<u64, FakeCall>,
    pub(crate) requests: BTreeMap<RequestId, u64>,
    pub(crate) last_fault_end: u64,
}

/// Outcomes of the calls of a run.
#[derive(Clone, Debug, Default)]
pub struct RunSummary {
    /// Calls that received a complete response.
    pub answered: u64,
    /// Calls refused as may have run.
    pub may_have_run: u64,
    /// Calls refused as not run by their last attempt.
    pub not_run: u64,
    /// Calls without a response to their last attempt.
    pub no_response: u64,
    /// Non-idempotent calls that ran more than once.
    pub duplicate_runs: u64,
}

pub(crate) fn vm_name(index: usize) -> VmId {
    VmId::new(format_compact!(
        "vm-{}-{}",
        index / VMS_PER_DOMAIN,
        index % VMS_PER_DOMAIN
    ))
}

pub(crate) fn vm_address(index: usize) -> SocketAddr {
    let host = u8::try_from(50 + index).expect("below 256");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, host)), 7100)
}

pub(crate) fn node_address(node: usize, port: u16) -> SocketAddr {
    let host = u8::try_from(node + 1).expect("below 256");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, host)), port)
}

/// Index of the VM that runs the plain service.
pub(crate) const SERVICE_VM: usize = 2 * VMS_PER_DOMAIN;

impl Simulation {
    /// Creates the simulation and schedules the start of all nodes and faults.
    pub fn new(plan: RunPlan) -> Self {
        let random_state = plan.seed;
        let engines = (0..=SERVICE_VM)
            .map(|index| FakeEngine::new(vm_name(index), plan.fencing))
            .collect();
        let mut simulation = Self {
            now: 1,
            last_sequence: 0,
            queue: BinaryHeap::new(),
            pending: BTreeMap::new(),
            random_state,
            nodes: Vec::new(),
            engines,
            store: FakeStore::default(),
            store_down_until: 0,
            responses_lost_until: 0,
            messages_lost: (0, 0),
            next_request: 0,
            calls: BTreeMap::new(),
            requests: BTreeMap::new(),
            last_fault_end: 0,
            plan,
        };
        for node in 0..NODES {
            simulation.nodes.push(SimulatedNode {
                reducer: None,
                incarnation: 0,
                paused_until: 0,
                partitioned_until: 0,
                revisions: BTreeMap::new(),
                rules_version: ObjectVersion(0),
                stopping: false,
                restart_delay: 0,
            });
            simulation.start_node(node);
            simulation.schedule(
                1 + 7 * u64::try_from(node).expect("small"),
                SimEvent::Tick(node),
            );
            simulation.schedule(5, SimEvent::Watch(node));
        }
        simulation.store_configuration();
        for (index, fault) in simulation.plan.faults.clone().into_iter().enumerate() {
            simulation.schedule(fault.at_ms, SimEvent::Fault(index));
        }
        simulation.schedule(2_500, SimEvent::NewCall(0));
        simulation
    }

    pub(crate) fn random_below(&mut self, limit: u64) -> u64 {
        // splitmix64
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit.max(1)
    }

    pub(crate) fn delay(&mut self) -> u64 {
        1 + self.random_below(MAX_MESSAGE_DELAY_MS)
    }

    pub(crate) fn schedule(&mut self, delay: u64, scheduled: SimEvent) {
        self.last_sequence += 1;
        self.queue
            .push(Reverse((self.now + delay, self.last_sequence)));
        self.pending.insert(self.last_sequence, scheduled);
    }

    /// Runs the simulation to its end and checks the final state.
    pub fn run(mut self) -> RunSummary {
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at > RUN_DURATION_MS {
                break;
            }
            self.now = at;
            for engine in &mut self.engines {
                if engine.is_responsive(at) {
                    engine.last_responsive = at;
                }
            }
            let scheduled = self
                .pending
                .remove(&sequence)
                .expect("each event is scheduled once");
            self.handle(scheduled);
        }
        self.check_end()
    }

    pub(crate) fn is_running(&self, node: usize, incarnation: u64) -> bool {
        let state = &self.nodes[node];
        state.reducer.is_some() && state.incarnation == incarnation
    }

    /// Reschedules an event for a paused node to the end of the pause; returns the event when the
    /// node is not paused.
    pub(crate) fn defer_if_paused(&mut self, node: usize, scheduled: SimEvent) -> Option<SimEvent> {
        let paused_until = self.nodes[node].paused_until;
        if paused_until > self.now {
            self.schedule(paused_until - self.now, scheduled);
            return None;
        }
        Some(scheduled)
    }

    pub(crate) fn handle(&mut self, scheduled: SimEvent) {
        match scheduled {
            SimEvent::Tick(node) => {
                self.schedule(TICK_INTERVAL_MS, SimEvent::Tick(node));
                if self.nodes[node].paused_until <= self.now && self.nodes[node].reducer.is_some() {
                    self.apply_event(node, Event::Control(ControlEvent::Tick));
                    self.apply_event(node, Event::Traffic(TrafficEvent::Tick));
                }
            }
            SimEvent::Watch(node) => {
                self.schedule(WATCH_INTERVAL_MS, SimEvent::Watch(node));
                self.watch(node);
            }
            SimEvent::Deliver {
                node,
                incarnation,
                event,
            } => {
                let scheduled = SimEvent::Deliver {
                    node,
                    incarnation,
                    event,
                };
                if let Some(SimEvent::Deliver { event, .. }) = self.defer_if_paused(node, scheduled)
                    && self.is_running(node, incarnation)
                {
                    self.apply_event(node, *event);
                }
            }
            SimEvent::PeerMessage { to, message, from } => self.deliver_message(to, message, from),
            SimEvent::StoreCall {
                node,
                incarnation,
                effect,
            } => {
                self.execute_store_call(node, incarnation, *effect);
            }
            SimEvent::EngineCall {
                node,
                incarnation,
                effect,
            } => {
                self.execute_engine_call(node, incarnation, *effect);
            }
            SimEvent::EndRequest {
                node,
                incarnation,
                vm,
                request,
                attempt,
            } => {
                self.end_request(node, incarnation, vm, request, attempt);
            }
            SimEvent::NewCall(number) => {
                self.calls.insert(number, FakeCall::new(number));
                self.schedule(0, SimEvent::StartAttempt(number));
                if self.now + CALL_INTERVAL_MS < LAST_CALL_MS {
                    self.schedule(CALL_INTERVAL_MS, SimEvent::NewCall(number + 1));
                }
            }
            SimEvent::StartAttempt(number) => self.start_attempt(number),
            SimEvent::AttemptTimeout { call, request } => {
                if self.calls[&call].request.as_ref() == Some(&request) {
                    self.end_attempt(call, CallEnd::NoResponse);
                }
            }
            SimEvent::Fault(index) => {
                let fault = self.plan.faults[index].fault.clone();
                self.begin_fault(fault);
            }
            SimEvent::StartNode(node) => {
                if self.nodes[node].reducer.is_none() {
                    self.start_node(node);
                }
            }
            SimEvent::StopPhase {
                node,
                incarnation,
                phase,
            } => {
                self.stop_phase(node, incarnation, phase);
            }
            SimEvent::RestartVm(vm) => self.engines[vm].restart(),
        }
    }

    pub(crate) fn deliver(&mut self, node: usize, incarnation: u64, event: Event) {
        let delay = self.delay();
        let event = Box::new(event);
        self.schedule(
            delay,
            SimEvent::Deliver {
                node,
                incarnation,
                event,
            },
        );
    }

    pub(crate) fn apply_event(&mut self, node: usize, event: Event) {
        let now = Timestamp(self.now);
        let Some(reducer) = &mut self.nodes[node].reducer else {
            return;
        };
        let effects = step(reducer, event, now);
        let rules = jaysaddle_settings::documents::DocumentKind::Rules;
        let version = reducer
            .control
            .document(&rules)
            .map_or(ObjectVersion(0), |(version, _)| version);
        assert!(
            version >= self.nodes[node].rules_version,
            "n{node} reverted from rules version {} to {version}",
            self.nodes[node].rules_version
        );
        self.nodes[node].rules_version = version;
        for effect in effects {
            self.apply_effect(node, effect);
        }
    }

    pub(crate) fn apply_effect(&mut self, node: usize, effect: Effect) {
        let incarnation = self.nodes[node].incarnation;
        let delay = self.delay();
        match effect {
            Effect::Control(ControlEffect::SendPeer { to, message })
            | Effect::Traffic(TrafficEffect::SendPeer { to, message }) => {
                self.schedule(
                    delay,
                    SimEvent::PeerMessage {
                        to,
                        message,
                        from: node,
                    },
                );
            }
            Effect::Control(effect @ ControlEffect::CallStore { .. }) => {
                let effect = Box::new(effect);
                self.schedule(
                    delay,
                    SimEvent::StoreCall {
                        node,
                        incarnation,
                        effect,
                    },
                );
            }
            effect @ (Effect::Control(
                ControlEffect::ProbeVm { .. } | ControlEffect::OrderEngine { .. },
            )
            | Effect::Traffic(
                TrafficEffect::CheckGroup { .. } | TrafficEffect::Dispatch { .. },
            )) => {
                let effect = Box::new(effect);
                self.schedule(
                    delay,
                    SimEvent::EngineCall {
                        node,
                        incarnation,
                        effect,
                    },
                );
            }
            Effect::Traffic(TrafficEffect::Refuse { request, refusal }) => {
                if refusal.verdict == Verdict::NotRun {
                    self.record_not_run(&request);
                }
                let end = if refusal.verdict == Verdict::NotRun {
                    CallEnd::NotRun
                } else {
                    CallEnd::MayHaveRun
                };
                self.respond(&request, end);
            }
            Effect::Traffic(TrafficEffect::ReturnStored { request, .. }) => {
                self.respond(&request, CallEnd::Answered);
            }
            Effect::Traffic(TrafficEffect::HandoverEnded { .. }) => {
                self.schedule(
                    0,
                    SimEvent::StopPhase {
                        node,
                        incarnation,
                        phase: 3,
                    },
                );
            }
            Effect::Control(ControlEffect::Violation(violation))
            | Effect::Traffic(TrafficEffect::Violation(violation)) => {
                panic!("n{node} at {}: {violation}; {:?}", self.now, self.plan);
            }
            _ => {}
        }
    }
}
