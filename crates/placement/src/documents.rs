//! Conversion of the plan draft into placement documents and a load order.

use std::collections::BTreeMap;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::ids::WriteId;
use jaysaddle_types::placement::GroupIntent;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::placement::PlacementDocument;

use crate::draft::DraftGroup;
use crate::draft::GroupAction;
use crate::draft::PlanDraft;
use crate::plan::PlacementPlan;

/// Writes the changed documents, the reasons and the load order into `plan`.
pub(crate) fn write_documents(draft: &PlanDraft<'_>, plan: &mut PlacementPlan) {
    let mut loading = vec![Vec::new(); draft.demand.models.len()];
    let mut ready = vec![0; draft.demand.models.len()];
    for domain in 0..draft.domains.len() {
        let mut writer = DocumentWriter::new(draft, domain);
        for group in &draft.domains[domain].groups {
            let entry = &draft.groups[*group];
            let record = writer.write(entry, &mut plan.reasons);
            let (Some(record), Some(model)) = (record, entry.model) else {
                continue;
            };
            match entry.action {
                GroupAction::Keep if draft.ready(*group) => ready[model] += 1,
                GroupAction::Keep => loading[model].push((0, record)),
                GroupAction::Assign(_) => loading[model].push((1, record)),
                _ => {}
            }
        }
        let stored = draft.input.placements.get(draft.domains[domain].id);
        let changed = match stored {
            Some(stored) => *stored != writer.document,
            None => !writer.document.groups.is_empty(),
        };
        if changed {
            plan.documents
                .insert(writer.document.fabric_domain.clone(), writer.document);
        }
    }
    plan.load_order = load_order(draft, loading, ready);
}

/// Orders loads by the urgency of their models. Each group in the order counts as ready for the
/// ones after it, so that models alternate. Within a model, groups that are already stored come
/// first, because their loads may already be running.
fn load_order(
    draft: &PlanDraft<'_>,
    mut loading: Vec<Vec<(u8, GroupId)>>,
    mut ready: Vec<usize>,
) -> Vec<GroupId> {
    for groups in &mut loading {
        groups.sort();
        groups.reverse();
    }
    let mut order = Vec::new();
    loop {
        let next = (0..loading.len())
            .filter(|model| !loading[*model].is_empty())
            .min_by(|a, b| draft.demand.compare((*a, ready[*a]), (*b, ready[*b])));
        let Some(model) = next else {
            return order;
        };
        ready[model] += 1;
        order.extend(loading[model].pop().map(|(_, group)| group));
    }
}

struct DocumentWriter<'a, 'b> {
    draft: &'b PlanDraft<'a>,
    document: PlacementDocument,
}

impl<'a, 'b> DocumentWriter<'a, 'b> {
    fn new(draft: &'b PlanDraft<'a>, domain: usize) -> Self {
        let id = draft.domains[domain].id;
        let stored = draft.input.placements.get(id);
        let highest = stored
            .iter()
            .flat_map(|stored| &stored.groups)
            .map(|group| group.generation)
            .max();
        let last = stored.map(|stored| stored.last_generation).max(highest);
        let document = PlacementDocument {
            fabric_domain: id.clone(),
            epoch: stored.map_or(LeaseEpoch(0), |stored| stored.epoch),
            write_id: stored.map_or_else(WriteId::default, |stored| stored.write_id.clone()),
            last_generation: last.unwrap_or_default(),
            groups: Vec::new(),
        };
        Self { draft, document }
    }

    /// Adds the record of one group to the document and returns the group's id, or nothing if the
    /// group is dissolved.
    fn write(
        &mut self,
        entry: &DraftGroup<'_>,
        reasons: &mut BTreeMap<GroupId, CompactString>,
    ) -> Option<GroupId> {
        let (record, reason) = match (&entry.action, entry.stored) {
            (GroupAction::Assign(members), stored) => {
                (self.assign(entry, stored, members)?, entry.reason.clone())
            }
            (GroupAction::Dissolve, Some(stored)) => {
                reasons.insert(stored.id.clone(), entry.reason.clone());
                return None;
            }
            (GroupAction::RebuildAfterDrain, Some(stored)) => (
                with_intent(stored, GroupIntent::Rebuild),
                entry.reason.clone(),
            ),
            (GroupAction::Retire, Some(stored)) => (
                with_intent(stored, GroupIntent::Drain),
                entry.reason.clone(),
            ),
            (_, Some(stored)) => self.unchanged_record(entry, stored),
            (_, None) => return None,
        };
        let id = record.id.clone();
        if entry.stored != Some(&record) {
            reasons.insert(id.clone(), reason);
        }
        self.document.groups.push(record);
        Some(id)
    }

    fn unchanged_record(
        &mut self,
        entry: &DraftGroup<'_>,
        stored: &GroupRecord,
    ) -> (GroupRecord, CompactString) {
        let mut record = with_intent(stored, GroupIntent::Serve);
        let members: Vec<&VmId> = entry.remaining().map(|vm| &self.draft.vms[vm].vm).collect();
        if entry.lost() == 0 && self.highest_seen_generation(&members) > record.generation {
            let members: Vec<VmId> = members.into_iter().cloned().collect();
            record.generation = self.next_generation(&members);
            return (record, "an engine has seen a higher fencing token".into());
        }
        (
            record,
            "the group is needed again; its drain is cancelled".into(),
        )
    }

    fn assign(
        &mut self,
        entry: &DraftGroup<'_>,
        stored: Option<&GroupRecord>,
        members: &[usize],
    ) -> Option<GroupRecord> {
        let rule = self.draft.demand.models[entry.model?].rule;
        let members: Vec<VmId> = members
            .iter()
            .map(|vm| self.draft.vms[*vm].vm.clone())
            .collect();
        let generation = self.next_generation(&members);
        let id = match stored {
            Some(stored) => stored.id.clone(),
            // Generations are never reused, so the id stays unique within the document.
            None => GroupId::new(format_compact!(
                "g{generation}.{}",
                self.document.fabric_domain
            )),
        };
        Some(GroupRecord {
            id,
            generation,
            model: rule.name.clone(),
            version: rule.version.clone(),
            members,
            intent: GroupIntent::Serve,
        })
    }

    /// Issues a generation above all that the document has issued and all that the members'
    /// engines have seen.
    fn next_generation(&mut self, members: &[VmId]) -> Generation {
        let members: Vec<&VmId> = members.iter().collect();
        let next = self
            .document
            .last_generation
            .max(self.highest_seen_generation(&members))
            .next();
        self.document.last_generation = next;
        next
    }

    fn highest_seen_generation(&self, members: &[&VmId]) -> Generation {
        let seen = &self.draft.input.seen_generations;
        let highest = members.iter().filter_map(|vm| seen.get(*vm)).max();
        highest.copied().unwrap_or_default()
    }
}

fn with_intent(stored: &GroupRecord, intent: GroupIntent) -> GroupRecord {
    GroupRecord {
        intent,
        ..stored.clone()
    }
}
