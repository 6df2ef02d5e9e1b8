//! Store calls, watches and peer messages of the simulated nodes.

use std::net::SocketAddr;

use jaysaddle_reducer::ControlEffect;
use jaysaddle_reducer::ControlEvent;
use jaysaddle_reducer::Event;
use jaysaddle_reducer::TrafficEvent;
use jaysaddle_types::evidence::ListedState;
use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_wire::messages::PeerBody;
use jaysaddle_wire::messages::PeerMessage;

use crate::simulation::NODES;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;
use crate::simulation::node_address;

impl Simulation {
    pub(crate) fn watch(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        if self.nodes[node].reducer.is_none() || self.nodes[node].paused_until > self.now {
            return;
        }
        if self.store_down_until > self.now {
            self.deliver(
                node,
                incarnation,
                Event::Control(ControlEvent::StoreReachable(false)),
            );
            return;
        }
        for kind in [ObjectKind::Config, ObjectKind::Placement] {
            let after = self.nodes[node].revisions.get(&kind).copied().unwrap_or(0);
            let (revision, objects) = self.store.changes(kind, after);
            self.nodes[node].revisions.insert(kind, revision);
            let event = ControlEvent::ObjectsChanged { kind, objects };
            // Some watch responses are delayed past later ones and past documents from peers.
            let late = if self.random_below(8) == 0 {
                self.random_below(3_000)
            } else {
                0
            };
            let delay = late + self.delay();
            let event = Box::new(Event::Control(event));
            self.schedule(
                delay,
                SimEvent::Deliver {
                    node,
                    incarnation,
                    event,
                },
            );
        }
        // The platform's list is delayed: it contains a VM for 5 s after the VM went down.
        let list = self
            .engines
            .iter()
            .filter(|engine| engine.alive || self.now < engine.last_responsive + 5_000)
            .map(|engine| ListedVm {
                vm: engine.vm.clone(),
                state: match engine.leaving_since {
                    Some(since) if self.now > since + 1_000 => ListedState::Leaving,
                    _ => ListedState::Live,
                },
            })
            .collect();
        self.deliver(
            node,
            incarnation,
            Event::Control(ControlEvent::VmsListed(list)),
        );
    }

    pub(crate) fn deliver_message(&mut self, to: SocketAddr, message: PeerMessage, from: usize) {
        let Some(node) = (0..NODES).find(|node| node_address(*node, 7401) == to) else {
            return;
        };
        let partitioned = self.nodes[node].partitioned_until > self.now
            || self.nodes[from].partitioned_until > self.now;
        let (permille, until) = self.messages_lost;
        let lost = until > self.now && self.random_below(1000) < permille;
        if partitioned || lost || self.nodes[node].reducer.is_none() {
            let incarnation = self.nodes[from].incarnation;
            // Only some broken connections are detected.
            if self.random_below(2) == 0 {
                self.deliver(
                    from,
                    incarnation,
                    Event::Control(ControlEvent::PeerFailed(to)),
                );
            }
            return;
        }
        let incarnation = self.nodes[node].incarnation;
        let event = match &message.body {
            Some(
                PeerBody::LedgerQuery(_)
                | PeerBody::LedgerAnswer(_)
                | PeerBody::LedgerHandover(_)
                | PeerBody::HandoverAck(_),
            ) => Event::Traffic(TrafficEvent::PeerReceived {
                from: node_address(from, 7401),
                message,
            }),
            _ => Event::Control(ControlEvent::PeerReceived(message)),
        };
        let event = Box::new(event);
        self.schedule(
            0,
            SimEvent::Deliver {
                node,
                incarnation,
                event,
            },
        );
    }

    pub(crate) fn execute_store_call(
        &mut self,
        node: usize,
        incarnation: u64,
        effect: ControlEffect,
    ) {
        let ControlEffect::CallStore {
            caller,
            call,
            request,
        } = effect
        else {
            return;
        };
        let outcome = if self.store_down_until > self.now {
            StoreOutcome::Unavailable
        } else {
            let outcome = self.store.call(&request);
            self.check_store();
            let is_write = matches!(request, StoreRequest::Put { .. });
            if self.responses_lost_until > self.now {
                if is_write {
                    StoreOutcome::Unknown
                } else {
                    StoreOutcome::Unavailable
                }
            } else {
                outcome
            }
        };
        let event = ControlEvent::CallCompleted {
            caller,
            call,
            outcome,
        };
        self.deliver(node, incarnation, Event::Control(event));
    }
}
