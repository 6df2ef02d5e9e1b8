//! Fake of an engine or of a plain service's backend server.

use std::collections::BTreeMap;

use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::engine::OrderAction;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ModelVersion;
use jaysaddle_types::ids::VmId;

/// Duration of loading weights.
const LOAD_DURATION_MS: u64 = 300;

/// Group assignment that an engine has accepted.
#[derive(Clone, Debug)]
pub struct EngineAssignment {
    /// Group that the engine belongs to.
    pub group: GroupId,
    /// Fencing token of the assignment.
    pub generation: Generation,
    /// Model that the group serves.
    pub model: ModelId,
    /// Version of the model's weights.
    pub version: ModelVersion,
    /// All members in rank order; the first is the leader.
    pub members: Vec<VmId>,
    /// Time at which loading of the weights completes.
    pub loaded_at: u64,
}

/// A VM with its engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// Name of the VM.
    pub vm: VmId,
    /// Whether the engine rejects orders with stale fencing tokens.
    pub enforces_fencing: bool,
    /// Highest fencing token received; reset when the VM is killed.
    pub highest_generation: Generation,
    /// Current assignment; absent when the engine is idle.
    pub assignment: Option<EngineAssignment>,
    /// Whether the VM is up; a VM that is down refuses connections.
    pub alive: bool,
    /// Time until which the VM does not respond.
    pub frozen_until: u64,
    /// Time at which the VM started to leave.
    pub leaving_since: Option<u64>,
    /// Time at which the VM was last up and not frozen.
    pub last_responsive: u64,
    /// Starts by request id, at most one each; retained when the VM is killed.
    pub starts: BTreeMap<String, u32>,
}

impl FakeEngine {
    /// Creates an idle engine.
    pub fn new(vm: VmId, enforces_fencing: bool) -> Self {
        Self {
            vm,
            enforces_fencing,
            highest_generation: Generation(0),
            assignment: None,
            alive: true,
            frozen_until: 0,
            leaving_since: None,
            last_responsive: 0,
            starts: BTreeMap::new(),
        }
    }

    /// Returns whether the VM responds at `now`.
    pub fn is_responsive(&self, now: u64) -> bool {
        self.alive && now >= self.frozen_until
    }

    /// Stops the VM and discards the engine's state, but not the test's record of starts.
    pub fn kill(&mut self) {
        self.alive = false;
        self.assignment = None;
        self.highest_generation = Generation(0);
    }

    /// Starts the VM again, or ends its leaving.
    pub fn restart(&mut self) {
        self.alive = true;
        self.leaving_since = None;
    }

    /// Applies an order unless its fencing token is stale.
    pub fn handle_order(&mut self, order: &EngineOrder, now: u64) -> OrderOutcome {
        if self.enforces_fencing && order.generation < self.highest_generation {
            return OrderOutcome::Stale {
                generation: self.highest_generation,
            };
        }
        self.highest_generation = self.highest_generation.max(order.generation);
        match &order.action {
            OrderAction::Release => self.assignment = None,
            OrderAction::Join {
                model,
                version,
                members,
            } => {
                let same = self.assignment.as_ref().is_some_and(|assignment| {
                    assignment.group == order.group && assignment.generation == order.generation
                });
                if !same {
                    self.assignment = Some(EngineAssignment {
                        group: order.group.clone(),
                        generation: order.generation,
                        model: model.clone(),
                        version: version.clone(),
                        members: members.clone(),
                        loaded_at: now + LOAD_DURATION_MS,
                    });
                }
            }
        }
        OrderOutcome::Accepted
    }

    /// Returns the engine's report; `missing` are the members that a leader cannot reach.
    pub fn report(&self, missing: Vec<VmId>, now: u64) -> EngineReport {
        let mut report = EngineReport {
            vm: self.vm.clone(),
            leaving: self.leaving_since.is_some(),
            slots: 8,
            ..EngineReport::default()
        };
        let Some(assignment) = &self.assignment else {
            return report;
        };
        report.group = Some(assignment.group.clone());
        report.generation = assignment.generation;
        report.model = Some(assignment.model.clone());
        report.version = Some(assignment.version.clone());
        report.members = assignment.members.clone();
        report.role = if now < assignment.loaded_at {
            EngineRole::Loading
        } else if assignment.members.first() == Some(&self.vm) {
            report.missing = missing;
            EngineRole::Leader
        } else {
            EngineRole::Member
        };
        report
    }
}
