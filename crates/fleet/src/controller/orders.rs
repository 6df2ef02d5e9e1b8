//! Sends orders and handles their results.

use compact_str::format_compact;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::OrderResult;
use jaysaddle_types::units::Timestamp;

use crate::controller::FleetController;
use crate::controller::FleetEffect;
use crate::controller::VmState;
use crate::controller::stop_evidence::StopEvidence;

/// Applies an order that the VM has carried out to its state.
fn record_effect(state: &mut VmState, order: &BackendOrder) {
    match order {
        BackendOrder::Join { key, .. } => {
            state.group = Some(key.clone());
            state.is_serving = false;
        }
        BackendOrder::Leave { key } => {
            if state.group.take_if(|group| group == key).is_some() {
                state.is_serving = false;
            }
        }
        BackendOrder::Open { .. } | BackendOrder::Close { .. } | BackendOrder::Stage { .. } => {}
    }
}

impl FleetController {
    /// Sends an order to the leader of a group. Returns whether it was sent.
    pub(super) fn order_leader(
        &mut self,
        key: &GroupKey,
        order: BackendOrder,
        now: Timestamp,
    ) -> bool {
        let Some(group) = self.groups.get(key) else {
            return false;
        };
        let leader = group.leader().clone();
        let sent = self.send_order(&leader, order, now);
        if sent && let Some(group) = self.groups.get_mut(key) {
            group.last_order = Some(now);
        }
        sent
    }

    pub(super) fn send_order(&mut self, id: &VmId, order: BackendOrder, now: Timestamp) -> bool {
        if self.is_paused(id, now) {
            return false;
        }
        let Some(vm) = self.vms.get_mut(id) else {
            return false;
        };
        let Some(address) = vm.address else {
            return false;
        };
        // An order to leave waits only for the response to the same order.
        let is_leave = matches!(order, BackendOrder::Leave { .. });
        let in_flight = vm.in_flight.as_ref();
        if in_flight.is_some_and(|in_flight| !is_leave || *in_flight == order) {
            return false;
        }
        if vm.next_order.is_some_and(|time| now < time) && !is_leave {
            return false;
        }
        let is_join = matches!(order, BackendOrder::Join { .. });
        if is_join && vm.state.is_none() {
            if vm.next_probe.is_none() {
                vm.next_probe = Some(now);
            }
            return false;
        }
        let state = vm.state.as_ref().filter(|_| is_join);
        let order_count = state.map(|state| state.order_count);
        vm.in_flight = Some(order.clone());
        self.effects.push(FleetEffect::Order {
            id: id.clone(),
            address,
            order,
            order_count,
        });
        true
    }

    pub(super) fn order_done(
        &mut self,
        id: &VmId,
        order: BackendOrder,
        result: OrderResult,
        now: Timestamp,
    ) {
        let retry_delay = self.timing.retry_delay;
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        if vm.in_flight.as_ref() == Some(&order) {
            vm.in_flight = None;
        }
        match result {
            OrderResult::Begun => {
                vm.reachability.record_response();
                if let Some(state) = &mut vm.state {
                    // At a count that has no successor, the backend server refuses the next order, and is asked again.
                    state.order_count = state.order_count.saturating_add(1);
                    record_effect(state, &order);
                }
            }
            OrderResult::Done => {
                vm.reachability.record_response();
                if let Some(state) = &mut vm.state {
                    record_effect(state, &order);
                }
            }
            OrderResult::Refused { .. } => {
                vm.reachability.record_response();
                vm.next_order = Some(now + retry_delay);
                vm.state = None;
                vm.next_probe = Some(now + retry_delay);
            }
            OrderResult::Unreachable | OrderResult::Unknown => {
                vm.next_order = Some(now + retry_delay);
                vm.state = None;
                vm.next_probe = Some(now);
            }
        }
        match order {
            BackendOrder::Join { key, .. } => {
                if let Some(group) = self.groups.get_mut(&key) {
                    match result {
                        OrderResult::Begun | OrderResult::Done => {
                            group.joined.insert(id.clone(), now);
                        }
                        OrderResult::Refused { status } => {
                            self.log_decision(format_compact!(
                                "group={key} decision=retry_join vm={id} status={status}"
                            ));
                        }
                        OrderResult::Unreachable | OrderResult::Unknown => {}
                    }
                }
            }
            BackendOrder::Leave { key } => {
                if StopEvidence::from_leave(result).is_none()
                    && let Some(vm) = self.vms.get_mut(id)
                {
                    vm.released_from = None;
                }
                let is_leader = self
                    .groups
                    .get(&key)
                    .is_some_and(|group| group.leader() == id);
                if let Some(evidence) = StopEvidence::from_leave(result)
                    && is_leader
                {
                    self.log_decision(format_compact!(
                        "group={key} decision=free reason={evidence}"
                    ));
                    self.end_group(&key, evidence, now);
                }
            }
            BackendOrder::Open { .. } | BackendOrder::Close { .. } | BackendOrder::Stage { .. } => {
            }
        }
    }
}
