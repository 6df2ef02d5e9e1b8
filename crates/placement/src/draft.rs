//! Draft of a plan: the mutable state of one planner pass, with VMs, groups, models and fabric
//! domains referred to by index.

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

/// Reason why a VM can no longer be a member of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberLoss {
    /// The VM failed; requests on the group cannot continue.
    Failed,
    /// The VM is leaving, is not in the inventory or may no longer host the model. Requests on the
    /// group may continue.
    Withdrawn,
    /// The VM belongs to another group or fabric domain. The group must release it, even
    /// without a replacement.
    Moved,
}

/// Member of a stored group.
#[derive(Clone, Debug)]
pub(crate) struct DraftMember {
    /// Index of the VM; absent when it is not in the inventory.
    pub vm: Option<usize>,
    /// Reason for the loss of the member; absent while it is usable.
    pub loss: Option<MemberLoss>,
}

/// Action of the plan on a group.
///
/// A change to a group on which requests may be running takes effect only after a drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GroupAction {
    /// The group stays as stored and serves.
    Keep,
    /// No action yet: the group has lost members and has not been repaired.
    Incomplete,
    /// The group drains and a later plan rebuilds it. Its VMs stay assigned to it until then.
    RebuildAfterDrain,
    /// The group drains and is then dissolved.
    Retire,
    /// The group is formed or rebuilt from these VMs, with a new generation and the model version
    /// of the rule.
    Assign(Vec<usize>),
    /// The group is removed and its VMs become free.
    Dissolve,
}

/// Group in the draft, either stored or newly formed.
#[derive(Clone, Debug)]
pub(crate) struct DraftGroup<'a> {
    /// Index of the fabric domain.
    pub domain: usize,
    /// Stored record; absent for a new group.
    pub stored: Option<&'a GroupRecord>,
    /// Index of the model; absent when no rule names it.
    pub model: Option<usize>,
    /// Whether model version and size match the rule.
    pub current: bool,
    /// Members as stored; empty for a new group.
    pub members: Vec<DraftMember>,
    /// Action of the plan on the group.
    pub action: GroupAction,
    /// Reason for the action, for the log.
    pub reason: CompactString,
    /// Whether the VMs of this retiring group are reserved for a pending group.
    pub reserved_for_pending: bool,
}

impl DraftGroup<'_> {
    /// Number of members with a loss.
    pub fn lost(&self) -> usize {
        self.members
            .iter()
            .filter(|member| member.loss.is_some())
            .count()
    }

    /// Indices of the VMs of members that are not lost.
    pub fn remaining(&self) -> impl Iterator<Item = usize> + '_ {
        self.members
            .iter()
            .filter(|member| member.loss.is_none())
            .filter_map(|member| member.vm)
    }

    /// Whether any member is lost for the given cause.
    pub fn has_loss(&self, loss: MemberLoss) -> bool {
        self.members.iter().any(|member| member.loss == Some(loss))
    }

    /// Whether the group is already stored as draining and the plan still dissolves it.
    pub fn is_retiring(&self) -> bool {
        self.action == GroupAction::Retire && self.draining()
    }

    /// Whether the stored intent is to drain.
    pub fn draining(&self) -> bool {
        self.stored
            .is_some_and(|record| record.intent.is_draining())
    }
}

/// Fabric domain in the draft.
#[derive(Clone, Debug)]
pub(crate) struct DraftDomain<'a> {
    /// Id in the inventory and in the name of the placement document.
    pub id: &'a FabricDomainId,
    /// Failure domain of its VMs; absent when the inventory has no VM in this fabric domain.
    pub failure_domain: Option<&'a FailureDomainId>,
    /// Free VMs that may be placed. Those that may host the fewest models come first, so that the
    /// most widely usable VMs are taken last.
    pub free: Vec<usize>,
    /// Indices of the groups in this fabric domain.
    pub groups: Vec<usize>,
}

