//! Injection of faults, and the phases of planned stops.

use jaysaddle_reducer::ControlEvent;
use jaysaddle_reducer::Event;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_reducer::operator::OperatorTicket;

use crate::caller::ATTEMPT_TIMEOUT_MS;
use crate::faults::Fault;
use crate::simulation::DISCOVERY_TTL_MS;
use crate::simulation::NODES;
use crate::simulation::SERVICE_VM;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;
use crate::simulation::VMS_PER_DOMAIN;

impl Simulation {
    pub(crate) fn begin_fault(&mut self, fault: Fault) {
        let mut until = self.now;
        match fault {
            Fault::KillNode { node, down_ms } => {
                let node = node % NODES;
                self.nodes[node].reducer = None;
                self.schedule(down_ms, SimEvent::StartNode(node));
                until += down_ms;
            }
            Fault::PauseNode { node, ms } => {
                until += ms;
                let state = &mut self.nodes[node % NODES];
                state.paused_until = state.paused_until.max(until);
            }
            Fault::StopNode { node, down_ms } => {
                let node = node % NODES;
                let incarnation = self.nodes[node].incarnation;
                if self.nodes[node].reducer.is_some() && !self.nodes[node].stopping {
                    self.nodes[node].stopping = true;
                    self.apply_event(node, Event::Control(ControlEvent::StopRequested));
                    self.schedule(
                        DISCOVERY_TTL_MS,
                        SimEvent::StopPhase {
                            node,
                            incarnation,
                            phase: 1,
                        },
                    );
                    self.nodes[node].restart_delay = down_ms;
                }
                until += DISCOVERY_TTL_MS + ATTEMPT_TIMEOUT_MS + down_ms;
            }
            Fault::PartitionNode { node, ms } => {
                until += ms;
                let state = &mut self.nodes[node % NODES];
                state.partitioned_until = state.partitioned_until.max(until);
            }
            Fault::KillVm { vm, down_ms } => {
                let vm = vm % self.engines.len();
                self.engines[vm].kill();
                self.schedule(down_ms, SimEvent::RestartVm(vm));
                until += down_ms;
            }
            Fault::FreezeVm { vm, ms } => {
                until += ms;
                let vm = vm % self.engines.len();
                let engine = &mut self.engines[vm];
                engine.frozen_until = engine.frozen_until.max(until);
            }
            Fault::KillDomain { domain, down_ms } => {
                let first = domain % 2 * VMS_PER_DOMAIN;
                for vm in first..first + VMS_PER_DOMAIN {
                    self.engines[vm].kill();
                    self.schedule(down_ms, SimEvent::RestartVm(vm));
                }
                until += down_ms;
            }
            Fault::LeaveVm { vm, ms } => {
                let vm = vm % SERVICE_VM;
                self.engines[vm].leaving_since = Some(self.now);
                self.schedule(ms, SimEvent::RestartVm(vm));
                until = self.now;
            }
            Fault::StoreDown { ms } => {
                until += ms;
                self.store_down_until = self.store_down_until.max(until);
            }
            Fault::LoseResponses { ms } => {
                until += ms;
                self.responses_lost_until = self.responses_lost_until.max(until);
            }
            Fault::LoseMessages { permille, ms } => {
                until += ms;
                self.messages_lost = (permille, until);
            }
            Fault::ConcurrentApplies => self.apply_concurrently(),
        }
        self.last_fault_end = self.last_fault_end.max(until);
    }

    pub(crate) fn apply_concurrently(&mut self) {
        let expected = self.store.config_version("rules");
        for (node, groups) in [(0, 2), (1, 4)] {
            let event = ControlEvent::ApplyRequested {
                ticket: OperatorTicket(self.now),
                name: "rules".to_owned(),
                expected,
                value: self.rules(groups).to_string(),
            };
            let incarnation = self.nodes[node].incarnation;
            self.deliver(node, incarnation, Event::Control(event));
        }
    }

    pub(crate) fn stop_phase(&mut self, node: usize, incarnation: u64, phase: u8) {
        if !self.is_running(node, incarnation) {
            return;
        }
        if self.nodes[node].paused_until > self.now {
            self.schedule(
                100,
                SimEvent::StopPhase {
                    node,
                    incarnation,
                    phase,
                },
            );
            return;
        }
        match phase {
            1 => {
                self.apply_event(node, Event::Traffic(TrafficEvent::RefuseNew));
                self.schedule(
                    20,
                    SimEvent::StopPhase {
                        node,
                        incarnation,
                        phase: 2,
                    },
                );
            }
            2 => {
                let open = self.nodes[node]
                    .reducer
                    .as_ref()
                    .map_or(0, |reducer| reducer.traffic.open_requests());
                if open > 0 {
                    self.schedule(
                        20,
                        SimEvent::StopPhase {
                            node,
                            incarnation,
                            phase: 2,
                        },
                    );
                } else {
                    self.apply_event(node, Event::Traffic(TrafficEvent::HandOverLedger));
                }
            }
            3 => self.schedule(
                300,
                SimEvent::StopPhase {
                    node,
                    incarnation,
                    phase: 4,
                },
            ),
            _ => {
                self.apply_event(node, Event::Control(ControlEvent::Stopped));
                let open = self.nodes[node]
                    .reducer
                    .as_ref()
                    .map_or(0, |reducer| reducer.traffic.open_requests());
                assert_eq!(
                    open, 0,
                    "n{node} exits with requests in flight; {:?}",
                    self.plan
                );
                self.nodes[node].reducer = None;
                let down = self.nodes[node].restart_delay;
                self.schedule(down, SimEvent::StartNode(node));
            }
        }
    }
}
