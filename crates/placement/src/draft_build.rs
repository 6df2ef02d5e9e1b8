//! Construction of the plan draft from the planner's input.

use std::collections::BTreeMap;
use std::collections::HashMap;

use compact_str::CompactString;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::placement::GroupIntent;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::view::VmState;

use crate::demand::FleetDemand;
use crate::draft::DraftDomain;
use crate::draft::DraftGroup;
use crate::draft::DraftMember;
use crate::draft::GroupAction;
use crate::draft::MemberLoss;
use crate::draft::PlanDraft;
use crate::plan::PlannerInput;

impl<'a> PlanDraft<'a> {
    /// Builds the draft from the input. `stored` holds the documents as they are in the store; the
    /// input of a later pass already contains the changes of the earlier ones.
    pub fn new(
        input: &'a PlannerInput,
        stored: &BTreeMap<FabricDomainId, PlacementDocument>,
    ) -> Self {
        let usable = input
            .vms
            .iter()
            .filter(|vm| vm.state.may_serve() || vm.state == VmState::Suspect);
        let demand = FleetDemand::new(&input.rules, usable.count());
        let mut index: BTreeMap<&FabricDomainId, usize> = BTreeMap::new();
        index.extend(input.placements.keys().map(|id| (id, 0)));
        index.extend(input.vms.iter().map(|vm| (&vm.fabric_domain, 0)));
        let mut domains = Vec::with_capacity(index.len());
        for (id, position) in &mut index {
            *position = domains.len();
            domains.push(DraftDomain {
                id,
                failure_domain: None,
                free: Vec::new(),
                groups: Vec::new(),
            });
        }
        let vm_domain: Vec<usize> = input
            .vms
            .iter()
            .map(|vm| index[&vm.fabric_domain])
            .collect();
        for (vm, domain) in input.vms.iter().zip(&vm_domain) {
            domains[*domain].failure_domain = Some(&vm.failure_domain);
        }
        let hostable = input
            .vms
            .iter()
            .map(|vm| {
                vm.can_host
                    .iter()
                    .filter_map(|model| demand.index(model))
                    .collect()
            })
            .collect();
        let models = demand.models.len();
        let mut draft = Self {
            input,
            demand,
            vms: &input.vms,
            hostable,
            vm_domain,
            domains,
            groups: Vec::new(),
            current: vec![0; models],
            outdated: vec![0; models],
            pending: vec![0; models],
        };
        let mut owners = draft.add_groups();
        draft.exclude_foreign_members(stored, &mut owners);
        draft.collect_free(&owners);
        draft
    }

    /// Adds the stored groups and returns the index of the group that owns each VM.
    fn add_groups(&mut self) -> Vec<Option<usize>> {
        let input = self.input;
        let vm_indices: HashMap<&VmId, usize> = input
            .vms
            .iter()
            .enumerate()
            .map(|(number, vm)| (&vm.vm, number))
            .collect();
        let mut owners: Vec<Option<usize>> = vec![None; input.vms.len()];
        let mut records: Vec<(usize, &'a GroupRecord)> = Vec::new();
        for domain in 0..self.domains.len() {
            let document = input.placements.get(self.domains[domain].id);
            records.extend(
                document
                    .iter()
                    .flat_map(|document| &document.groups)
                    .map(|group| (domain, group)),
            );
        }
        // The document of the VM's own fabric domain takes precedence, so that a VM in two
        // documents is released by the other one.
        for (number, (domain, record)) in records.iter().enumerate() {
            for vm in record.members.iter().filter_map(|vm| vm_indices.get(vm)) {
                if self.vm_domain[*vm] == *domain && owners[*vm].is_none() {
                    owners[*vm] = Some(number);
                }
            }
        }
        for (number, (domain, record)) in records.into_iter().enumerate() {
            let model = self.demand.index(&record.model);
            let members: Vec<DraftMember> = record
                .members
                .iter()
                .map(|vm| {
                    let vm = vm_indices.get(vm).copied();
                    let foreign = vm.is_some_and(|vm| owners[vm] != Some(number));
                    DraftMember {
                        vm,
                        loss: if foreign {
                            Some(MemberLoss::Moved)
                        } else {
                            self.member_loss(vm, model)
                        },
                    }
                })
                .collect();
            for vm in members.iter().filter_map(|member| member.vm) {
                // A VM that moved is not free in its new domain while its old document lists it.
                owners[vm].get_or_insert(number);
            }
            self.push_group(domain, record, model, members);
        }
        owners
    }

    /// Excludes VMs that are stored in another domain's document from the free VMs. Documents are
    /// written independently, so a document that adds such a VM could be stored before the one
    /// that releases it.
    fn exclude_foreign_members(
        &self,
        stored: &BTreeMap<FabricDomainId, PlacementDocument>,
        owners: &mut [Option<usize>],
    ) {
        let mut foreign: BTreeMap<&VmId, &FabricDomainId> = BTreeMap::new();
        for document in stored.values() {
            let members = document.groups.iter().flat_map(|group| &group.members);
            foreign.extend(members.map(|vm| (vm, &document.fabric_domain)));
        }
        for (vm, owner) in self.vms.iter().zip(owners) {
            if foreign
                .get(&vm.vm)
                .is_some_and(|domain| **domain != vm.fabric_domain)
            {
                owner.get_or_insert(usize::MAX);
            }
        }
    }

    fn push_group(
        &mut self,
        domain: usize,
        record: &'a GroupRecord,
        model: Option<usize>,
        members: Vec<DraftMember>,
    ) {
        let current = model.is_some_and(|model| {
            let demand = &self.demand.models[model];
            demand.rule.version == record.version && demand.size == record.members.len()
        });
        let is_complete = members.iter().all(|member| member.loss.is_none());
        // A group that drains to be dissolved does not count, unless this plan cancels the drain.
        let retiring = is_complete && record.intent == GroupIntent::Drain;
        let action = match (is_complete, retiring) {
            (false, _) => GroupAction::Incomplete,
            (true, false) => GroupAction::Keep,
            (true, true) => GroupAction::Retire,
        };
        if let (Some(model), GroupAction::Keep) = (model, &action) {
            let count = if current {
                &mut self.current
            } else {
                &mut self.outdated
            };
            count[model] += 1;
        }
        self.domains[domain].groups.push(self.groups.len());
        self.groups.push(DraftGroup {
            domain,
            stored: Some(record),
            model,
            current,
            members,
            action,
            reason: CompactString::default(),
            reserved_for_pending: false,
        });
    }

    fn member_loss(&self, vm: Option<usize>, model: Option<usize>) -> Option<MemberLoss> {
        let Some(vm) = vm else {
            return Some(MemberLoss::Withdrawn);
        };
        match self.vms[vm].state {
            VmState::Dead | VmState::Returning => return Some(MemberLoss::Failed),
            VmState::Suspect if self.input.expired_suspects.contains(&self.vms[vm].vm) => {
                return Some(MemberLoss::Failed);
            }
            VmState::Leaving => return Some(MemberLoss::Withdrawn),
            _ => {}
        }
        let hosted = model.is_none_or(|model| self.hostable[vm].contains(&model));
        (!hosted).then_some(MemberLoss::Withdrawn)
    }

    fn collect_free(&mut self, owners: &[Option<usize>]) {
        for (vm, owner) in owners.iter().enumerate() {
            if owner.is_none() && self.vms[vm].state.may_be_placed() {
                self.domains[self.vm_domain[vm]].free.push(vm);
            }
        }
        for domain in 0..self.domains.len() {
            self.sort_free(domain);
        }
    }
}
