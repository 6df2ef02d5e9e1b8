//! Placement planner: computes the placement to store from the current state of the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::format_compact;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::view::GroupState;

use crate::allocation::allocate_groups;
use crate::blocked::list_blocked;
use crate::documents::write_documents;
use crate::draft::GroupAction;
use crate::draft::PlanDraft;
use crate::plan::BlockedItem;
use crate::plan::PlacementPlan;
use crate::plan::PlannerGroup;
use crate::plan::PlannerInput;
use crate::rollout::replace_in_place;
use crate::rollout::replace_stragglers;
use crate::rollout::retire_incomplete;
use crate::rollout::retire_surplus;
use crate::settings::PlacementSettings;
use crate::settings::RepairPolicy;
use crate::stranded::stranded;
use crate::stranded::stranded_bound;

/// Maximum number of passes per plan. The changes of one pass may make further changes
/// possible; the limit bounds the planning time. In 10,000 random runs, 53 plans needed more
/// than three passes.
const MAX_PASSES: u32 = 6;

/// Computes placements. Planning is a pure function of the input, so that all nodes compute the
/// same plan from the same input.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    settings: PlacementSettings,
}

impl PlacementPlanner {
    /// Creates a planner with the repair policy in `settings`.
    pub fn new(settings: PlacementSettings) -> Self {
        Self { settings }
    }

    /// Computes the plan for the whole fleet.
    ///
    /// Planning is idempotent: once a plan is applied and nothing else has changed, the next plan
    /// is empty. The documents of different fabric domains are independent, so each may be stored
    /// without the others: a group only takes VMs of its own fabric domain, and takes a VM that
    /// moved there only after its old document has been stored without it.
    pub fn plan(&self, input: &PlannerInput) -> PlacementPlan {
        let mut rollout_items = Vec::new();
        let mut plan = self.run_pass(input, input, &mut rollout_items);
        let mut passes = 1;
        let mut next = None;
        while passes < MAX_PASSES && !plan.documents.is_empty() {
            let applied = apply_plan(next.as_ref().unwrap_or(input), &plan);
            let pass_plan = self.run_pass(&applied, input, &mut rollout_items);
            let is_stable = pass_plan.documents.is_empty();
            merge_pass(&mut plan, pass_plan);
            next = Some(applied);
            passes += 1;
            if is_stable {
                break;
            }
        }
        drop_unchanged(&mut plan, input);
        plan.blocked.append(&mut rollout_items);
        plan.blocked.sort();
        plan.blocked.dedup();
        plan
    }

    /// Runs one pass over `input`; `stored` is the input of the first pass.
    fn run_pass(
        &self,
        input: &PlannerInput,
        stored: &PlannerInput,
        rollout_items: &mut Vec<BlockedItem>,
    ) -> PlacementPlan {
        let mut draft = PlanDraft::new(input, &stored.placements);
        match self.settings.policy {
            RepairPolicy::None => {}
            RepairPolicy::Greedy => replace_greedily(&mut draft),
            RepairPolicy::Weighted => plan_changes(&mut draft, rollout_items),
        }
        let mut plan = PlacementPlan::default();
        list_blocked(&draft, &mut plan.blocked);
        write_documents(&draft, &mut plan);
        if self.settings.policy == RepairPolicy::None {
            plan.documents.clear();
            plan.reasons.clear();
        }
        plan.stranded = stranded(&draft);
        plan.stranded_bound = stranded_bound(&draft);
        plan
    }
}

fn plan_changes(draft: &mut PlanDraft<'_>, rollout_items: &mut Vec<BlockedItem>) {
    retire_surplus(draft);
    allocate_groups(draft);
    while retire_incomplete(draft) {
        allocate_groups(draft);
    }
    if replace_in_place(draft, rollout_items) {
        allocate_groups(draft);
    }
    replace_stragglers(draft);
}

/// Returns the input as it will be once the plan has been stored.
fn apply_plan(input: &PlannerInput, plan: &PlacementPlan) -> PlannerInput {
    let mut next = input.clone();
    for (domain, document) in &plan.documents {
        let stored = next.placements.insert(domain.clone(), document.clone());
        let stored = stored.map(|stored| stored.groups).unwrap_or_default();
        let generations: BTreeMap<&GroupId, Generation> = stored
            .iter()
            .map(|group| (&group.id, group.generation))
            .collect();
        for group in &document.groups {
            let changed = generations.get(&group.id) != Some(&group.generation);
            let drains = group.intent.is_draining();
            if changed {
                let loading = PlannerGroup {
                    state: GroupState::Loading,
                    running: 0,
                };
                next.groups.insert(group.id.clone(), loading);
            } else if let (true, Some(observed)) = (drains, next.groups.get_mut(&group.id))
                && observed.state != GroupState::Loading
            {
                observed.state = GroupState::Draining;
            }
        }
    }
    next
}

fn merge_pass(plan: &mut PlacementPlan, pass_plan: PlacementPlan) {
    plan.documents.extend(pass_plan.documents);
    plan.reasons.extend(pass_plan.reasons);
    plan.load_order = pass_plan.load_order;
    plan.blocked = pass_plan.blocked;
    plan.stranded = pass_plan.stranded;
    plan.stranded_bound = pass_plan.stranded_bound;
}

/// Removes documents and reasons of changes that a later pass has reverted.
fn drop_unchanged(plan: &mut PlacementPlan, input: &PlannerInput) {
    plan.documents.retain(|domain, document| {
        let stored = input.placements.get(domain);
        let stored = stored.map(|stored| &stored.groups[..]).unwrap_or_default();
        document.groups != stored
    });
    let changed: BTreeSet<&GroupId> = plan
        .documents
        .iter()
        .flat_map(|(domain, document)| changed_groups(input.placements.get(domain), document))
        .collect();
    plan.reasons.retain(|group, _| changed.contains(group));
}

fn changed_groups<'a>(
    stored: Option<&'a PlacementDocument>,
    document: &'a PlacementDocument,
) -> Vec<&'a GroupId> {
    let stored = stored.map(|stored| &stored.groups[..]).unwrap_or_default();
    let before: BTreeMap<&GroupId, &GroupRecord> =
        stored.iter().map(|group| (&group.id, group)).collect();
    let after: BTreeSet<&GroupId> = document.groups.iter().map(|group| &group.id).collect();
    let removed = stored.iter().filter(|group| !after.contains(&group.id));
    let changed = document
        .groups
        .iter()
        .filter(|group| before.get(&group.id) != Some(group));
    removed.chain(changed).map(|group| &group.id).collect()
}

/// Baseline policy: replaces lost members with the first free VMs and does nothing else.
fn replace_greedily(draft: &mut PlanDraft<'_>) {
    for group in 0..draft.groups.len() {
        let entry = &draft.groups[group];
        let (GroupAction::Incomplete, Some(model)) = (&entry.action, entry.model) else {
            continue;
        };
        let (domain, lost) = (entry.domain, entry.lost());
        let Some(replacements) = draft.take_free(domain, model, lost) else {
            continue;
        };
        let losses = draft.describe_losses(group);
        draft.groups[group].reason = format_compact!("lost {losses}; replaced by free VMs");
        draft.rebuild(group, model, replacements, &[]);
    }
}
