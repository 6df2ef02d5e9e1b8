//! State machine that acquires, renews and releases the leases of all shards.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::decision::DecisionKind;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::WriteId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::event::LeaseCandidate;
use crate::event::LeaseEffect;
use crate::event::LeaseEvent;
use crate::event::LeaseRecord;
use crate::event::ShardLocation;
use crate::rank::JitterSource;
use crate::rank::hash_id;
use crate::rank::mix;
use crate::rank::own_rank;
use crate::settings::LeaseSettings;
use crate::shard::NextAction;
use crate::shard::PendingCall;
use crate::shard::SentWrite;
use crate::shard::ShardLease;
use crate::shard::WritePurpose;

/// Time after which a store call that has not completed is treated as one with unknown outcome.
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
/// Maximum jitter of the first reads, so that nodes that start together do not all read at
/// the same time.
const FIRST_READ_SPREAD: TimeSpan = TimeSpan::from_secs(1);
/// Maximum jitter of the reads after the holder has left the list of candidates.
const ABSENT_HOLDER_SPREAD: TimeSpan = TimeSpan::from_millis(500);

/// Leases of all shards as last seen by this node.
///
/// # Invariants
///
/// This node holds a lease only after a write of its own is known to have taken effect, and only
/// for `duration` counted from before that write was sent. Each acquisition increases the epoch.
#[derive(Debug)]
pub struct LeaseTable {
    pub(crate) settings: LeaseSettings,
    pub(crate) own: NodeKey,
    pub(crate) shards: BTreeMap<FabricDomainId, ShardLease>,
    pub(crate) jitter: JitterSource,
    pub(crate) last_event_at: Timestamp,
    /// Number of consecutive failed store calls over all shards.
    pub(crate) store_failures: u32,
    /// Live nodes, each with the hash of its id.
    candidates: Vec<(LeaseCandidate, u64)>,
    calls: BTreeMap<CallId, FabricDomainId>,
    last_call: CallId,
    /// Hash of this node's id, which with the incarnation makes write ids unique across nodes.
    write_prefix: u64,
    writes: u64,
    stopping: bool,
}

impl LeaseTable {
    /// Creates a table without shards. `seed` determines the jitter of polls.
    pub fn new(settings: LeaseSettings, own: NodeKey, seed: u64) -> Self {
        let own_hash = hash_id(own.id.as_str());
        Self {
            settings,
            own,
            shards: BTreeMap::new(),
            jitter: JitterSource(mix(seed ^ own_hash)),
            last_event_at: Timestamp::default(),
            store_failures: 0,
            candidates: Vec::new(),
            calls: BTreeMap::new(),
            last_call: CallId(0),
            write_prefix: own_hash,
            writes: 0,
            stopping: false,
        }
    }

    /// Applies one event and returns the resulting effects.
    pub fn step(&mut self, event: LeaseEvent, now: Timestamp) -> Vec<LeaseEffect> {
        let mut effects = Vec::new();
        self.last_event_at = now;
        self.expire(now, &mut effects);
        match event {
            LeaseEvent::Tick => self.run_due_actions(now, &mut effects),
            LeaseEvent::ShardsChanged(locations) => self.set_shards(locations, now, &mut effects),
            LeaseEvent::CandidatesChanged(candidates) => self.set_candidates(candidates, now),
            LeaseEvent::CallCompleted { call, outcome } => {
                let Some(shard) = self.calls.remove(&call) else {
                    return effects;
                };
                self.handle_call_outcome(&shard, outcome, now, &mut effects);
                self.run_action(&shard, now, &mut effects);
            }
            LeaseEvent::Release => self.release_all(now, &mut effects),
        }
        effects
    }

    /// Returns the fencing token if this node holds the lease of the shard at `now`.
    pub fn holds(&self, shard: &FabricDomainId, now: Timestamp) -> Option<LeaseEpoch> {
        let held = self.shards.get(shard)?.held?;
        (now < held.expiry(&self.settings)).then_some(held.epoch)
    }

