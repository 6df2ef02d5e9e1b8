//! Store calls of the shard controller: reads and claims of the documents of held shards, and the
//! handling of their outcomes.

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::WriteId;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::controller::ShardController;
use crate::controller::decision;
use crate::event::ShardEffect;

/// Time after which a call that has not completed is handled as one with an unknown outcome. The
/// store client completes every call; the timeout covers outcomes that are lost inside the daemon.
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(15);

/// Progress of a held shard towards accepting writes and orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShardPhase {
    /// The document is to be read at the given time.
    Read { at: Timestamp },
    /// A call for the shard is in flight.
    Waiting,
    /// The document carries this node's epoch and no call is in flight.
    Active,
    /// The document carries a higher epoch; another node holds the shard.
    Superseded,
}

/// State of a shard whose lease this node holds.
#[derive(Debug)]
pub(crate) struct ShardState {
    /// Epoch of this node's lease.
    pub epoch: LeaseEpoch,
    /// Earliest time at which orders may be sent to engines that ignore fencing tokens.
    pub unfenced_after: Timestamp,
    /// Time of the first tick in which this node held the shard under `epoch`.
    pub held_since: Timestamp,
    /// Whether the document is yet to be read, is in use, or is claimed by another node.
    pub phase: ShardPhase,
    /// Last write, if its outcome is unknown.
    pub unresolved_write: Option<PendingWrite>,
    /// Reason why the last write was withheld, so that each reason is logged once; empty after
    /// a successful write.
    pub withheld_reason: CompactString,
}

impl ShardState {
    /// Whether writes and orders are allowed: the document is claimed and no call is in flight.
    pub fn is_active(&self) -> bool {
        self.phase == ShardPhase::Active
    }
}

/// Write that is in flight or whose outcome is unknown.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    /// Document as written, with its write id.
    pub document: PlacementDocument,
    /// Decision records to log if the write takes effect.
    pub records: Vec<ShardEffect>,
}

/// Call that has not completed yet.
#[derive(Debug)]
pub(crate) struct PendingCall {
    /// Shard whose document is read or written.
    pub shard: FabricDomainId,
    /// Epoch under which this node held the shard when the call was sent; absent if the call only
    /// reads the document for planning.
    pub held_epoch: Option<LeaseEpoch>,
    /// Time at which the call was sent.
    pub at: Timestamp,
    /// Write that the call makes; absent for a read.
    pub write: Option<PendingWrite>,
}

impl ShardController {
    /// Records a document that was read, watched or written, unless the same or a newer
    /// version is recorded already.
    pub(crate) fn update_placement(
        &mut self,
        version: ObjectVersion,
        document: PlacementDocument,
        effects: &mut Vec<ShardEffect>,
    ) {
        let shard = document.fabric_domain.clone();
        let current = self.placements.get(&shard).map(|(version, _)| *version);
        if current.is_some_and(|current| current >= version) {
            return;
        }
        let epoch = document.epoch;
        self.missing_documents.remove(&shard);
        self.placements.insert(shard.clone(), (version, document));
        self.placement_changes += 1;
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        if epoch > state.epoch && state.phase != ShardPhase::Superseded {
            state.phase = ShardPhase::Superseded;
            let inputs = format_compact!("epoch={} stored_epoch={epoch}", state.epoch);
            let reason = "another node has claimed the shard with a higher epoch".into();
            effects.push(decision(shard.as_str(), inputs, "superseded", reason));
        }
    }

    /// Returns whether every document that a plan depends on has been read, and reads those
    /// that have not. Planning without one of them would form its groups a second time in
    /// other fabric domains.
    pub(crate) fn all_documents_read(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<ShardEffect>,
    ) -> bool {
        let mut unread_domains: Vec<FabricDomainId> = Vec::new();
        for vm in &self.input.vms {
            let domain = &vm.fabric_domain;
            let is_read = self.placements.contains_key(domain)
                || self.missing_documents.contains(domain)
                || self.input.placements.contains_key(domain);
            if !is_read && unread_domains.last() != Some(domain) {
                unread_domains.push(domain.clone());
            }
        }
        unread_domains.sort();
        unread_domains.dedup();
        for domain in &unread_domains {
            let in_flight = self.calls.values().any(|call| call.shard == *domain);
            if !in_flight && now >= self.read_after {
                self.read_document(domain, false, now, effects);
            }
        }
        unread_domains.is_empty()
    }

