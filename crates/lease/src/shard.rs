//! What this node knows of one shard's lease.

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

/// Writes with unknown outcome that are remembered; older ones have expired.
const MAX_UNRESOLVED: usize = 8;

/// The lease object as last seen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum KnownLease {
    /// Not read yet.
    Unread,
    /// It does not exist.
    Missing {
        /// Since when this node has seen that.
        since: Timestamp,
    },
    /// It exists.
    Record {
        /// Its version.
        version: ObjectVersion,
        /// Its content.
        record: LeaseRecord,
        /// When this node first saw this version, on its own clock. The write came before.
        since: Timestamp,
    },
    /// It exists, but its content is not a lease. It is never overwritten, because its epoch is not
    /// known.
    Unreadable {
        /// Its version.
        version: ObjectVersion,
    },
}

/// What a write is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WritePurpose {
    /// Become the holder with a new epoch.
    Acquire,
    /// Extend the lease.
    Renew,
    /// Give the lease up.
    Release,
}

/// A write that was sent.
#[derive(Clone, Debug)]
pub(crate) struct SentWrite {
    /// Its purpose.
    pub(crate) purpose: WritePurpose,
    /// Its content.
    pub(crate) record: LeaseRecord,
    /// Time before it was sent; a lease counts from here.
    pub(crate) sent: Timestamp,
}

/// A call without an answer.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    /// Its id.
    pub(crate) call: CallId,
    /// When it was sent.
    pub(crate) sent: Timestamp,
    /// The write, or nothing for a read.
    pub(crate) write: Option<SentWrite>,
}

/// A lease that this node holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
    /// Fencing token.
    pub(crate) epoch: LeaseEpoch,
    /// When the last renewal known to have taken effect was sent.
    pub(crate) from: Timestamp,
    /// Earliest time of orders to engines that ignore fencing tokens.
    pub(crate) orders_allowed_from: Timestamp,
}

impl HeldLease {
    /// First moment at which the lease no longer holds.
    pub(crate) fn ends(&self, settings: &LeaseSettings) -> Timestamp {
        self.from + settings.duration
    }
}

/// The next thing to do for a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextMove {
    /// Nothing now.
    Wait,
    /// Read the lease object.
    Read,
    /// Write it.
    Write(WritePurpose),
}

/// One shard.
///
/// # Invariants
///
/// At most one call is under way. `held` is set only after an own write is known to have taken
/// effect, and cleared before any other effect once its time has passed.
#[derive(Clone, Debug)]
pub(crate) struct ShardLease {
    /// The shard.
    pub(crate) place: ShardLocation,
    /// Rank of this node; absent when it is not among the candidates that poll.
    pub(crate) rank: Option<usize>,
    /// Whether the shard was removed or this node stops: only give the lease up.
    pub(crate) retired: bool,
    /// The object as last seen.
    pub(crate) known: KnownLease,
    /// Set while this node holds the lease.
    pub(crate) held: Option<HeldLease>,
    /// The call under way.
    pub(crate) pending: Option<PendingCall>,
    /// Writes whose outcome is not known.
    pub(crate) unresolved: Vec<SentWrite>,
    /// Whether the object must be read before the next write.
    pub(crate) must_read: bool,
    /// Time of the next poll, renewal or retry.
    pub(crate) due: Timestamp,
    /// Failed calls in a row.
    pub(crate) failures: u32,
    /// Highest epoch seen.
    pub(crate) epoch: LeaseEpoch,
}

impl ShardLease {
    /// Starts with a read at `due`.
    pub(crate) fn new(place: ShardLocation, due: Timestamp) -> Self {
        Self {
            place,
            rank: None,
            retired: false,
            known: KnownLease::Unread,
            held: None,
            pending: None,
            unresolved: Vec::new(),
            must_read: false,
            due,
            failures: 0,
            epoch: LeaseEpoch(0),
        }
    }

    /// Holder named by the object.
    pub(crate) fn known_holder(&self) -> Option<&NodeKey> {
        match &self.known {
            KnownLease::Record { record, .. } => record.holder.as_ref(),
            _ => None,
        }
    }

