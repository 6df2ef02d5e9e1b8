//! Fake engines that follow orders and either enforce or ignore fencing tokens.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_placement::PlannerVm;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::engine::OrderAction;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::inventory::FencingSupport;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

const LOAD_TIME: TimeSpan = TimeSpan::from_millis(1500);

/// Engine of one VM, with the group that it follows.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    pub vm: VmId,
    fencing: FencingSupport,
    pub group: Option<GroupId>,
    pub generation: Generation,
    pub members: Vec<VmId>,
    loaded_at: Timestamp,
}

impl FakeEngine {
    pub fn new(vm: &PlannerVm) -> Self {
        Self {
            vm: vm.vm.clone(),
            fencing: vm.fencing,
            group: None,
            generation: Generation(0),
            members: Vec::new(),
            loaded_at: Timestamp(0),
        }
    }

    /// Resets all state, because the VM has no disk.
    pub fn restart(&mut self) {
        self.group = None;
        self.generation = Generation(0);
        self.members.clear();
    }

    pub fn handle_order(&mut self, order: &EngineOrder, now: Timestamp) -> OrderOutcome {
        if self.fencing == FencingSupport::Enforced && order.generation < self.generation {
            return OrderOutcome::Stale {
                generation: self.generation,
            };
        }
        match &order.action {
            OrderAction::Join { members, .. } => {
                self.group = Some(order.group.clone());
                self.members = members.clone();
                self.generation = order.generation;
                self.loaded_at = now + LOAD_TIME;
            }
            OrderAction::Release => {
                if self.group.as_ref() == Some(&order.group)
                    || self.fencing == FencingSupport::Ignored
                {
                    self.group = None;
                    self.members.clear();
                }
            }
        }
        OrderOutcome::Accepted
    }

    fn is_loaded(&self, now: Timestamp) -> bool {
        self.group.is_some() && self.loaded_at <= now
    }

    pub fn report(
        &self,
        now: Timestamp,
        engines: &BTreeMap<VmId, FakeEngine>,
        draining_groups: &BTreeSet<GroupId>,
    ) -> EngineReport {
        let is_leader = self.members.first() == Some(&self.vm);
        let role = match (&self.group, is_leader) {
            (None, _) => EngineRole::Idle,
            (Some(_), _) if !self.is_loaded(now) => EngineRole::Loading,
            (Some(_), true) => EngineRole::Leader,
            (Some(_), false) => EngineRole::Member,
        };
        let is_missing = |vm: &&VmId| {
            !engines.get(*vm).is_some_and(|other| {
                other.group == self.group
                    && other.generation == self.generation
                    && other.is_loaded(now)
            })
        };
        let missing: Vec<VmId> = match role {
            EngineRole::Leader => self.members.iter().filter(is_missing).cloned().collect(),
            _ => Vec::new(),
        };
        let draining = self
            .group
            .as_ref()
            .is_some_and(|group| draining_groups.contains(group));
        let serves = role == EngineRole::Leader && missing.is_empty() && !draining;
        EngineReport {
            vm: self.vm.clone(),
            role,
            group: self.group.clone(),
            generation: self.generation,
            members: self.members.clone(),
            missing,
            running: u32::from(serves),
            ..EngineReport::default()
        }
    }
}
