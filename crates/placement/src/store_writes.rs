//! Document writes of the shard controller: the checks before a write, and the decision records
//! that are logged after it.

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::WriteId;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::units::Timestamp;

use crate::check::check_documents;
use crate::controller::ShardController;
use crate::controller::decision;
use crate::event::ShardEffect;
use crate::store_calls::PendingWrite;
use crate::store_calls::ShardState;

/// Maximum size of a value in the store, in bytes.
const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Maximum number of groups whose last reason is retained; several times the number of groups in
/// the largest fleet.
const MAX_RETAINED_REASONS: usize = 2_000;

impl ShardController {
    /// Writes `document` with this node's epoch, on condition that the object still
    /// has version `expected`.
    pub(crate) fn write_document(
        &mut self,
        shard: &FabricDomainId,
        expected: ObjectVersion,
        mut document: PlacementDocument,
        now: Timestamp,
        effects: &mut Vec<ShardEffect>,
    ) {
        let Some(state) = self.shards.get(shard) else {
            return;
        };
        document.epoch = state.epoch;
        document.write_id = WriteId::new(format_compact!(
            "{}.{}.{}",
            self.own.id,
            self.own.incarnation,
            self.next_write
        ));
        self.next_write += 1;
        let value = match serde_json::to_string(&document) {
            Ok(value) if value.len() <= MAX_DOCUMENT_BYTES => value,
            Ok(value) => {
                let reason = format_compact!(
                    "the document has {} bytes; the store accepts at most {MAX_DOCUMENT_BYTES}",
                    value.len()
                );
                return self.withhold(shard, reason, effects);
            }
            Err(error) => return self.withhold(shard, format_compact!("{error}"), effects),
        };
        let request = StoreRequest::Put {
            kind: ObjectKind::Placement,
            name: shard.as_str().into(),
            expected,
            write_id: document.write_id.clone(),
            value,
        };
        let write = PendingWrite {
            records: self.describe_write(shard, &document),
            document,
        };
        self.retain_reasons();
        self.send_call(shard, true, Some(write), request, now, effects);
    }

    /// Logs that a write is withheld, once for each reason.
    pub(crate) fn withhold(
        &mut self,
        shard: &FabricDomainId,
        reason: CompactString,
        effects: &mut Vec<ShardEffect>,
    ) {
        let Some(state) = self.shards.get_mut(shard) else {
            return;
        };
        if state.withheld_reason != reason {
            state.withheld_reason = reason.clone();
            let inputs = format_compact!("epoch={}", state.epoch);
            effects.push(decision(shard.as_str(), inputs, "withheld", reason));
        }
    }

    /// Writes the plan's documents of active shards, except those that would add a violation.
    pub(crate) fn store_plan(&mut self, now: Timestamp, effects: &mut Vec<ShardEffect>) {
        let Some(plan) = self.last_plan() else {
            return;
        };
        let documents: Vec<(FabricDomainId, PlacementDocument)> = plan
            .documents
            .iter()
            .filter(|(shard, _)| self.shards.get(*shard).is_some_and(ShardState::is_active))
            .map(|(shard, document)| (shard.clone(), document.clone()))
            .collect();
        for (shard, document) in documents {
            let Some((version, stored)) = self.placements.get(&shard) else {
                continue;
            };
            // The plan was computed before the last write of this document and is outdated.
            if document.write_id != stored.write_id {
                continue;
            }
            let version = *version;
            match self.added_violations(&shard, &document) {
                Some(reason) => self.withhold(&shard, reason, effects),
                None => self.write_document(&shard, version, document, now, effects),
            }
        }
    }

    /// Returns the first violation that a write would add to the stored documents.
    fn added_violations(
        &self,
        shard: &FabricDomainId,
        document: &PlacementDocument,
    ) -> Option<CompactString> {
        let mut documents = self.input.placements.clone();
        for (domain, (_, stored)) in &self.placements {
            documents.insert(domain.clone(), stored.clone());
        }
        let before = check_documents(&documents, &self.input.vms, &self.input.rules);
        documents.insert(shard.clone(), document.clone());
        let after = check_documents(&documents, &self.input.vms, &self.input.rules);
        let added = after.iter().find(|violation| !before.contains(violation))?;
        Some(format_compact!("{added}"))
    }

    /// Builds the decision records to log once the write takes effect: the claim of the document,
    /// and each changed or dissolved group with its reason.
    fn describe_write(
        &self,
        shard: &FabricDomainId,
        document: &PlacementDocument,
    ) -> Vec<ShardEffect> {
        let mut records = Vec::new();
        let before = self.placements.get(shard).map(|(_, stored)| stored);
        if before.is_none_or(|before| before.epoch != document.epoch) {
            let inputs = format_compact!("epoch={}", document.epoch);
            let reason = "this node holds the shard's lease".into();
            records.push(decision(shard.as_str(), inputs, "claim", reason));
        }
        let before = before.map(|before| &before.groups[..]).unwrap_or_default();
        let removed = before
            .iter()
            .filter(|old| document.groups.iter().all(|new| new.id != old.id));
        let changed = document
            .groups
            .iter()
            .filter(|group| !before.contains(group));
        let choices = changed
            .map(|group| (group, "store"))
            .chain(removed.map(|group| (group, "dissolve")));
        for (group, choice) in choices {
            let reason = self
                .last_plan()
                .and_then(|plan| plan.reasons.get(&group.id));
            let inputs = format_compact!(
                "model={} version={} generation={} members={} intent={:?}",
                group.model,
                group.version,
                group.generation,
                group.members.len(),
                group.intent
            );
            let reason = reason.cloned().unwrap_or_default();
            records.push(decision(group.id.as_str(), inputs, choice, reason));
        }
        records
    }

    /// Retains the reasons of the plan that is being stored, for later explanations.
    fn retain_reasons(&mut self) {
        let reasons = self.last_plan().map(|plan| plan.reasons.clone());
        self.reasons.extend(reasons.unwrap_or_default());
        // The map also contains reasons of dissolved groups, so its size is limited.
        while self.reasons.len() > MAX_RETAINED_REASONS {
            self.reasons.pop_first();
        }
    }
}
