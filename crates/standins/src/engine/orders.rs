//! Handling of orders by an engine.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::engine::OrderAction;
use jaysaddle_types::engine::OrderOutcome;

use crate::engine::run::RunEnd;
use crate::engine::settings::FencingMode;
use crate::engine::settings::WeightSource;
use crate::engine::vm::EngineVm;
use crate::engine::vm::VmState;
use crate::http::spawn_thread;

/// Timeout of one load from the weight store. It includes the time in the store's queue.
const LOAD_TIMEOUT_SECS: u64 = 600;

/// Delay before a failed load is retried, and poll interval of a load in a frozen VM.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(500);

impl EngineVm {
    /// Executes or refuses an order.
    pub(crate) fn handle_order(self: &Arc<Self>, order: &EngineOrder) -> OrderOutcome {
        let mut state = self.lock();
        if self.fencing == FencingMode::Enforced && order.generation < state.highest_generation {
            state.stats.stale_orders += 1;
            return OrderOutcome::Stale {
                generation: state.highest_generation,
            };
        }
        let outcome = match &order.action {
            OrderAction::Join { .. } => self.join(&mut state, order),
            OrderAction::Release => {
                self.release(&mut state, order);
                OrderOutcome::Accepted
            }
        };
        state.stats.orders += u64::from(outcome == OrderOutcome::Accepted);
        outcome
    }

    fn join(self: &Arc<Self>, state: &mut VmState, order: &EngineOrder) -> OrderOutcome {
        let Some(target) = target_report(&state.report, order) else {
            return OrderOutcome::Accepted;
        };
        if !target.members.contains(&self.id) {
            return OrderOutcome::Rejected {
                reason: "the VM is not among the members".into(),
            };
        }
        let current = &state.report;
        if same_assignment(current, &target) {
            return OrderOutcome::Accepted;
        }
        if current.leaving {
            return OrderOutcome::Rejected {
                reason: "the VM is leaving".into(),
            };
        }
        let reused = current.role != EngineRole::Idle && current.generation == order.generation;
        if reused && self.fencing == FencingMode::Enforced {
            return OrderOutcome::Rejected {
                reason: "the generation was used for another order".into(),
            };
        }
        let loaded = matches!(current.role, EngineRole::Leader | EngineRole::Member)
            && current.model == target.model
            && current.version == target.version;
        self.replace_assignment(state, target);
        state.highest_generation = state.highest_generation.max(order.generation);
        if loaded {
            self.finish_load(state);
        } else {
            self.start_load(state.assignment);
        }
        OrderOutcome::Accepted
    }

    fn release(&self, state: &mut VmState, order: &EngineOrder) {
        // A release for another group has no effect.
        if state.report.group.as_ref() != Some(&order.group) {
            return;
        }
        let idle = EngineReport {
            vm: self.id.clone(),
            generation: order.generation,
            leaving: state.report.leaving,
            ..EngineReport::default()
        };
        self.replace_assignment(state, idle);
        state.highest_generation = state.highest_generation.max(order.generation);
    }

    /// Switches to another assignment and aborts the requests of the old one.
    fn replace_assignment(&self, state: &mut VmState, report: EngineReport) {
        let now = Instant::now();
        state.stats.interrupted += state.scheduler.end_all(RunEnd::Aborted, now);
        state.report = report;
        state.assignment += 1;
        state.last_member_check = None;
        state.missing_since = None;
    }

    fn start_load(self: &Arc<Self>, assignment: u64) {
        let vm = Arc::clone(self);
        let spawned = spawn_thread("engine-load", move || vm.load(assignment));
        if let Err(error) = spawned {
            log::error!("VM {} cannot load its weights: {error:#}", self.id);
        }
    }

    /// Loads the weights of `assignment` unless a later order replaces it.
    fn load(self: &Arc<Self>, assignment: u64) {
        loop {
            let report = {
                let state = self.lock();
                if state.assignment != assignment || self.is_stopped() {
                    return;
                }
                state.report.clone()
            };
            let loaded = self.fetch_weights(&report);
            while self.faults.is_frozen() && !self.is_stopped() {
                thread::sleep(LOAD_RETRY_DELAY);
            }
            if loaded {
                break;
            }
            thread::sleep(LOAD_RETRY_DELAY);
        }
        let mut state = self.lock();
        if state.assignment == assignment {
            self.finish_load(&mut state);
        }
    }

    fn fetch_weights(&self, report: &EngineReport) -> bool {
        let (Some(model), Some(version)) = (&report.model, &report.version) else {
            return false;
        };
        match self.settings.weights {
            WeightSource::Fixed(span) => {
                thread::sleep(span.as_duration());
                true
            }
            WeightSource::Store(address) => {
                let result = minreq::post(format!("http://{address}/weights/{model}/{version}"))
                    .with_timeout(LOAD_TIMEOUT_SECS)
                    .send();
                result.is_ok_and(|response| response.status_code == 200)
            }
        }
    }

    fn finish_load(self: &Arc<Self>, state: &mut VmState) {
        let report = &mut state.report;
        if report.members.first() == Some(&self.id) {
            report.role = EngineRole::Leader;
            // Members count as missing until the first check.
            let others = report.members.iter().filter(|member| **member != self.id);
            report.missing = others.cloned().collect();
            self.start_member_checks(state.assignment);
        } else {
            report.role = EngineRole::Member;
        }
    }
}

/// Report of the engine while it loads the weights for a join order; `None` for other orders.
fn target_report(current: &EngineReport, order: &EngineOrder) -> Option<EngineReport> {
    let OrderAction::Join {
        model,
        version,
        members,
    } = &order.action
    else {
        return None;
    };
    Some(EngineReport {
        vm: current.vm.clone(),
        role: EngineRole::Loading,
        group: Some(order.group.clone()),
        generation: order.generation,
        model: Some(model.clone()),
        version: Some(version.clone()),
        members: members.clone(),
        leaving: current.leaving,
        ..EngineReport::default()
    })
}

/// Whether the engine already follows the order, at any stage of loading.
fn same_assignment(current: &EngineReport, target: &EngineReport) -> bool {
    current.role != EngineRole::Idle
        && current.group == target.group
        && current.generation == target.generation
        && current.model == target.model
        && current.version == target.version
        && current.members == target.members
}
