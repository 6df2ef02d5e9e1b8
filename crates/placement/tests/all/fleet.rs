//! Simulated fleet for the planner, with loads, drains and faults.

use std::collections::BTreeMap;
use std::sync::Arc;

use jaysaddle_placement::PlacementPlan;
use jaysaddle_placement::PlannerGroup;
use jaysaddle_placement::PlannerInput;
use jaysaddle_placement::PlannerVm;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ModelVersion;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::rules::AccountRule;
use jaysaddle_types::rules::ModelRule;
use jaysaddle_types::rules::ObjectiveWeights;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::VmState;

use crate::random::SeededRng;

/// Returns a rule for `groups` groups of `size` VMs with 8 slots each.
pub fn model(name: &str, size: u32, groups: u32) -> ModelRule {
    ModelRule {
        name: ModelId::new(name),
        version: ModelVersion::new("v1"),
        vms_per_group: size,
        groups,
        slots_per_group: SlotCount(8),
        accounts: Vec::new(),
    }
}

/// Returns an account that reserves `slots`.
pub fn account(name: &str, slots: u32) -> AccountRule {
    AccountRule {
        name: AccountId::new(name),
        key_sha256: "0".into(),
        reserved_slots: SlotCount(slots),
        max_slots: None,
        priority: 5,
    }
}

/// Returns `count` live VMs of one fabric domain that may host `models`.
pub fn vms(failure: &str, fabric: &str, count: usize, models: &[&str]) -> Vec<PlannerVm> {
    (0..count)
        .map(|number| PlannerVm {
            vm: VmId::new(format!("{fabric}-{number:02}")),
            fabric_domain: FabricDomainId::new(fabric),
            failure_domain: FailureDomainId::new(failure),
            can_host: models.iter().map(|name| ModelId::new(*name)).collect(),
            accelerators: 1,
            state: VmState::Live,
            ..PlannerVm::default()
        })
        .collect()
}

/// Simulated fleet whose entire state is the planner's input.
#[derive(Clone, Debug)]
pub struct FleetModel {
    pub input: PlannerInput,
}

impl FleetModel {
    pub fn new(
        mut vms: Vec<PlannerVm>,
        models: Vec<ModelRule>,
        accounts: Vec<AccountRule>,
    ) -> Self {
        vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        let rules = RulesDocument {
            models,
            accounts,
            ..RulesDocument::default()
        };
        Self {
            input: PlannerInput {
                rules: Arc::new(rules),
                vms,
                ..PlannerInput::default()
            },
        }
    }

    /// Returns a random fleet. With `uniform`, all groups have one size and all VMs may
    /// host all models.
    pub fn random(rng: &mut SeededRng, uniform: bool) -> Self {
        let names = ["chat", "draft", "embed"];
        let size = rng.between(1, 5) as u32;
        let models: Vec<ModelRule> = (0..rng.between(1, 3) as usize)
            .map(|number| {
                let size = if uniform {
                    size
                } else {
                    rng.between(1, 5) as u32
                };
                model(names[number], size, rng.between(0, 6) as u32)
            })
            .collect();
        let mut fleet = Vec::new();
        for failure in 0..rng.between(1, 3) {
            for fabric in 0..rng.between(1, 2) {
                let fabric = format!("f{failure}{fabric}");
                let count = rng.between(1, 16) as usize;
                fleet.extend(vms(&format!("d{failure}"), &fabric, count, &names));
            }
        }
        if !uniform {
            for vm in &mut fleet {
                vm.can_host.retain(|_| rng.chance(85));
                vm.accelerators = rng.between(1, 2) as u32;
            }
        }
        let accounts = vec![
            account("ebiere", rng.below(30) as u32),
            account("medjerda", rng.below(30) as u32),
        ];
        let mut fleet = Self::new(fleet, models, accounts);
        fleet.change_rules(|rules| {
            rules.objective = ObjectiveWeights {
                downtime: rng.below(4) as f64,
                stranded: rng.below(4) as f64,
            };
        });
        fleet
    }

    pub fn change_rules(&mut self, change: impl FnOnce(&mut RulesDocument)) {
        change(Arc::make_mut(&mut self.input.rules));
    }

    pub fn set_state(&mut self, vm: &str, state: VmState) {
        let entry = self
            .input
            .vms
            .iter_mut()
            .find(|entry| entry.vm.as_str() == vm);
        entry.expect("the test names a VM of the fleet").state = state;
    }

    pub fn groups(&self) -> impl Iterator<Item = &GroupRecord> {
        self.input
            .placements
            .values()
            .flat_map(|document| &document.groups)
    }

    pub fn state_of(&self, vm: &VmId) -> Option<VmState> {
        let entry = self.input.vms.iter().find(|entry| entry.vm == *vm);
        entry.map(|entry| entry.state)
    }

    /// Whether all members may serve or are suspect.
    pub fn is_complete(&self, group: &GroupRecord) -> bool {
        group.members.iter().all(|vm| {
            let state = self.state_of(vm);
            state.is_some_and(|state| state.may_serve() || state == VmState::Suspect)
        })
    }

