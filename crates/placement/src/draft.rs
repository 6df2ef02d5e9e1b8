//! Working state of one planner run: VMs, groups and free VMs, by index.

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::VmState;

use crate::demand::FleetDemand;
use crate::plan::PlannerInput;
use crate::plan::PlannerVm;

/// How a member is lost to its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberLoss {
    /// The VM failed; requests on the group cannot go on.
    Failed,
    /// The VM is leaving, not in the inventory or may no longer host the model. Requests may go on.
    Withdrawn,
    /// The VM belongs elsewhere and the group must give it up, even without a replacement.
    Moved,
}

/// One member of a stored group.
#[derive(Clone, Debug)]
pub(crate) struct DraftMember {
    /// Index of the VM; absent when the inventory does not have it.
    pub vm: Option<usize>,
    /// Why the group must do without it.
    pub loss: Option<MemberLoss>,
}

/// What the plan does with a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GroupAction {
    /// It stays as stored and serves.
    Keep,
    /// It lacks members, and no repair has been found yet.
    Incomplete,
    /// It drains and is then changed; its VMs stay with it until then.
    RebuildAfterDrain,
    /// It drains and is then dissolved.
    Retire,
    /// It serves with these VMs under a new generation and the model's version in force.
    Assign(Vec<usize>),
    /// It is removed, its VMs are free.
    Dissolve,
}

/// One group, stored or new.
#[derive(Clone, Debug)]
pub(crate) struct DraftGroup<'a> {
    /// Index of the fabric domain.
    pub domain: usize,
    /// The stored record; absent for a new group.
    pub stored: Option<&'a GroupRecord>,
    /// Index of the model; absent when the rules have none.
    pub model: Option<usize>,
    /// Whether version and size are those of the rule.
    pub current: bool,
    /// Members as stored.
    pub members: Vec<DraftMember>,
    /// What the plan does with it.
    pub action: GroupAction,
    /// Why.
    pub reason: CompactString,
    /// Whether the VMs of a group that drains and is then dissolved are meant for a certain model.
    pub earmarked: bool,
}

impl DraftGroup<'_> {
    /// Number of lost members.
    pub fn lost(&self) -> usize {
        self.members
            .iter()
            .filter(|member| member.loss.is_some())
            .count()
    }

    /// Members that are not lost.
    pub fn remaining(&self) -> impl Iterator<Item = usize> + '_ {
        self.members
            .iter()
            .filter(|member| member.loss.is_none())
            .filter_map(|member| member.vm)
    }

    /// Whether a member is lost in the given way.
    pub fn has_loss(&self, loss: MemberLoss) -> bool {
        self.members.iter().any(|member| member.loss == Some(loss))
    }

    /// Whether it drains already and is to be dissolved.
    pub fn is_retiring(&self) -> bool {
        self.action == GroupAction::Retire && self.draining()
    }

    /// Whether the stored intent is to drain.
    pub fn draining(&self) -> bool {
        self.stored
            .is_some_and(|record| record.intent.is_draining())
    }
}

/// One fabric domain.
#[derive(Clone, Debug)]
pub(crate) struct DraftDomain<'a> {
    /// Its id.
    pub id: &'a FabricDomainId,
    /// Failure domain of its VMs.
    pub failure_domain: Option<&'a FailureDomainId>,
    /// Free VMs that may be placed; those that may host the fewest models come first, so that
    /// versatile ones stay free.
    pub free: Vec<usize>,
    /// Its groups.
    pub groups: Vec<usize>,
}

/// The working state.
pub(crate) struct PlanDraft<'a> {
    /// The input.
    pub input: &'a PlannerInput,
    /// The demand.
    pub demand: FleetDemand<'a>,
    /// VMs of the inventory.
    pub vms: &'a [PlannerVm],
    /// Per VM, the indices of the models that it may host.
    pub hostable: Vec<Vec<usize>>,
    /// Per VM, the index of its fabric domain.
    pub vm_domain: Vec<usize>,
    /// Fabric domains in the order of their ids.
    pub domains: Vec<DraftDomain<'a>>,
    /// Groups.
    pub groups: Vec<DraftGroup<'a>>,
    /// Per model, whole groups of the version and size in force, with those formed by this plan.
    pub current: Vec<usize>,
    /// Per model, whole groups of another version or size that still serve.
    pub outdated: Vec<usize>,
    /// Per model, groups that will be formed when the groups that give up their VMs have drained.
    pub pending: Vec<usize>,
}

impl<'a> PlanDraft<'a> {
    pub(crate) fn sort_free(&mut self, domain: usize) {
        let hostable = &self.hostable;
        self.domains[domain]
            .free
            .sort_by_key(|vm| (hostable[*vm].len(), *vm));
    }

    /// Number of free VMs of a domain that may host the model.
    pub fn free_count(&self, domain: usize, model: usize) -> usize {
        let free = self.domains[domain].free.iter();
        free.filter(|vm| self.hostable[**vm].contains(&model))
            .count()
    }

    /// Takes `count` free VMs that may host the model, or none.
    pub fn take_free(&mut self, domain: usize, model: usize, count: usize) -> Option<Vec<usize>> {
        if self.free_count(domain, model) < count {
            return None;
        }
        let hostable = &self.hostable;
        let mut taken = Vec::with_capacity(count);
        self.domains[domain].free.retain(|vm| {
            let take = taken.len() < count && hostable[*vm].contains(&model);
            if take {
                taken.push(*vm);
            }
            !take
        });
        Some(taken)
    }

