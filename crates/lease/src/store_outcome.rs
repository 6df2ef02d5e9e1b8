//! Handling of the outcomes of store calls.

use compact_str::format_compact;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::event::LeaseEffect;
use crate::event::LeaseRecord;
use crate::shard::HeldLease;
use crate::shard::LeaseObject;
use crate::shard::SentWrite;
use crate::shard::ShardLease;
use crate::shard::WritePurpose;
use crate::table::LeaseTable;
use crate::table::decision;

/// Delay before the first retry of a failed call. It doubles with each further failure, up to
/// the renewal interval.
const MIN_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);
/// Maximum number of doublings, which bounds the shift.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Interval of reads while the holder is not among the live nodes.
const ABSENT_HOLDER_POLL_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Number of consecutive failed calls after which an outage of the store is reported.
const OUTAGE_FAILED_CALLS: u32 = 5;

impl LeaseTable {
    /// Handles the outcome of the pending call of a shard.
    pub(crate) fn handle_call_outcome(
        &mut self,
        shard: &FabricDomainId,
        outcome: StoreOutcome,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Some(lease) = self.shards.get_mut(shard) else {
            return;
        };
        let Some(call) = lease.pending.take() else {
            return;
        };
        let failed = matches!(outcome, StoreOutcome::Unavailable | StoreOutcome::Unknown);
        self.record_availability(failed, effects);
        match call.write {
            None => self.handle_read_outcome(shard, outcome, now, effects),
            Some(write) => self.handle_write_outcome(shard, write, outcome, now, effects),
        }
    }

    fn record_availability(&mut self, failed: bool, effects: &mut Vec<LeaseEffect>) {
        if failed {
            self.store_failures = self.store_failures.saturating_add(1);
            if self.store_failures == OUTAGE_FAILED_CALLS {
                effects.push(decision(
                    "store",
                    "unreachable",
                    "store calls for leases fail; leases expire unless the store recovers in time",
                    format_compact!("failed_calls={OUTAGE_FAILED_CALLS}"),
                ));
            }
            return;
        }
        if self.store_failures >= OUTAGE_FAILED_CALLS {
            effects.push(decision(
                "store",
                "reachable",
                "store calls for leases succeed again",
                format_compact!("failed_calls={}", self.store_failures),
            ));
        }
        self.store_failures = 0;
    }

    /// Schedules the retry of a failed call, with jitter so that the nodes do not all retry at
    /// the same time.
    fn schedule_retry(&mut self, shard: &FabricDomainId, now: Timestamp) {
        let max_delay = self.settings.renew_interval;
        let Some(lease) = self.shards.get_mut(shard) else {
            return;
        };
        let doublings = lease.failures.min(MAX_BACKOFF_DOUBLINGS);
        lease.failures = lease.failures.saturating_add(1);
        let delay = TimeSpan(MIN_RETRY_DELAY.0 << doublings).min(max_delay);
        lease.due = now + self.jitter.around(delay);
    }

    /// Schedules the next poll or renewal after a successful call.
    fn schedule_next(&mut self, shard: &FabricDomainId, now: Timestamp) {
        let Some(lease) = self.shards.get(shard) else {
            return;
        };
        // A holder that left may have released its lease, which frequent polls detect sooner.
        let holder_is_absent = lease
            .recorded_holder()
            .is_some_and(|holder| !self.is_candidate(holder));
        let interval = if lease.held.is_none() && holder_is_absent {
            ABSENT_HOLDER_POLL_INTERVAL
        } else {
            self.settings.renew_interval
        };
        let early = self.jitter.below(TimeSpan(interval.0 / 4));
        let Some(lease) = self.shards.get_mut(shard) else {
            return;
        };
        lease.failures = 0;
        lease.due = match lease.held {
            Some(held) => held.renewed_at + TimeSpan(interval.0 - early.0),
            None if lease.is_retired => now,
            None => now + TimeSpan(interval.0 + interval.0 / 8 - early.0),
        };
    }

    fn handle_read_outcome(
        &mut self,
        shard: &FabricDomainId,
        outcome: StoreOutcome,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Some(lease) = self.shards.get_mut(shard) else {
            return;
        };
        match outcome {
            StoreOutcome::Found(object) => {
                lease.must_read = false;
                self.handle_found(shard, object, now, effects);
                self.schedule_next(shard, now);
            }
            StoreOutcome::Missing => {
                lease.must_read = false;
                lease.record_missing(now);
                self.drop_lease(shard, "the lease object was deleted", effects);
                self.schedule_next(shard, now);
            }
            StoreOutcome::Written(_)
            | StoreOutcome::Conflict(_)
            | StoreOutcome::Unavailable
            | StoreOutcome::Unknown => self.schedule_retry(shard, now),
        }
    }

