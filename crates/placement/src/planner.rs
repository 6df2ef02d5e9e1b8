//! The planner: from the present state of the fleet to the placement to store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::format_compact;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::view::GroupState;

use crate::blocked::list_blocked;
use crate::bound::stranded;
use crate::bound::stranded_bound;
use crate::fill::fill_wants;
use crate::finish::write_documents;
use crate::plan::BlockedItem;
use crate::plan::PlacementPlan;
use crate::plan::PlannerGroup;
use crate::plan::PlannerInput;
use crate::rollout::replace_in_place;
use crate::rollout::replace_stragglers;
use crate::rollout::retire_leftovers;
use crate::rollout::retire_surplus;
use crate::settings::PlacementSettings;
use crate::settings::RepairPolicy;
use crate::work::GroupFate;
use crate::work::PlannerWork;

/// Most passes of one plan. A pass may make another step possible. In a trial of 10,000 random runs
/// 53 plans needed more than three passes; the bound limits the time of a plan.
const MAX_PASSES: u32 = 6;

/// Computes placements; pure and deterministic, so that all nodes plan alike from alike inputs.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    settings: PlacementSettings,
}

impl PlacementPlanner {
    /// A planner with the given policy.
    pub fn new(settings: PlacementSettings) -> Self {
        Self { settings }
    }

    /// Plans the whole fleet.
    ///
    /// A plan applied to its own input, with nothing else changed, plans no further change. The
    /// documents of different fabric domains do not depend on one another: each may be stored
    /// without the others, because a VM is only ever taken from its own fabric domain, and one that
    /// moved only after its old document was stored without it.
    pub fn plan(&self, input: &PlannerInput) -> PlacementPlan {
        let mut notes = Vec::new();
        let mut plan = self.run(input, input, &mut notes);
        let mut passes = 1;
        let mut next = None;
        while passes < MAX_PASSES && !plan.documents.is_empty() {
            let applied = applied(next.as_ref().unwrap_or(input), &plan);
            let more = self.run(&applied, input, &mut notes);
            let settled = more.documents.is_empty();
            merge(&mut plan, more);
            next = Some(applied);
            passes += 1;
            if settled {
                break;
            }
        }
        drop_unchanged(&mut plan, input);
        plan.blocked.append(&mut notes);
        plan.blocked.sort();
        plan.blocked.dedup();
        plan
    }

    /// One pass over `input`; `stored` is the input of the first pass.
    fn run(
        &self,
        input: &PlannerInput,
        stored: &PlannerInput,
        notes: &mut Vec<BlockedItem>,
    ) -> PlacementPlan {
        let mut work = PlannerWork::new(input, &stored.placements);
        match self.settings.policy {
            RepairPolicy::None => {}
            RepairPolicy::Greedy => replace_greedily(&mut work),
            RepairPolicy::Weighted => improve(&mut work, notes),
        }
        let mut plan = PlacementPlan::default();
        list_blocked(&work, &mut plan.blocked);
        write_documents(&work, &mut plan);
        if self.settings.policy == RepairPolicy::None {
            plan.documents.clear();
            plan.reasons.clear();
        }
        plan.stranded = stranded(&work);
        plan.stranded_bound = stranded_bound(&work);
        plan
    }
}

fn improve(work: &mut PlannerWork<'_>, notes: &mut Vec<BlockedItem>) {
    retire_surplus(work);
    fill_wants(work);
    while retire_leftovers(work) {
        fill_wants(work);
    }
    if replace_in_place(work, notes) {
        fill_wants(work);
    }
    replace_stragglers(work);
}

/// The input as it is once the plan has been stored.
fn applied(input: &PlannerInput, plan: &PlacementPlan) -> PlannerInput {
    let mut next = input.clone();
    for (domain, document) in &plan.documents {
        let stored = next.placements.insert(domain.clone(), document.clone());
        let stored = stored.map(|stored| stored.groups).unwrap_or_default();
        let known: BTreeMap<&GroupId, Generation> = stored
            .iter()
            .map(|group| (&group.id, group.generation))
            .collect();
        for group in &document.groups {
            let changed = known.get(&group.id) != Some(&group.generation);
            let drains = group.intent.is_draining();
            if changed {
                let loading = PlannerGroup {
                    state: GroupState::Loading,
                    running: 0,
                };
                next.groups.insert(group.id.clone(), loading);
            } else if let (true, Some(known)) = (drains, next.groups.get_mut(&group.id))
                && known.state != GroupState::Loading
            {
                known.state = GroupState::Draining;
            }
        }
    }
    next
}

fn merge(plan: &mut PlacementPlan, more: PlacementPlan) {
    plan.documents.extend(more.documents);
    plan.reasons.extend(more.reasons);
    plan.load_order = more.load_order;
    plan.blocked = more.blocked;
    plan.stranded = more.stranded;
    plan.stranded_bound = more.stranded_bound;
}

/// Drops documents and reasons of changes that a later pass has undone.
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

/// The baseline: replaces lost members by the first spares and does nothing else.
fn replace_greedily(work: &mut PlannerWork<'_>) {
    for group in 0..work.groups.len() {
        let entry = &work.groups[group];
        let (GroupFate::Broken, Some(model)) = (&entry.fate, entry.model) else {
            continue;
        };
        let (domain, lost) = (entry.domain, entry.lost());
        let Some(spares) = work.take_free(domain, model, lost) else {
            continue;
        };
        let losses = work.losses(group);
        work.groups[group].reason = format_compact!("lost {losses}; replaced by spares");
        work.rebuild(group, model, spares, &[]);
    }
}