    /// Version that the next write must find.
    pub(crate) fn expected_version(&self) -> ObjectVersion {
        match &self.known {
            KnownLease::Record { version, .. } | KnownLease::Unreadable { version } => *version,
            KnownLease::Missing { .. } | KnownLease::Unread => ObjectVersion(0),
        }
    }

    /// The next thing to do at `now`.
    pub(crate) fn next_move(
        &self,
        own: &NodeKey,
        settings: &LeaseSettings,
        now: Timestamp,
    ) -> NextMove {
        if self.pending.is_some() {
            return NextMove::Wait;
        }
        let takeover = self.takeover_at(own, settings);
        let is_due = now >= self.due;
        let may_take = self.failures == 0 && takeover.is_some_and(|at| now >= at);
        if !is_due && (self.must_read || self.held.is_some() || !may_take) {
            return NextMove::Wait;
        }
        if self.must_read {
            return NextMove::Read;
        }
        if self.held.is_some() {
            return NextMove::Write(WritePurpose::Renew);
        }
        if self.retired {
            return self.release_move(own);
        }
        match takeover {
            _ if self.rank.is_none() => NextMove::Wait,
            Some(at) if now >= at => NextMove::Write(WritePurpose::Acquire),
            _ => NextMove::Read,
        }
    }

    fn release_move(&self, own: &NodeKey) -> NextMove {
        if self.known_holder() == Some(own) {
            NextMove::Write(WritePurpose::Release)
        } else {
            NextMove::Wait
        }
    }

    /// When this node may take the lease, if the object does not change before. A holder that was
    /// paused counts its lease from before its write, which this node saw later, so the wait covers
    /// it while the clocks' rates differ by less than `takeover_margin` in `duration`.
    pub(crate) fn takeover_at(&self, own: &NodeKey, settings: &LeaseSettings) -> Option<Timestamp> {
        if self.retired || self.held.is_some() {
            return None;
        }
        let rank = self.rank?;
        let ranked = TimeSpan(settings.rank_delay.0.saturating_mul(rank as u64));
        let silent = TimeSpan(settings.duration.0 + settings.takeover_margin.0);
        match &self.known {
            KnownLease::Unread | KnownLease::Unreadable { .. } => None,
            // An object that was deleted may still have a holder.
            KnownLease::Missing { since } if self.epoch > LeaseEpoch(0) => {
                Some(*since + silent + ranked)
            }
            KnownLease::Missing { since } => Some(*since + ranked),
            KnownLease::Record { record, since, .. } => match &record.holder {
                None => Some(*since + ranked),
                // No other process can hold the lease of this run of this node.
                Some(holder) if holder == own => Some(*since),
                Some(_) => Some(*since + silent + ranked),
            },
        }
    }

    /// Notes the object as read or written. The time of a version that is already known stays.
    pub(crate) fn note_record(
        &mut self,
        version: ObjectVersion,
        record: LeaseRecord,
        now: Timestamp,
    ) {
        self.epoch = self.epoch.max(record.epoch);
        let since = match &self.known {
            KnownLease::Record {
                version: known,
                since,
                ..
            } if *known == version => *since,
            _ => now,
        };
        self.known = KnownLease::Record {
            version,
            record,
            since,
        };
    }

    /// Notes that the object does not exist.
    pub(crate) fn note_missing(&mut self, now: Timestamp) {
        if !matches!(self.known, KnownLease::Missing { .. }) {
            self.known = KnownLease::Missing { since: now };
        }
    }

    /// Remembers a write whose outcome is unknown; it may also take effect later.
    pub(crate) fn note_unresolved(
        &mut self,
        write: SentWrite,
        settings: &LeaseSettings,
        now: Timestamp,
    ) {
        self.must_read = true;
        self.unresolved
            .retain(|old| now < old.sent + settings.duration);
        if self.unresolved.len() >= MAX_UNRESOLVED {
            self.unresolved.remove(0);
        }
        self.unresolved.push(write);
    }

    /// Removes and returns the unresolved write with this id.
    pub(crate) fn take_unresolved(&mut self, write_id: &WriteId) -> Option<SentWrite> {
        let index = self
            .unresolved
            .iter()
            .position(|write| write.record.write_id == *write_id)?;
        Some(self.unresolved.swap_remove(index))
    }
}
