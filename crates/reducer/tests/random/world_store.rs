//! The store and the peers of a node in the fake world.

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

use crate::world::NODES;
use crate::world::World;
use crate::world::WorldEvent;
use crate::world::node_address;

impl World {
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
            // Some answers are overtaken by later ones and by peers' documents.
            let late = if self.draw(8) == 0 {
                self.draw(3_000)
            } else {
                0
            };
            let delay = late + self.delay();
            let event = Box::new(Event::Control(event));
            self.after(
                delay,
                WorldEvent::Deliver {
                    node,
                    incarnation,
                    event,
                },
            );
        }
        // The platform's list lags: a VM stays in it for 5 s after it ended.
        let list = self
            .engines
            .iter()
            .filter(|engine| engine.alive || self.now < engine.last_well + 5_000)
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

    pub(crate) fn peer_arrives(&mut self, to: SocketAddr, message: PeerMessage, from: usize) {
        let Some(node) = (0..NODES).find(|node| node_address(*node, 7401) == to) else {
            return;
        };
        let cut = self.nodes[node].cut_until > self.now || self.nodes[from].cut_until > self.now;
        let (permille, until) = self.messages_lost;
        let lost = until > self.now && self.draw(1000) < permille;
        if cut || lost || self.nodes[node].reducer.is_none() {
            let incarnation = self.nodes[from].incarnation;
            // A broken connection is noticed only sometimes.
            if self.draw(2) == 0 {
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
        self.after(
            0,
            WorldEvent::Deliver {
                node,
                incarnation,
                event,
            },
        );
    }

    pub(crate) fn store_call(&mut self, node: usize, incarnation: u64, effect: ControlEffect) {
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
            if self.answers_lost_until > self.now {
                if is_write {
                    StoreOutcome::Unknown
                } else {
                    StoreOutcome::Unavailable
                }
            } else {
                outcome
            }
        };
        let event = ControlEvent::CallAnswered {
            caller,
            call,
            outcome,
        };
        self.deliver(node, incarnation, Event::Control(event));
    }
}
