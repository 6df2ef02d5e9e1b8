//! State of one shard's lease on this node.

use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::WriteId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::event::LeaseRecord;
use crate::event::ShardLocation;
use crate::settings::LeaseSettings;

/// Maximum number of remembered writes with unknown outcome; leases of older writes have expired.
const MAX_UNRESOLVED_WRITES: usize = 8;

/// Lease object in the store, as last read or written.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LeaseObject {
    /// This node has not read the object yet.
    Unread,
    /// The object does not exist.
    Missing {
        /// Time at which this node first observed that the object is missing.
        since: Timestamp,
    },
    /// The object contains a lease.
    Record {
        /// Version of the object, for conditional writes.
        version: ObjectVersion,
        /// Holder, epoch and write id.
        record: LeaseRecord,
        /// When this node first saw this version, on its own clock. The version
        /// was written earlier.
        since: Timestamp,
    },
    /// The object cannot be decoded. It is never overwritten, because its epoch is unknown and the
    /// epoch must not decrease.
    Unreadable {
        /// Version of the object, for reports.
        version: ObjectVersion,
    },
}

/// Purpose of a write to the lease object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WritePurpose {
    /// Become the holder with a new epoch.
    Acquire,
    /// Extend the lease with the same epoch.
    Renew,
    /// Remove this node as the holder.
    Release,
}

/// A write that was sent to the store.
#[derive(Clone, Debug)]
pub(crate) struct SentWrite {
    /// How the lease changes once the write has taken effect.
    pub(crate) purpose: WritePurpose,
    /// New content of the lease object.
    pub(crate) record: LeaseRecord,
    /// Time just before the write was sent, from which the lease duration counts.
    pub(crate) sent: Timestamp,
}

/// A store call that is in flight.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    /// Id that matches the outcome to the call.
    pub(crate) call: CallId,
    /// When the call was sent, for its timeout.
    pub(crate) sent: Timestamp,
    /// The write that was sent; absent for a read.
    pub(crate) write: Option<SentWrite>,
}

/// A lease that this node holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
    /// Fencing token of the acquisition.
    pub(crate) epoch: LeaseEpoch,
    /// When the last write that is known to have taken effect was sent.
    pub(crate) renewed_at: Timestamp,
    /// Earliest time at which orders may be sent to engines that ignore fencing tokens.
    pub(crate) orders_allowed_from: Timestamp,
}

impl HeldLease {
    /// Returns the time from which the lease is no longer valid.
    pub(crate) fn expiry(&self, settings: &LeaseSettings) -> Timestamp {
        self.renewed_at + settings.duration
    }
}

/// Next action for a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextAction {
    /// Do nothing at present.
    Wait,
    /// Read the lease object.
    Read,
    /// Write the lease object for this purpose.
    Write(WritePurpose),
}

/// Lease of one shard: the object as last seen, and this node's role.
///
/// # Invariants
///
/// At most one store call is in flight. `held` is set only after a write of this node is known to
/// have taken effect. Once the lease has expired, `held` is cleared before any other effect.
#[derive(Clone, Debug)]
pub(crate) struct ShardLease {
    /// Shard that the lease controls, and its region.
    pub(crate) location: ShardLocation,
    /// Rank of this node among the candidates; absent when it does not poll the lease.
    pub(crate) rank: Option<usize>,
    /// Whether the shard was removed or this node stops, so that the lease is only released.
    pub(crate) is_retired: bool,
    /// Lease object as last read or written.
    pub(crate) object: LeaseObject,
    /// Present while this node holds the lease.
    pub(crate) held: Option<HeldLease>,
    /// Store call that is in flight.
    pub(crate) pending: Option<PendingCall>,
    /// Writes with unknown outcome, which may still take effect.
    pub(crate) unresolved: Vec<SentWrite>,
    /// Whether the object must be read before the next write, because it may have changed.
    pub(crate) must_read: bool,
    /// Time of the next poll, renewal or retry.
    pub(crate) due: Timestamp,
    /// Number of consecutive failed calls for this shard.
    pub(crate) failures: u32,
    /// Highest epoch seen; the next acquisition uses a higher one.
    pub(crate) epoch: LeaseEpoch,
}

impl ShardLease {
    /// Creates the state of a lease that is first read at `due`.
    pub(crate) fn new(location: ShardLocation, due: Timestamp) -> Self {
        Self {
            location,
            rank: None,
            is_retired: false,
            object: LeaseObject::Unread,
            held: None,
            pending: None,
            unresolved: Vec::new(),
            must_read: false,
            due,
            failures: 0,
            epoch: LeaseEpoch(0),
        }
    }

