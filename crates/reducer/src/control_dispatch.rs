//! Dispatch of events to the control plane's components, and conversion of their effects.

use jaysaddle_health::HealthEffect;
use jaysaddle_health::HealthEvent;
use jaysaddle_lease::LeaseEffect;
use jaysaddle_lease::LeaseEvent;
use jaysaddle_membership::MembershipEffect;
use jaysaddle_membership::MembershipEvent;
use jaysaddle_membership::RumorBody;
use jaysaddle_placement::ShardEffect;
use jaysaddle_placement::ShardEvent;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::units::Timestamp;

use crate::control::ControlState;
use crate::control_event::ControlEffect;
use crate::control_event::StoreCaller;
use crate::operator::OperatorEffect;

impl ControlState {
    pub(crate) fn step_membership(
        &mut self,
        event: MembershipEvent,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        let mut nodes_changed = false;
        for effect in self.membership.step(event, now) {
            match effect {
                MembershipEffect::Send { to, message } => {
                    effects.push(ControlEffect::SendPeer { to, message });
                }
                MembershipEffect::Reconnect { to } => {
                    effects.push(ControlEffect::Reconnect { to });
                }
                MembershipEffect::NodeChanged { record, state } => {
                    nodes_changed = true;
                    if record.key == self.own.key && state == NodeState::Dead {
                        effects.push(ControlEffect::Superseded);
                    }
                }
                MembershipEffect::RumorReceived { origin, body } => {
                    self.handle_rumor(origin, body, now, effects);
                }
                MembershipEffect::Decision(record) => effects.push(ControlEffect::Decision(record)),
            }
        }
        if nodes_changed {
            self.update_nodes(now, effects);
        }
    }

    pub(crate) fn step_health(
        &mut self,
        event: HealthEvent,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        for effect in self.health.step(event, now) {
            match effect {
                HealthEffect::Probe {
                    vm,
                    address,
                    timeout,
                } => {
                    self.health_probes.insert(vm.clone());
                    effects.push(ControlEffect::ProbeVm {
                        vm,
                        address,
                        timeout,
                    });
                }
                HealthEffect::Publish(evidence) => {
                    let event = MembershipEvent::Publish(RumorBody::Vm(evidence));
                    self.step_membership(event, now, effects);
                }
                HealthEffect::StateChanged { .. } => self.view_urgent = true,
                HealthEffect::Decision(record) => effects.push(ControlEffect::Decision(record)),
            }
        }
    }

    pub(crate) fn step_leases(
        &mut self,
        event: LeaseEvent,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        for effect in self.leases.step(event, now) {
            match effect {
                LeaseEffect::Call { call, request } => effects.push(ControlEffect::CallStore {
                    caller: StoreCaller::Lease,
                    call,
                    request,
                }),
                // The shard controller receives the held shards with each tick.
                LeaseEffect::Acquired { .. } | LeaseEffect::Lost { .. } => {}
                LeaseEffect::Decision(record) => effects.push(ControlEffect::Decision(record)),
            }
        }
    }

    pub(crate) fn step_shards(
        &mut self,
        event: ShardEvent,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        for effect in self.shards.step(event, now) {
            match effect {
                ShardEffect::Call { call, request } => effects.push(ControlEffect::CallStore {
                    caller: StoreCaller::Placement,
                    call,
                    request,
                }),
                ShardEffect::Order { shard, vm, order } => {
                    let Some(address) = self.fleet.vms.get(&vm).map(|vm| vm.entry.address) else {
                        continue;
                    };
                    effects.push(ControlEffect::OrderEngine {
                        shard,
                        vm,
                        address,
                        order,
                    });
                }
                ShardEffect::Decision(record) => effects.push(ControlEffect::Decision(record)),
            }
        }
        self.view_changed = true;
    }

    pub(crate) fn apply_operator_effects(
        &mut self,
        operator_effects: Vec<OperatorEffect>,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        for effect in operator_effects {
            match effect {
                OperatorEffect::Call(call, request) => effects.push(ControlEffect::CallStore {
                    caller: StoreCaller::Operator,
                    call,
                    request,
                }),
                OperatorEffect::Stored(object) => self.offer_document(
                    &object.name,
                    object.version,
                    &object.value,
                    "an operator's change",
                    now,
                    effects,
                ),
                OperatorEffect::Complete(ticket, outcome) => {
                    effects.push(ControlEffect::CompleteOperation { ticket, outcome });
                }
            }
        }
    }

    pub(crate) fn handle_call_outcome(
        &mut self,
        caller: StoreCaller,
        call: CallId,
        outcome: StoreOutcome,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        match caller {
            StoreCaller::Lease => {
                self.step_leases(LeaseEvent::CallCompleted { call, outcome }, now, effects);
            }
            StoreCaller::Placement => {
                self.step_shards(ShardEvent::CallCompleted { call, outcome }, now, effects);
            }
            StoreCaller::Operator => {
                let operator_effects = self.operator_changes.handle_outcome(call, outcome);
                self.apply_operator_effects(operator_effects, now, effects);
            }
        }
    }
}