    /// Returns the shards whose leases this node holds at `now`, each with its fencing token and
    /// the earliest time at which orders may be sent to engines that ignore fencing tokens.
    pub fn held(&self, now: Timestamp) -> Vec<(FabricDomainId, LeaseEpoch, Timestamp)> {
        self.shards
            .iter()
            .filter_map(|(shard, lease)| Some((shard, lease.held?)))
            .filter(|(_, held)| now < held.expiry(&self.settings))
            .map(|(shard, held)| (shard.clone(), held.epoch, held.orders_allowed_from))
            .collect()
    }

    /// Reports expired leases as lost, before any other effect of the step.
    fn expire(&mut self, now: Timestamp, effects: &mut Vec<LeaseEffect>) {
        let settings = &self.settings;
        let expired: Vec<FabricDomainId> = self
            .shards
            .iter()
            .filter(|(_, lease)| lease.held.is_some_and(|held| now >= held.expiry(settings)))
            .map(|(shard, _)| shard.clone())
            .collect();
        for shard in expired {
            self.drop_lease(
                &shard,
                "no renewal took effect within the lease duration",
                effects,
            );
        }
    }

    /// Reports the lease of a shard as lost, if this node holds it.
    pub(crate) fn drop_lease(
        &mut self,
        shard: &FabricDomainId,
        reason: &str,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Some(held) = self
            .shards
            .get_mut(shard)
            .and_then(|lease| lease.held.take())
        else {
            return;
        };
        effects.push(LeaseEffect::Lost {
            shard: shard.clone(),
        });
        let inputs = format_compact!("epoch={}", held.epoch);
        effects.push(decision(shard.as_str(), "lost", reason, inputs));
    }

    fn set_shards(
        &mut self,
        locations: Vec<ShardLocation>,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let kept: BTreeSet<FabricDomainId> = locations
            .iter()
            .map(|location| location.shard.clone())
            .collect();
        let removed: Vec<FabricDomainId> = self
            .shards
            .keys()
            .filter(|shard| !kept.contains(*shard))
            .cloned()
            .collect();
        for shard in removed {
            self.retire(&shard, "the shard was removed", now, effects);
        }
        for location in locations {
            let due = now + self.jitter.below(FIRST_READ_SPREAD);
            let lease = self
                .shards
                .entry(location.shard.clone())
                .or_insert_with(|| ShardLease::new(location.clone(), due));
            lease.location = location;
            lease.is_retired = self.stopping;
        }
        self.rank_all(now);
    }

    fn set_candidates(&mut self, candidates: Vec<LeaseCandidate>, now: Timestamp) {
        let with_hash = |candidate: LeaseCandidate| {
            let hash = hash_id(candidate.node.id.as_str());
            (candidate, hash)
        };
        self.candidates = candidates.into_iter().map(with_hash).collect();
        self.rank_all(now);
        let live: BTreeSet<&NodeKey> = self.candidates.iter().map(|entry| &entry.0.node).collect();
        for lease in self.shards.values_mut() {
            let is_absent = lease
                .recorded_holder()
                .is_some_and(|holder| !live.contains(holder));
            if is_absent && lease.rank.is_some() && lease.failures == 0 {
                lease.due = lease.due.min(now + self.jitter.below(ABSENT_HOLDER_SPREAD));
            }
        }
    }

    /// Whether this node incarnation is among the live nodes.
    pub(crate) fn is_candidate(&self, node: &NodeKey) -> bool {
        self.candidates.iter().any(|entry| entry.0.node == *node)
    }

    fn rank_all(&mut self, now: Timestamp) {
        for lease in self.shards.values_mut() {
            let rank = own_rank(&lease.location, &self.candidates, &self.own)
                .filter(|rank| *rank < self.settings.max_candidates);
            if lease.rank.is_none() && rank.is_some() && lease.held.is_none() {
                lease.due = now + self.jitter.below(FIRST_READ_SPREAD);
            }
            lease.rank = rank;
        }
    }

    fn release_all(&mut self, now: Timestamp, effects: &mut Vec<LeaseEffect>) {
        self.stopping = true;
        let shards: Vec<FabricDomainId> = self.shards.keys().cloned().collect();
        for shard in shards {
            self.retire(&shard, "this node is stopping", now, effects);
        }
    }

    /// Reports the lease of a shard as lost immediately and starts its release in the store.
    fn retire(
        &mut self,
        shard: &FabricDomainId,
        reason: &str,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        self.drop_lease(shard, reason, effects);
        if let Some(lease) = self.shards.get_mut(shard) {
            lease.is_retired = true;
            lease.due = now;
        }
        self.run_action(shard, now, effects);
    }

