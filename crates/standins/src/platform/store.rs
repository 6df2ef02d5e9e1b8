//! Versioned objects, rate limits and the lagging list of VMs.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::RequestRate;
use serde::Deserialize;
use serde::Serialize;

/// Counters of calls, as returned by `GET /control/stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Reads of single objects.
    pub reads: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Watches, including those answered immediately.
    pub watches: u64,
    /// Writes refused because of a version conflict.
    pub conflicts: u64,
    /// Reads of the list of VMs.
    pub lists: u64,
    /// Calls refused because a rate limit was exceeded.
    pub over_budget: u64,
    /// Writes whose response was lost because of a fault.
    pub lost_answers: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The write took effect; holds the new version.
    Written(ObjectVersion),
    /// The expected version did not match; holds the current version.
    Conflict(ObjectVersion),
}

/// Table of all objects, keyed by kind and name.
///
/// # Invariants
///
/// `revision` is the highest revision of any object and increases with each write.
#[derive(Debug, Default)]
pub(crate) struct ObjectTable {
    objects: BTreeMap<(CompactString, CompactString), StoredObject>,
    revision: StoreRevision,
}

impl ObjectTable {
    pub(crate) fn revision(&self) -> StoreRevision {
        self.revision
    }

    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        self.objects.get(&(kind.into(), name.into()))
    }

    pub(crate) fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: ObjectVersion,
        value: String,
    ) -> WriteOutcome {
        let key = (CompactString::from(kind), CompactString::from(name));
        let current = self
            .objects
            .get(&key)
            .map_or(ObjectVersion(0), |object| object.version);
        if current != expected {
            return WriteOutcome::Conflict(current);
        }
        self.revision = self.revision.next();
        let object = StoredObject {
            name: name.into(),
            version: current.next(),
            revision: self.revision,
            value,
        };
        let version = object.version;
        self.objects.insert(key, object);
        WriteOutcome::Written(version)
    }

    /// Returns the objects of `kind` written after `after`, oldest write first.
    pub(crate) fn written_after(&self, kind: &str, after: StoreRevision) -> Vec<StoredObject> {
        let mut written: Vec<StoredObject> = self
            .objects
            .iter()
            .filter(|((object_kind, _), object)| object_kind == kind && object.revision > after)
            .map(|(_, object)| object.clone())
            .collect();
        written.sort_by_key(|object| object.revision);
        written
    }
}

/// Token bucket with a capacity of one second of calls.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    available: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub(crate) fn new(rate: RequestRate) -> Self {
        // Rates far below 2^52 convert without loss.
        let per_second = rate.0 as f64;
        Self {
            per_second,
            available: per_second,
            refilled_at: Instant::now(),
        }
    }

    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.available = (self.available + refill).min(self.per_second);
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// List of VMs whose updates become visible after a lag.
#[derive(Debug)]
pub(crate) struct LaggingList {
    lag: Duration,
    visible: Vec<ListedVm>,
    pending: VecDeque<(Instant, Vec<ListedVm>)>,
}

impl LaggingList {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            visible: Vec::new(),
            pending: VecDeque::new(),
        }
    }

    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(crate) fn set(&mut self, now: Instant, vms: Vec<ListedVm>) {
        self.pending.push_back((now, vms));
    }

    pub(crate) fn read(&mut self, now: Instant) -> &[ListedVm] {
        while let Some((set, _)) = self.pending.front() {
            if now.duration_since(*set) < self.lag {
                break;
            }
            if let Some((_, vms)) = self.pending.pop_front() {
                self.visible = vms;
            }
        }
        &self.visible
    }
}
