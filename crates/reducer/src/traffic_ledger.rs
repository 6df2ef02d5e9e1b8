//! Idempotency claims in the data plane: locating a key's home node, ledger queries between nodes,
//! and the handover on a planned stop.

use std::net::SocketAddr;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_ledger::ClaimOutcome;
use jaysaddle_ledger::HomeLocation;
use jaysaddle_ledger::LedgerEffect;
use jaysaddle_types::decision::DecisionKind;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;
use jaysaddle_wire::messages::PeerBody;
use jaysaddle_wire::messages::PeerMessage;

use crate::handover::HandoverSender;
use crate::ledger_wire;
use crate::traffic::TrafficState;
use crate::traffic_event::TrafficEffect;

/// Maximum number of successive handovers that are followed. A home with a longer chain of
/// handovers counts as unreachable.
const MAX_HANDOVER_CHAIN: usize = 8;

impl TrafficState {
    pub(crate) fn node_state(&self, key: &NodeKey) -> Option<NodeState> {
        self.view
            .nodes
            .iter()
            .find(|(record, _)| record.key == *key)
            .map(|(_, state)| *state)
    }

    pub(crate) fn node_address(&self, key: &NodeKey) -> Option<SocketAddr> {
        self.view
            .nodes
            .iter()
            .find(|(record, _)| record.key == *key)
            .map(|(record, _)| record.peers)
    }

    /// Returns the node that holds the claims of a home now.
    pub(crate) fn locate_home(&self, home: Option<&HomeToken>) -> HomeLocation {
        let Some(home) = home else {
            return HomeLocation::Local;
        };
        let mut node = home.node.clone();
        for _ in 0..MAX_HANDOVER_CHAIN {
            if node == self.own {
                return HomeLocation::Local;
            }
            if let Some(successor) = self.view.handovers.get(&node) {
                node = successor.clone();
                continue;
            }
            return match self.node_state(&node) {
                Some(NodeState::Alive | NodeState::Suspect | NodeState::Leaving) => {
                    HomeLocation::Remote(node)
                }
                Some(NodeState::Dead) | None => HomeLocation::Lost,
            };
        }
        HomeLocation::Lost
    }

    pub(crate) fn handle_claim(
        &mut self,
        request: &RequestId,
        outcome: ClaimOutcome,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.get_mut(request) else {
            // The caller disconnected before the claim was resolved, so release a granted claim.
            if outcome == ClaimOutcome::Granted {
                let ledger_effects = self.ledger.record_failure(request, Verdict::NotRun, now);
                self.apply_ledger_effects(ledger_effects, now, effects);
            }
            return;
        };
        match outcome {
            ClaimOutcome::Granted => {
                entry.claimed = true;
                self.admit(request, now, effects);
            }
            ClaimOutcome::Stored(response) => {
                self.requests.remove(request);
                effects.push(TrafficEffect::Decision(DecisionRecord {
                    kind: DecisionKind::Admit,
                    subject: format_compact!("{request}"),
                    inputs: CompactString::default(),
                    choice: "stored_answer".into(),
                    reason: "the request of this key has already run".into(),
                }));
                effects.push(TrafficEffect::ReturnStored {
                    request: request.clone(),
                    response,
                });
            }
            ClaimOutcome::Waiting => {}
            ClaimOutcome::Refused(refusal) => {
                // The verdict describes the execution of an earlier request with the same key.
                entry.verdict = entry.verdict.combine(refusal.verdict);
                self.refuse(request, refusal, now, effects);
            }
        }
    }

    pub(crate) fn apply_ledger_effects(
        &mut self,
        ledger_effects: Vec<LedgerEffect>,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        for effect in ledger_effects {
            match effect {
                LedgerEffect::SendQuery { node, query } => {
                    let call = query.call;
                    match self.node_address(&node) {
                        Some(to) => effects.push(TrafficEffect::SendPeer {
                            to,
                            message: self.message_from_self(ledger_wire::encode_query(&query)),
                        }),
                        None => {
                            let ledger_effects = self.ledger.record_answer(call, None, now);
                            self.apply_ledger_effects(ledger_effects, now, effects);
                        }
                    }
                }
                LedgerEffect::Resolved { request, outcome } => {
                    self.handle_claim(&request, outcome, now, effects);
                }
            }
        }
    }

    pub(crate) fn message_from_self(&self, body: PeerBody) -> PeerMessage {
        PeerMessage {
            from_id: self.own.id.as_str().to_owned(),
            from_incarnation: self.own.incarnation.0,
            body: Some(body),
        }
    }

    pub(crate) fn handle_message(
        &mut self,
        from: SocketAddr,
        message: PeerMessage,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(sender) = ledger_wire::decode_sender(&message) else {
            return;
        };
        match message.body {
            Some(PeerBody::LedgerQuery(body)) => {
                let Some(query) = ledger_wire::decode_query(body) else {
                    return;
                };
                let call = query.call;
                let answer = self.ledger.answer_query(&sender, query, now);
                effects.push(TrafficEffect::SendPeer {
                    to: from,
                    message: self.message_from_self(ledger_wire::encode_answer(call, &answer)),
                });
            }
            Some(PeerBody::LedgerAnswer(body)) => {
                if let Some((call, answer)) = ledger_wire::decode_answer(body) {
                    let ledger_effects = self.ledger.record_answer(call, Some(answer), now);
                    self.apply_ledger_effects(ledger_effects, now, effects);
                }
            }
            Some(PeerBody::LedgerHandover(body)) => {
                let ack = ledger_wire::encode_ack(&body);
                if let Some(snapshot) = self.handover_receiver.receive(body) {
                    self.ledger.import(snapshot, now);
                }
                effects.push(TrafficEffect::SendPeer {
                    to: from,
                    message: self.message_from_self(ack),
                });
            }
            Some(PeerBody::HandoverAck(body)) => {
                if let Some(sender) = &mut self.handover_sender {
                    sender.record_ack(&body);
                }
                self.tick_handover(now, effects);
            }
            _ => {}
        }
    }

    pub(crate) fn hand_over(&mut self, now: Timestamp, effects: &mut Vec<TrafficEffect>) {
        self.refusing_new = true;
        let mut snapshots = vec![self.ledger.export(now)];
        snapshots.extend(self.ledger.export_imported());
        // Choose the next node in key order, so that nodes that are stopped in sequence
        // choose different successors.
        let first_alive = |after_own: bool| {
            self.view
                .nodes
                .iter()
                .filter(|(record, state)| {
                    record.key != self.own
                        && *state == NodeState::Alive
                        && (record.key > self.own) == after_own
                })
                .map(|(record, _)| (record.key.clone(), record.peers))
                .min()
        };
        let successor = first_alive(true).or_else(|| first_alive(false));
        self.handover_sender = Some(HandoverSender::new(snapshots, successor, now));
        self.tick_handover(now, effects);
    }

    pub(crate) fn tick_handover(&mut self, now: Timestamp, effects: &mut Vec<TrafficEffect>) {
        let Some(sender) = &mut self.handover_sender else {
            return;
        };
        if let Some(successor) = sender.successor_if_complete() {
            self.handover_sender = None;
            effects.push(TrafficEffect::LedgerMoved { successor });
            effects.push(TrafficEffect::HandoverEnded { complete: true });
            return;
        }
        match sender.due_messages(now) {
            Some(parts) => {
                for (to, body) in parts {
                    let message = self.message_from_self(body);
                    effects.push(TrafficEffect::SendPeer { to, message });
                }
            }
            None => {
                self.handover_sender = None;
                effects.push(TrafficEffect::HandoverEnded { complete: false });
            }
        }
    }
}