    /// Returns the holder according to the lease object.
    pub(crate) fn recorded_holder(&self) -> Option<&NodeKey> {
        match &self.object {
            LeaseObject::Record { record, .. } => record.holder.as_ref(),
            _ => None,
        }
    }

    /// Returns the version that the next conditional write expects.
    pub(crate) fn expected_version(&self) -> ObjectVersion {
        match &self.object {
            LeaseObject::Record { version, .. } | LeaseObject::Unreadable { version } => *version,
            LeaseObject::Missing { .. } | LeaseObject::Unread => ObjectVersion(0),
        }
    }

    /// Returns the action that is due at `now`.
    pub(crate) fn next_action(
        &self,
        own: &NodeKey,
        settings: &LeaseSettings,
        now: Timestamp,
    ) -> NextAction {
        if self.pending.is_some() {
            return NextAction::Wait;
        }
        let takeover = self.takeover_at(own, settings);
        let is_due = now >= self.due;
        let may_take_over = self.failures == 0 && takeover.is_some_and(|at| now >= at);
        if !is_due && (self.must_read || self.held.is_some() || !may_take_over) {
            return NextAction::Wait;
        }
        if self.must_read {
            return NextAction::Read;
        }
        if self.held.is_some() {
            return NextAction::Write(WritePurpose::Renew);
        }
        if self.is_retired {
            return self.release_action(own);
        }
        match takeover {
            _ if self.rank.is_none() => NextAction::Wait,
            Some(at) if now >= at => NextAction::Write(WritePurpose::Acquire),
            _ => NextAction::Read,
        }
    }

    fn release_action(&self, own: &NodeKey) -> NextAction {
        if self.recorded_holder() == Some(own) {
            NextAction::Write(WritePurpose::Release)
        } else {
            NextAction::Wait
        }
    }

    /// Returns when this node may acquire the lease, provided that the object does
    /// not change before.
    ///
    /// The wait also covers a holder that was paused: the holder counts its lease from before its
    /// write, and this node counts from when it saw that write, which is later. This holds while
    /// the clocks drift apart by less than `takeover_margin` within `duration`.
    pub(crate) fn takeover_at(&self, own: &NodeKey, settings: &LeaseSettings) -> Option<Timestamp> {
        if self.is_retired || self.held.is_some() {
            return None;
        }
        let rank = self.rank?;
        let rank_wait = TimeSpan(settings.rank_delay.0.saturating_mul(rank as u64));
        let expiry_wait = TimeSpan(settings.duration.0 + settings.takeover_margin.0);
        match &self.object {
            LeaseObject::Unread | LeaseObject::Unreadable { .. } => None,
            // A node may still hold a lease whose object was deleted.
            LeaseObject::Missing { since } if self.epoch > LeaseEpoch(0) => {
                Some(*since + expiry_wait + rank_wait)
            }
            LeaseObject::Missing { since } => Some(*since + rank_wait),
            LeaseObject::Record { record, since, .. } => match &record.holder {
                None => Some(*since + rank_wait),
                // Only this process can hold the lease of this incarnation.
                Some(holder) if holder == own => Some(*since),
                Some(_) => Some(*since + expiry_wait + rank_wait),
            },
        }
    }

    /// Records the object as read or written. If the version is recorded already, the time at which
    /// it was first seen does not change.
    pub(crate) fn record_content(
        &mut self,
        version: ObjectVersion,
        record: LeaseRecord,
        now: Timestamp,
    ) {
        self.epoch = self.epoch.max(record.epoch);
        let since = match &self.object {
            LeaseObject::Record {
                version: recorded,
                since,
                ..
            } if *recorded == version => *since,
            _ => now,
        };
        self.object = LeaseObject::Record {
            version,
            record,
            since,
        };
    }

    /// Records that the object does not exist.
    pub(crate) fn record_missing(&mut self, now: Timestamp) {
        if !matches!(self.object, LeaseObject::Missing { .. }) {
            self.object = LeaseObject::Missing { since: now };
        }
    }

    /// Records a write with unknown outcome, which may also take effect later.
    pub(crate) fn add_unresolved(
        &mut self,
        write: SentWrite,
        settings: &LeaseSettings,
        now: Timestamp,
    ) {
        self.must_read = true;
        self.unresolved
            .retain(|old| now < old.sent + settings.duration);
        if self.unresolved.len() >= MAX_UNRESOLVED_WRITES {
            self.unresolved.remove(0);
        }
        self.unresolved.push(write);
    }

    /// Removes and returns the write with unknown outcome that has this id.
    pub(crate) fn take_unresolved(&mut self, write_id: &WriteId) -> Option<SentWrite> {
        let index = self
            .unresolved
            .iter()
            .position(|write| write.record.write_id == *write_id)?;
        Some(self.unresolved.swap_remove(index))
    }
}
