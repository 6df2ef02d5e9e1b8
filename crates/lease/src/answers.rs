//! Answers of the store.

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
use crate::shard::KnownLease;
use crate::shard::SentWrite;
use crate::shard::ShardLease;
use crate::shard::WritePurpose;
use crate::table::LeaseTable;
use crate::table::decision;

/// First wait after a failed call; doubles up to the renewal interval.
const RETRY_MIN: TimeSpan = TimeSpan::from_millis(500);
/// Doublings counted at most.
const MAX_DOUBLINGS: u32 = 8;
/// Time between polls while the holder is not among the live nodes.
const GONE_HOLDER_POLL: TimeSpan = TimeSpan::from_secs(1);
/// Failed calls in a row after which the store's outage is reported.
const OUTAGE_FAILURES: u32 = 5;

impl LeaseTable {
    /// A call of the shard was answered.
    pub(crate) fn on_answered(
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
        self.note_store(failed, effects);
        match call.write {
            None => self.on_read(shard, outcome, now, effects),
            Some(write) => self.on_written(shard, write, outcome, now, effects),
        }
    }

    fn note_store(&mut self, failed: bool, effects: &mut Vec<LeaseEffect>) {
        if failed {
            self.store_failures = self.store_failures.saturating_add(1);
            if self.store_failures == OUTAGE_FAILURES {
                effects.push(decision(
                    "store",
                    "unreachable",
                    "calls for leases fail; leases end unless it returns in time",
                    format_compact!("failed_calls={OUTAGE_FAILURES}"),
                ));
            }
            return;
        }
        if self.store_failures >= OUTAGE_FAILURES {
            effects.push(decision(
                "store",
                "reachable",
                "calls for leases are answered again",
                format_compact!("failed_calls={}", self.store_failures),
            ));
        }
        self.store_failures = 0;
    }

    /// Plans the next attempt after a failed call, with jitter so that nodes do not return at once.
    fn back_off(&mut self, shard: &FabricDomainId, now: Timestamp) {
        let longest = self.settings.renew_interval;
        let Some(lease) = self.shards.get_mut(shard) else {
            return;
        };
        let doublings = lease.failures.min(MAX_DOUBLINGS);
        lease.failures = lease.failures.saturating_add(1);
        let wait = TimeSpan(RETRY_MIN.0 << doublings).min(longest);
        lease.due = now + self.jitter.around(wait);
    }

    /// Plans the next poll or renewal after an answered call.
    fn plan_next(&mut self, shard: &FabricDomainId, now: Timestamp) {
        let Some(lease) = self.shards.get(shard) else {
            return;
        };
        // A holder that is gone may have released its lease; the polls find that out sooner.
        let holder_is_gone = lease
            .known_holder()
            .is_some_and(|holder| !self.is_candidate(holder));
        let interval = if lease.held.is_none() && holder_is_gone {
            GONE_HOLDER_POLL
        } else {
            self.settings.renew_interval
        };
        let early = self.jitter.below(TimeSpan(interval.0 / 4));
        let Some(lease) = self.shards.get_mut(shard) else {
            return;
        };
        lease.failures = 0;
        lease.due = match lease.held {
            Some(held) => held.from + TimeSpan(interval.0 - early.0),
            None if lease.retired => now,
            None => now + TimeSpan(interval.0 + interval.0 / 8 - early.0),
        };
    }

    fn on_read(
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
                self.on_found(shard, object, now, effects);
                self.plan_next(shard, now);
            }
            StoreOutcome::Missing => {
                lease.must_read = false;
                lease.note_missing(now);
                self.lose(shard, "its object was deleted", effects);
                self.plan_next(shard, now);
            }
            StoreOutcome::Written(_)
            | StoreOutcome::Conflict(_)
            | StoreOutcome::Unavailable
            | StoreOutcome::Unknown => self.back_off(shard, now),
        }
    }

    fn on_found(
        &mut self,
        shard: &FabricDomainId,
        object: StoredObject,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Ok(record) = serde_json::from_str::<LeaseRecord>(&object.value) else {
            self.on_unreadable(shard, object.version, effects);
            return;
        };
        let own_held = self.shards.get(shard).and_then(|lease| lease.held);
        let is_own = record.holder.as_ref() == Some(&self.own);
        let write = self.with_lease(shard, |lease| {
            lease.note_record(object.version, record.clone(), now);
            lease.take_unresolved(&record.write_id)
        });
        if own_held.is_some_and(|held| !is_own || held.epoch != record.epoch) {
            self.lose(shard, "another node took it over", effects);
        }
        if let Some(write) = write.flatten() {
            self.on_effective(shard, write, now, effects);
        }
    }

    fn on_unreadable(
        &mut self,
        shard: &FabricDomainId,
        version: ObjectVersion,
        effects: &mut Vec<LeaseEffect>,
    ) {
        self.lose(shard, "its object is not a lease", effects);
        let unreadable = KnownLease::Unreadable { version };
        let is_new = self.with_lease(shard, |lease| {
            let is_new = lease.known != unreadable;
            lease.known = unreadable;
            is_new
        });
        if is_new == Some(true) {
            effects.push(decision(
                shard.as_str(),
                "unreadable",
                "the lease object is not a lease; delete it so that a node can take the shard",
                format_compact!("version={version}"),
            ));
        }
    }

    fn on_written(
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
                self.with_lease(shard, |lease| lease.note_record(version, record, now));
                self.on_effective(shard, write, now, effects);
                self.plan_next(shard, now);
            }
            StoreOutcome::Conflict(_) => {
                // Another node wrote, or an own write of unknown outcome took effect late.
                self.with_lease(shard, |lease| {
                    lease.must_read = true;
                    lease.due = now;
                });
            }
            StoreOutcome::Unavailable => self.back_off(shard, now),
            StoreOutcome::Unknown | StoreOutcome::Found(_) | StoreOutcome::Missing => {
                let settings = self.settings.clone();
                self.with_lease(shard, |lease| lease.note_unresolved(write, &settings, now));
                self.back_off(shard, now);
            }
        }
    }

    /// An own write is known to have taken effect; it counts from before it was sent.
    fn on_effective(
        &mut self,
        shard: &FabricDomainId,
        write: SentWrite,
        now: Timestamp,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let orders_allowed_from = now + self.settings.max_order_flight;
        let is_over = now >= write.sent + self.settings.duration;
        let Some(lease) = self.shards.get_mut(shard) else {
            return;
        };
        let epoch = write.record.epoch;
        match (write.purpose, lease.held.as_mut()) {
            (WritePurpose::Renew, Some(held)) if held.epoch == epoch => {
                held.from = held.from.max(write.sent);
            }
            (WritePurpose::Acquire, None) if !is_over && !lease.retired => {
                lease.held = Some(HeldLease {
                    epoch,
                    from: write.sent,
                    orders_allowed_from,
                });
                effects.push(LeaseEffect::Acquired {
                    shard: shard.clone(),
                    epoch,
                });
                effects.push(decision(
                    shard.as_str(),
                    "acquired",
                    "the lease was free or its holder did not renew it",
                    format_compact!("epoch={epoch} rank={:?}", lease.rank),
                ));
            }
            (WritePurpose::Release, _) => effects.push(decision(
                shard.as_str(),
                "released",
                "another node may take the lease at once",
                format_compact!("epoch={epoch}"),
            )),
            // Known too late: the lease has ended, and the node acquires it anew.
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