    pub(crate) fn expire_calls(&mut self, now: Timestamp) {
        let expired: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| now.since(call.at) >= CALL_TIMEOUT)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            if let Some(pending) = self.calls.remove(&call) {
                self.handle_unknown_outcome(&pending, now);
            }
        }
    }

    /// Reads the documents of newly held shards, and of those whose last write conflicted or has
    /// an unknown outcome.
    pub(crate) fn read_shards(&mut self, now: Timestamp, effects: &mut Vec<ShardEffect>) {
        let due: Vec<FabricDomainId> = self
            .shards
            .iter()
            .filter(|(_, state)| matches!(state.phase, ShardPhase::Read { at } if at <= now))
            .map(|(shard, _)| shard.clone())
            .collect();
        for shard in due {
            self.read_document(&shard, true, now, effects);
        }
    }

    fn read_document(
        &mut self,
        shard: &FabricDomainId,
        for_holder: bool,
        now: Timestamp,
        effects: &mut Vec<ShardEffect>,
    ) {
        let request = StoreRequest::Get {
            kind: ObjectKind::Placement,
            name: shard.as_str().into(),
        };
        self.send_call(shard, for_holder, None, request, now, effects);
    }

    pub(crate) fn send_call(
        &mut self,
        shard: &FabricDomainId,
        for_holder: bool,
        write: Option<PendingWrite>,
        request: StoreRequest,
        now: Timestamp,
        effects: &mut Vec<ShardEffect>,
    ) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let state = self.shards.get_mut(shard).filter(|_| for_holder);
        let pending = PendingCall {
            shard: shard.clone(),
            held_epoch: state.as_ref().map(|state| state.epoch),
            at: now,
            write,
        };
        if let Some(state) = state {
            state.phase = ShardPhase::Waiting;
        }
        self.calls.insert(call, pending);
        effects.push(ShardEffect::Call { call, request });
    }

    /// Handles the outcome of a call; outcomes of unknown calls are ignored.
    pub(crate) fn handle_call_outcome(
        &mut self,
        call: CallId,
        outcome: StoreOutcome,
        now: Timestamp,
        effects: &mut Vec<ShardEffect>,
    ) {
        let Some(pending) = self.calls.remove(&call) else {
            return;
        };
        let available = !matches!(outcome, StoreOutcome::Unavailable | StoreOutcome::Unknown);
        if available && self.store_unavailable {
            self.store_unavailable = false;
            let reason = "the store is available again".into();
            effects.push(decision(
                "store",
                CompactString::default(),
                "resume",
                reason,
            ));
        }
        match outcome {
            StoreOutcome::Found(object) => self.handle_found(&pending, object, now, effects),
            StoreOutcome::Missing => self.handle_missing(&pending, now, effects),
            StoreOutcome::Written(version) => self.handle_written(pending, version, effects),
            StoreOutcome::Conflict(version) => {
                let inputs = format_compact!("stored_version={version}");
                let reason = "the document was changed concurrently; reading it again".into();
                effects.push(decision(pending.shard.as_str(), inputs, "conflict", reason));
                self.set_phase(&pending, ShardPhase::Read { at: now });
            }
            StoreOutcome::Unavailable => self.handle_unavailable(&pending, now, effects),
            StoreOutcome::Unknown => self.handle_unknown_outcome(&pending, now),
        }
    }

    fn set_phase(&mut self, pending: &PendingCall, phase: ShardPhase) {
        let state = self.shards.get_mut(&pending.shard);
        if let Some(state) = state.filter(|state| pending.held_epoch == Some(state.epoch))
            && state.phase != ShardPhase::Superseded
        {
            state.phase = phase;
        }
    }

    fn handle_unavailable(
        &mut self,
        pending: &PendingCall,
        now: Timestamp,
        effects: &mut Vec<ShardEffect>,
    ) {
        if !self.store_unavailable {
            self.store_unavailable = true;
            let reason = "the store is unavailable; the placement remains unchanged".into();
            effects.push(decision("store", CompactString::default(), "hold", reason));
        }
        let at = now + self.retry_delay();
        self.read_after = at;
        self.set_phase(pending, ShardPhase::Read { at });
    }

    /// Schedules a read after a call with an unknown outcome. A read is retried after a delay. A
    /// write may have taken effect, so the document is read back immediately.
    fn handle_unknown_outcome(&mut self, pending: &PendingCall, now: Timestamp) {
        let at = match &pending.write {
            Some(_) => now,
            None => now + self.retry_delay(),
        };
        if pending.held_epoch.is_none() {
            self.read_after = at;
        }
        self.set_phase(pending, ShardPhase::Read { at });
        if let (Some(write), Some(state)) = (&pending.write, self.shards.get_mut(&pending.shard)) {
            state.unresolved_write = Some(write.clone());
        }
    }

    /// Returns the retry delay with jitter, so that nodes do not retry simultaneously.
    fn retry_delay(&mut self) -> TimeSpan {
        self.jitter_state = self
            .jitter_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let base = self.settings.store_retry.as_millis();
        TimeSpan::from_millis(base + (self.jitter_state >> 33) % base.max(1))
    }

    fn handle_found(
        &mut self,
        pending: &PendingCall,
        object: StoredObject,
        now: Timestamp,
        effects: &mut Vec<ShardEffect>,
    ) {
        let document: PlacementDocument = match serde_json::from_str(&object.value) {
            Ok(document) => document,
            Err(error) => {
                let reason = format_compact!("cannot decode the stored document: {error}");
                self.withhold(&pending.shard, reason, effects);
                let at = now + self.retry_delay();
                return self.set_phase(pending, ShardPhase::Read { at });
            }
        };
        self.update_placement(object.version, document, effects);
        self.resolve_write(&pending.shard, effects);
        if pending.held_epoch.is_some() {
            self.claim_document(&pending.shard, now, effects);
        }
    }

    /// Determines whether the write with an unknown outcome took effect, by comparing its write id
    /// with the one read back.
    fn resolve_write(&mut self, shard: &FabricDomainId, effects: &mut Vec<ShardEffect>) {
        let Some(state) = self.shards.get_mut(shard) else {
            return;
        };
        let Some(write) = state.unresolved_write.take() else {
            return;
        };
        let write_id = &write.document.write_id;
        let stored = self
            .placements
            .get(shard)
            .map(|(_, stored)| &stored.write_id);
        let took_effect = stored == Some(write_id);
        let reason = if took_effect {
            "the write with an unknown outcome took effect"
        } else {
            // It may still take effect later. The next write then conflicts, and the document is
            // read and planned again.
            "the write with an unknown outcome has not taken effect"
        };
        let inputs = format_compact!("write_id={write_id}");
        effects.push(decision(shard.as_str(), inputs, "resolved", reason.into()));
        if took_effect {
            effects.extend(write.records);
        }
    }

    /// Writes this node's epoch into the document, unless it is already there. The write raises the
    /// object's version, so that any later conditional write of an earlier holder fails.
    fn claim_document(
        &mut self,
        shard: &FabricDomainId,
        now: Timestamp,
        effects: &mut Vec<ShardEffect>,
    ) {
        let Some(state) = self.shards.get_mut(shard) else {
            return;
        };
        let Some((version, stored)) = self.placements.get(shard) else {
            return;
        };
        if stored.epoch == state.epoch {
            state.phase = ShardPhase::Active;
        } else if stored.epoch > state.epoch {
            state.phase = ShardPhase::Superseded;
        } else {
            let (version, document) = (*version, stored.clone());
            self.write_document(shard, version, document, now, effects);
        }
    }

    fn handle_missing(
        &mut self,
        pending: &PendingCall,
        now: Timestamp,
        effects: &mut Vec<ShardEffect>,
    ) {
        let shard = &pending.shard;
        let Some(state) = self
            .shards
            .get_mut(shard)
            .filter(|state| pending.held_epoch == Some(state.epoch))
        else {
            if !self.placements.contains_key(shard) {
                self.missing_documents.insert(shard.clone());
            }
            return;
        };
        if state.phase == ShardPhase::Superseded {
            return;
        }
        state.unresolved_write = None;
        // A document that has disappeared from the store is written again from this node's copy, so
        // that its groups are kept and no generation is issued twice.
        let cached = self.placements.remove(shard).map(|(_, document)| document);
        self.placement_changes += 1;
        let document = cached.unwrap_or_else(|| PlacementDocument {
            fabric_domain: shard.clone(),
            epoch: LeaseEpoch::default(),
            write_id: WriteId::default(),
            last_generation: Generation::default(),
            groups: Vec::new(),
        });
        self.write_document(shard, ObjectVersion(0), document, now, effects);
    }

    fn handle_written(
        &mut self,
        pending: PendingCall,
        version: ObjectVersion,
        effects: &mut Vec<ShardEffect>,
    ) {
        let Some(write) = pending.write.clone() else {
            return;
        };
        effects.extend(write.records);
        self.update_placement(version, write.document, effects);
        self.set_phase(&pending, ShardPhase::Active);
        if let Some(state) = self.shards.get_mut(&pending.shard) {
            state.withheld_reason = CompactString::default();
        }
    }
}