    /// Whether a group may be changed or dissolved at once: no request can be running on it.
    pub fn changeable(&self, group: usize) -> bool {
        let group = &self.groups[group];
        let Some(record) = group.stored else {
            return true;
        };
        let idle = self
            .input
            .groups
            .get(&record.id)
            .is_some_and(|known| known.state == GroupState::Loading && known.running == 0);
        idle || group.has_loss(MemberLoss::Failed) || self.input.drained.contains(&record.id)
    }

    /// Whether the group is known to serve.
    pub fn ready(&self, group: usize) -> bool {
        let stored = self.groups[group].stored;
        let known = stored.and_then(|record| self.input.groups.get(&record.id));
        known.is_some_and(|known| known.state == GroupState::Ready)
    }

    /// Dissolves groups together: at once if no request can be running on any of them, else after
    /// all have drained, so that none of their VMs is used otherwise in between. Returns whether
    /// their VMs are free now.
    pub fn retire_all(&mut self, groups: &[usize], reason: &CompactString) -> bool {
        let at_once = groups.iter().all(|group| self.changeable(*group));
        for group in groups {
            self.remove_from_counts(*group, reason.clone());
            if at_once {
                self.dissolve(*group);
            } else {
                self.groups[*group].action = GroupAction::Retire;
            }
        }
        at_once
    }

    /// Dissolves one group.
    pub fn retire(&mut self, group: usize, reason: CompactString) {
        self.retire_all(&[group], &reason);
    }

    fn remove_from_counts(&mut self, group: usize, reason: CompactString) {
        let entry = &mut self.groups[group];
        let count = match entry.action {
            GroupAction::Assign(_) => Some(&mut self.current),
            GroupAction::Keep if entry.current => Some(&mut self.current),
            GroupAction::Keep => Some(&mut self.outdated),
            _ => None,
        };
        if let (Some(model), Some(count)) = (entry.model, count) {
            count[model] -= 1;
        }
        entry.reason = reason;
    }

    fn dissolve(&mut self, group: usize) {
        let members = self.members(group);
        let entry = &mut self.groups[group];
        entry.action = GroupAction::Dissolve;
        let domain = entry.domain;
        let placeable = members
            .into_iter()
            .filter(|vm| self.vms[*vm].state.may_be_placed());
        self.domains[domain].free.extend(placeable);
        self.sort_free(domain);
    }

    /// VMs that a group has under the plan, without those that it has lost.
    pub fn members(&self, group: usize) -> Vec<usize> {
        match &self.groups[group].action {
            GroupAction::Assign(members) => members.clone(),
            _ => self.groups[group].remaining().collect(),
        }
    }

    /// Gives a stored group the VMs that `kept` and `spares` make up, at once or after a drain.
    /// The spares stay reserved during the drain.
    pub fn rebuild(&mut self, group: usize, model: usize, spares: Vec<usize>, replace: &[usize]) {
        let changeable = self.changeable(group);
        let entry = &mut self.groups[group];
        let mut spares = spares.into_iter();
        let mut members = Vec::with_capacity(entry.members.len());
        for member in &entry.members {
            let kept = member
                .vm
                .filter(|vm| member.loss.is_none() && !replace.contains(vm));
            members.extend(kept.or_else(|| spares.next()));
        }
        members.extend(spares);
        let was_current = entry.action == GroupAction::Keep && entry.current;
        let was_outdated = entry.action == GroupAction::Keep && !entry.current;
        entry.action = if changeable {
            GroupAction::Assign(members)
        } else {
            GroupAction::RebuildAfterDrain
        };
        if !was_current {
            self.current[model] += 1;
        }
        if was_outdated {
            self.outdated[model] -= 1;
        }
    }

    /// Free VMs in exchange for the stragglers of a group, and these stragglers; none if there are
    /// too few free VMs.
    pub fn take_straggler_spares(
        &mut self,
        group: usize,
        model: usize,
    ) -> (Vec<usize>, Vec<usize>) {
        let stragglers: Vec<usize> = self.groups[group]
            .remaining()
            .filter(|vm| self.vms[*vm].state == VmState::Straggler)
            .collect();
        let domain = self.groups[group].domain;
        match self.take_free(domain, model, stragglers.len()) {
            Some(spares) => (spares, stragglers),
            None => (Vec::new(), Vec::new()),
        }
    }

    /// Forms a new group of free VMs.
    pub fn form(
        &mut self,
        domain: usize,
        model: usize,
        members: Vec<usize>,
        reason: CompactString,
    ) {
        self.domains[domain].groups.push(self.groups.len());
        self.groups.push(DraftGroup {
            domain,
            stored: None,
            model: Some(model),
            current: true,
            members: Vec::new(),
            action: GroupAction::Assign(members),
            reason,
            earmarked: false,
        });
        self.current[model] += 1;
    }

    /// The lost members of a group, for a reason.
    pub fn describe_losses(&self, group: usize) -> CompactString {
        let group = &self.groups[group];
        let Some(record) = group.stored else {
            return CompactString::default();
        };
        let lost = record
            .members
            .iter()
            .zip(&group.members)
            .filter(|(_, member)| member.loss.is_some());
        let mut text = CompactString::default();
        for (number, (vm, member)) in lost.enumerate() {
            if number == 3 {
                text.push_str(", ...");
                break;
            }
            let state = match (member.loss, member.vm) {
                (Some(MemberLoss::Moved), _) => "belongs to another group or fabric domain",
                (_, None) => "not in the inventory",
                (_, Some(vm)) => match self.vms[vm].state {
                    VmState::Dead => "dead",
                    VmState::Returning => "returning, not yet usable",
                    VmState::Suspect => "suspect for too long",
                    VmState::Leaving => "leaving",
                    _ => "may no longer host the model",
                },
            };
            let separator = if number == 0 { "" } else { ", " };
            text.push_str(&format_compact!("{separator}VM {vm} ({state})"));
        }
        text
    }
}