    fn run_due_actions(&mut self, now: Timestamp, effects: &mut Vec<LeaseEffect>) {
        self.time_out_calls(now);
        let ready: Vec<FabricDomainId> = self
            .shards
            .iter()
            .filter(|(_, lease)| {
                lease.next_action(&self.own, &self.settings, now) != NextAction::Wait
                    || lease.is_retired
            })
            .map(|(shard, _)| shard.clone())
            .collect();
        for shard in ready {
            self.run_action(&shard, now, effects);
        }
    }

    /// Ends calls that exceed [`CALL_TIMEOUT`] and treats their outcome as unknown.
    fn time_out_calls(&mut self, now: Timestamp) {
        let settings = &self.settings;
        for lease in self.shards.values_mut() {
            let is_timed_out = |call: &PendingCall| now.since(call.sent) >= CALL_TIMEOUT;
            let Some(call) = lease.pending.take_if(|call| is_timed_out(call)) else {
                continue;
            };
            self.calls.remove(&call.call);
            lease.failures = lease.failures.saturating_add(1);
            lease.due = now;
            if let Some(write) = call.write {
                lease.add_unresolved(write, settings, now);
            }
        }
    }

    /// Performs the action that is due for a shard. Removes the shard when it is retired and needs
    /// no further action.
    fn run_action(
        &mut self,
        shard: &FabricDomainId,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Some(lease) = self.shards.get(shard) else {
            return;
        };
        let next = lease.next_action(&self.own, &self.settings, now);
        let may_remove = lease.is_retired && !self.stopping && lease.pending.is_none();
        match next {
            NextAction::Wait if may_remove && !lease.must_read && now >= lease.due => {
                self.shards.remove(shard);
            }
            NextAction::Wait => {}
            NextAction::Read => self.read(shard, now, effects),
            NextAction::Write(purpose) => self.write(shard, purpose, now, effects),
        }
    }

    fn read(&mut self, shard: &FabricDomainId, now: Timestamp, effects: &mut Vec<LeaseEffect>) {
        let request = StoreRequest::Get {
            kind: ObjectKind::Lease,
            name: shard.as_str().into(),
        };
        self.call(shard, request, None, now, effects);
    }

    fn write(
        &mut self,
        shard: &FabricDomainId,
        purpose: WritePurpose,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Some(lease) = self.shards.get(shard) else {
            return;
        };
        let epoch = match purpose {
            WritePurpose::Acquire => lease.epoch.next(),
            WritePurpose::Renew | WritePurpose::Release => lease.epoch,
        };
        self.writes += 1;
        let write_id = WriteId::new(format_compact!(
            "{:016x}-{}-{}",
            self.write_prefix,
            self.own.incarnation,
            self.writes
        ));
        let record = LeaseRecord {
            holder: (purpose != WritePurpose::Release).then(|| self.own.clone()),
            epoch,
            write_id: write_id.clone(),
        };
        let Ok(value) = serde_json::to_string(&record) else {
            return;
        };
        let request = StoreRequest::Put {
            kind: ObjectKind::Lease,
            name: shard.as_str().into(),
            expected: lease.expected_version(),
            write_id,
            value,
        };
        let write = SentWrite {
            purpose,
            record,
            sent: now,
        };
        self.call(shard, request, Some(write), now, effects);
    }

    fn call(
        &mut self,
        shard: &FabricDomainId,
        request: StoreRequest,
        write: Option<SentWrite>,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Some(lease) = self.shards.get_mut(shard) else {
            return;
        };
        self.last_call = self.last_call.next();
        let call = self.last_call;
        lease.pending = Some(PendingCall {
            call,
            sent: now,
            write,
        });
        self.calls.insert(call, shard.clone());
        effects.push(LeaseEffect::Call { call, request });
    }
}

/// Returns the effect that logs a decision about a lease.
pub(crate) fn decision(
    subject: &str,
    choice: &str,
    reason: &str,
    inputs: CompactString,
) -> LeaseEffect {
    LeaseEffect::Decision(DecisionRecord {
        kind: DecisionKind::Lease,
        subject: subject.into(),
        inputs,
        choice: choice.into(),
        reason: reason.into(),
    })
}