    fn handle_found(
        &mut self,
        shard: &FabricDomainId,
        object: StoredObject,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Ok(record) = serde_json::from_str::<LeaseRecord>(&object.value) else {
            self.handle_unreadable(shard, object.version, effects);
            return;
        };
        let held_before = self.shards.get(shard).and_then(|lease| lease.held);
        let is_own = record.holder.as_ref() == Some(&self.own);
        let write = self.with_lease(shard, |lease| {
            lease.record_content(object.version, record.clone(), now);
            lease.take_unresolved(&record.write_id)
        });
        if held_before.is_some_and(|held| !is_own || held.epoch != record.epoch) {
            self.drop_lease(shard, "another node acquired the lease", effects);
        }
        if let Some(write) = write.flatten() {
            self.apply_write(shard, write, now, effects);
        }
    }

    fn handle_unreadable(
        &mut self,
        shard: &FabricDomainId,
        version: ObjectVersion,
        effects: &mut Vec<LeaseEffect>,
    ) {
        self.drop_lease(shard, "the lease object cannot be decoded", effects);
        let unreadable = LeaseObject::Unreadable { version };
        let is_new = self.with_lease(shard, |lease| {
            let is_new = lease.object != unreadable;
            lease.object = unreadable;
            is_new
        });
        if is_new == Some(true) {
            effects.push(decision(
                shard.as_str(),
                "unreadable",
                "the lease object cannot be decoded; delete it so that a node can acquire it",
                format_compact!("version={version}"),
            ));
        }
    }

    fn handle_write_outcome(
        &mut self,
        shard: &FabricDomainId,
        write: SentWrite,
        outcome: StoreOutcome,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        match outcome {
            StoreOutcome::Written(version) => {
                let record = write.record.clone();
                self.with_lease(shard, |lease| lease.record_content(version, record, now));
                self.apply_write(shard, write, now, effects);
                self.schedule_next(shard, now);
            }
            StoreOutcome::Conflict(_) => {
                // Another node wrote the object, or an earlier write of this node with unknown
                // outcome took effect late.
                self.with_lease(shard, |lease| {
                    lease.must_read = true;
                    lease.due = now;
                });
            }
            StoreOutcome::Unavailable => self.schedule_retry(shard, now),
            StoreOutcome::Unknown | StoreOutcome::Found(_) | StoreOutcome::Missing => {
                let settings = self.settings.clone();
                self.with_lease(shard, |lease| lease.add_unresolved(write, &settings, now));
                self.schedule_retry(shard, now);
            }
        }
    }

    /// Applies a write of this node that is known to have taken effect. The lease duration counts
    /// from the time before the write was sent.
    fn apply_write(
        &mut self,
        shard: &FabricDomainId,
        write: SentWrite,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let orders_allowed_from = now + self.settings.max_order_flight;
        let is_expired = now >= write.sent + self.settings.duration;
        let Some(lease) = self.shards.get_mut(shard) else {
            return;
        };
        let epoch = write.record.epoch;
        match (write.purpose, lease.held.as_mut()) {
            (WritePurpose::Renew, Some(held)) if held.epoch == epoch => {
                held.renewed_at = held.renewed_at.max(write.sent);
            }
            (WritePurpose::Acquire, None) if !is_expired && !lease.is_retired => {
                lease.held = Some(HeldLease {
                    epoch,
                    renewed_at: write.sent,
                    orders_allowed_from,
                });
                effects.push(LeaseEffect::Acquired {
                    shard: shard.clone(),
                    epoch,
                });
                effects.push(decision(
                    shard.as_str(),
                    "acquired",
                    "the lease had no holder, or its holder did not renew it",
                    format_compact!("epoch={epoch} rank={:?}", lease.rank),
                ));
            }
            (WritePurpose::Release, _) => effects.push(decision(
                shard.as_str(),
                "released",
                "this node released the lease; another node may acquire it immediately",
                format_compact!("epoch={epoch}"),
            )),
            // The result became known after the lease had expired; the node must acquire it again.
            _ => {}
        }
    }

    fn with_lease<T>(
        &mut self,
        shard: &FabricDomainId,
        change: impl FnOnce(&mut ShardLease) -> T,
    ) -> Option<T> {
        self.shards.get_mut(shard).map(change)
    }
}
