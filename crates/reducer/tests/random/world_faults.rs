//! Beginnings of faults and phases of planned stops.

use jaysaddle_reducer::ControlEvent;
use jaysaddle_reducer::Event;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_reducer::operator::OperatorTicket;

use crate::caller::TRY_MS;
use crate::faults::Fault;
use crate::world::DISCOVERY_MS;
use crate::world::NODES;
use crate::world::SERVICE_VM;
use crate::world::VMS_PER_DOMAIN;
use crate::world::World;
use crate::world::WorldEvent;

impl World {
    pub(crate) fn begin_fault(&mut self, fault: Fault) {
        let mut until = self.now;
        match fault {
            Fault::KillNode { node, down_ms } => {
                let node = node % NODES;
                self.nodes[node].reducer = None;
                self.after(down_ms, WorldEvent::StartNode(node));
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
                    self.feed(node, Event::Control(ControlEvent::StopRequested));
                    self.after(
                        DISCOVERY_MS,
                        WorldEvent::StopPhase {
                            node,
                            incarnation,
                            phase: 1,
                        },
                    );
                    self.nodes[node].stopped_requests = down_ms;
                }
                until += DISCOVERY_MS + TRY_MS + down_ms;
            }
            Fault::CutNode { node, ms } => {
                until += ms;
                let state = &mut self.nodes[node % NODES];
                state.cut_until = state.cut_until.max(until);
            }
            Fault::KillVm { vm, down_ms } => {
                let vm = vm % self.engines.len();
                self.engines[vm].kill();
                self.after(down_ms, WorldEvent::RestartVm(vm));
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
                    self.after(down_ms, WorldEvent::RestartVm(vm));
                }
                until += down_ms;
            }
            Fault::LeaveVm { vm, ms } => {
                let vm = vm % SERVICE_VM;
                self.engines[vm].leaving_since = Some(self.now);
                self.after(ms, WorldEvent::RestartVm(vm));
                until = self.now;
            }
            Fault::StoreDown { ms } => {
                until += ms;
                self.store_down_until = self.store_down_until.max(until);
            }
            Fault::LoseAnswers { ms } => {
                until += ms;
                self.answers_lost_until = self.answers_lost_until.max(until);
            }
            Fault::LoseMessages { permille, ms } => {
                until += ms;
                self.messages_lost = (permille, until);
            }
            Fault::RaceOperators => self.race_operators(),
        }
        self.last_fault_end = self.last_fault_end.max(until);
    }

    pub(crate) fn race_operators(&mut self) {
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
            self.after(
                100,
                WorldEvent::StopPhase {
                    node,
                    incarnation,
                    phase,
                },
            );
            return;
        }
        match phase {
            1 => {
                self.feed(node, Event::Traffic(TrafficEvent::RefuseNew));
                self.after(
                    20,
                    WorldEvent::StopPhase {
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
                    self.after(
                        20,
                        WorldEvent::StopPhase {
                            node,
                            incarnation,
                            phase: 2,
                        },
                    );
                } else {
                    self.feed(node, Event::Traffic(TrafficEvent::HandOverLedger));
                }
            }
            3 => self.after(
                300,
                WorldEvent::StopPhase {
                    node,
                    incarnation,
                    phase: 4,
                },
            ),
            _ => {
                self.feed(node, Event::Control(ControlEvent::Stopped));
                let open = self.nodes[node]
                    .reducer
                    .as_ref()
                    .map_or(0, |reducer| reducer.traffic.open_requests());
                assert_eq!(open, 0, "n{node} ends with open requests; {:?}", self.plan);
                self.nodes[node].reducer = None;
                let down = self.nodes[node].stopped_requests;
                self.after(down, WorldEvent::StartNode(node));
            }
        }
    }
}