/// Mutable state of one planner pass.
pub(crate) struct PlanDraft<'a> {
    /// State of the fleet that this pass plans for.
    pub input: &'a PlannerInput,
    /// Demand derived from the rules.
    pub demand: FleetDemand<'a>,
    /// VMs of the inventory, in the order of the input.
    pub vms: &'a [PlannerVm],
    /// Per VM, the indices of the models that it may host.
    pub hostable: Vec<Vec<usize>>,
    /// Per VM, the index of its fabric domain.
    pub vm_domain: Vec<usize>,
    /// Fabric domains in the order of their ids.
    pub domains: Vec<DraftDomain<'a>>,
    /// All groups, stored ones first.
    pub groups: Vec<DraftGroup<'a>>,
    /// Per model, the number of complete groups with the version and size of the rule, including those
    /// formed by this plan.
    pub current: Vec<usize>,
    /// Per model, the number of complete groups with another version or size that still serve.
    pub outdated: Vec<usize>,
    /// Per model, the number of groups that a later plan forms once groups that release VMs for
    /// them have drained.
    pub pending: Vec<usize>,
}

impl<'a> PlanDraft<'a> {
    pub(crate) fn sort_free(&mut self, domain: usize) {
        let hostable = &self.hostable;
        self.domains[domain]
            .free
            .sort_by_key(|vm| (hostable[*vm].len(), *vm));
    }

    /// Number of free VMs in a domain that may host the model.
    pub fn free_count(&self, domain: usize, model: usize) -> usize {
        let free = self.domains[domain].free.iter();
        free.filter(|vm| self.hostable[**vm].contains(&model))
            .count()
    }

    /// Removes `count` VMs that may host the model from the domain's free VMs and returns them.
    /// Takes none when there are fewer.
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

    /// Whether a group may be changed or dissolved without a drain, because no request can be
    /// running on it.
    pub fn changeable(&self, group: usize) -> bool {
        let group = &self.groups[group];
        let Some(record) = group.stored else {
            return true;
        };
        let idle = self
            .input
            .groups
            .get(&record.id)
            .is_some_and(|group| group.state == GroupState::Loading && group.running == 0);
        // A group that executes requests has not failed: a member that was silent answers again, or only this node does not reach it.
        let failed =
            group.has_loss(MemberLoss::Failed) && !self.input.executing.contains(&record.id);
        idle || failed || self.input.drained.contains(&record.id)
    }

    /// Whether the group is stored and was last reported as ready.
    pub fn ready(&self, group: usize) -> bool {
        let stored = self.groups[group].stored;
        let report = stored.and_then(|record| self.input.groups.get(&record.id));
        report.is_some_and(|group| group.state == GroupState::Ready)
    }

    /// Dissolves groups together: immediately if no request can be running on any of them,
    /// otherwise after all have drained, so that none of their VMs is assigned elsewhere in the
    /// meantime. Returns whether their VMs are free now.
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

    /// Dissolves a single group, immediately or after a drain.
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

    /// VMs that a group has under the plan, without lost members.
    pub fn members(&self, group: usize) -> Vec<usize> {
        match &self.groups[group].action {
            GroupAction::Assign(members) => members.clone(),
            _ => self.groups[group].remaining().collect(),
        }
    }

    /// Rebuilds a stored group, immediately or after a drain: `replacements` take the ranks of the
    /// lost members and of those in `replace`. The replacements stay reserved during the drain.
    pub fn rebuild(
        &mut self,
        group: usize,
        model: usize,
        replacements: Vec<usize>,
        replace: &[usize],
    ) {
        let changeable = self.changeable(group);
        let entry = &mut self.groups[group];
        let mut replacements = replacements.into_iter();
        let mut members = Vec::with_capacity(entry.members.len());
        for member in &entry.members {
            let kept = member
                .vm
                .filter(|vm| member.loss.is_none() && !replace.contains(vm));
            members.extend(kept.or_else(|| replacements.next()));
        }
        members.extend(replacements);
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

    /// Takes one free VM for each straggler of a group. Returns the free VMs and the stragglers, or
    /// nothing if there are too few free VMs.
    pub fn take_straggler_replacements(
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
            Some(replacements) => (replacements, stragglers),
            None => (Vec::new(), Vec::new()),
        }
    }

    /// Adds a new group with the given members, which are no longer free.
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
            reserved_for_pending: false,
        });
        self.current[model] += 1;
    }

    /// Lists the lost members of a group and why they are lost, for log messages. Names
    /// at most three.
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