    /// Stores the plan's documents. Changed groups start to load.
    pub fn apply(&mut self, plan: &PlacementPlan) {
        let before: BTreeMap<_, _> = self
            .groups()
            .map(|group| (group.id.clone(), group.generation))
            .collect();
        self.input.placements.extend(plan.documents.clone());
        let mut previous = std::mem::take(&mut self.input.groups);
        let groups: Vec<GroupRecord> = self.groups().cloned().collect();
        for group in groups {
            let changed = before.get(&group.id) != Some(&group.generation);
            let loading = PlannerGroup {
                state: GroupState::Loading,
                running: 0,
            };
            let mut state = previous.remove(&group.id).unwrap_or(loading.clone());
            if changed {
                state = loading;
            } else if group.intent.is_draining() {
                state.state = GroupState::Draining;
            }
            self.input.groups.insert(group.id.clone(), state);
        }
        let groups = &self.input.groups;
        self.input.drained.retain(|id| groups.contains_key(id));
    }

    /// Completes loads, so that complete groups serve, and requests of some draining groups.
    pub fn advance(&mut self, rng: &mut SeededRng) {
        let groups: Vec<GroupRecord> = self.groups().cloned().collect();
        for group in groups {
            let is_complete = self.is_complete(&group);
            let Some(state) = self.input.groups.get_mut(&group.id) else {
                continue;
            };
            if group.intent.is_draining() {
                state.state = GroupState::Draining;
                state.running = if rng.chance(50) { 0 } else { state.running };
                if state.running == 0 {
                    self.input.drained.insert(group.id.clone());
                }
                continue;
            }
            self.input.drained.remove(&group.id);
            state.state = if is_complete {
                GroupState::Ready
            } else {
                GroupState::Incomplete
            };
            state.running = if is_complete { rng.below(4) as u32 } else { 0 };
        }
    }

    /// Injects a random fault, recovery, move of a VM or change of the rules.
    pub fn inject_fault(&mut self, rng: &mut SeededRng) {
        let count = self.input.vms.len() as u64;
        let vm = rng.below(count) as usize;
        match rng.below(12) {
            0..=3 => self.input.vms[vm].state = VmState::Dead,
            4 => self.input.vms[vm].state = VmState::Leaving,
            5 => self.input.vms[vm].state = VmState::Straggler,
            6 => self.input.vms[vm].state = VmState::Returning,
            7 => {
                self.input.vms[vm].state = VmState::Suspect;
                if rng.chance(50) {
                    self.input
                        .expired_suspects
                        .insert(self.input.vms[vm].vm.clone());
                }
            }
            8 => {
                let failure = self.input.vms[vm].failure_domain.clone();
                let lost = self
                    .input
                    .vms
                    .iter_mut()
                    .filter(|vm| vm.failure_domain == failure);
                lost.for_each(|vm| vm.state = VmState::Dead);
            }
            9 => self.recover_all(),
            10 => {
                let other = rng.below(count) as usize;
                self.input.vms[vm].fabric_domain = self.input.vms[other].fabric_domain.clone();
                self.input.vms[vm].failure_domain = self.input.vms[other].failure_domain.clone();
            }
            _ => {
                let pick = rng.next();
                self.change_rules(|rules| {
                    let number = pick as usize % rules.models.len();
                    let rule = &mut rules.models[number];
                    if pick.is_multiple_of(3) {
                        rule.groups = (pick % 7) as u32;
                    } else {
                        rule.version = ModelVersion::new(format!("v{}", pick % 4));
                    }
                });
            }
        }
    }

    /// Lists rules, groups and free VMs for the message of a failed check.
    pub fn describe(&self) -> String {
        let mut lines = Vec::new();
        for rule in &self.input.rules.models {
            lines.push(format!(
                "model {} {} size {} groups {}",
                rule.name, rule.version, rule.vms_per_group, rule.groups
            ));
        }
        for group in self.groups() {
            let members: Vec<String> = group
                .members
                .iter()
                .map(|vm| format!("{vm}:{:?}", self.state_of(vm)))
                .collect();
            lines.push(format!(
                "{} gen {} {} {} {:?} {:?} {}",
                group.id,
                group.generation,
                group.model,
                group.version,
                group.intent,
                self.input.groups.get(&group.id),
                members.join(" ")
            ));
        }
        let placed: Vec<&VmId> = self.groups().flat_map(|group| &group.members).collect();
        for vm in self.input.vms.iter().filter(|vm| !placed.contains(&&vm.vm)) {
            lines.push(format!(
                "free {} in {} {:?} {:?}",
                vm.vm, vm.fabric_domain, vm.state, vm.can_host
            ));
        }
        lines.join("\n")
    }

    /// Makes all VMs live.
    pub fn recover_all(&mut self) {
        self.input.expired_suspects.clear();
        for vm in &mut self.input.vms {
            vm.state = VmState::Live;
        }
    }
}
