//! Inputs and outputs of the lease.

use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;

/// Content of the lease object in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The holding node; `None` after a resignation.
    pub holder: Option<NodeId>,
    /// Raised at every acquisition.
    pub term: LeaseEpoch,
    /// Number of the write at its node. It makes contents unique, so that a write can be recognized even if its
    /// response was lost.
    pub write_number: u64,
}

/// The lease as its holder announces it in heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseClaim {
    /// Term under which the peer holds the lease.
    pub term: LeaseEpoch,
    /// Version of the lease object after the last renewal.
    pub version: ObjectVersion,
    /// Remaining validity without a further renewal.
    pub remaining: TimeSpan,
}

/// Handover of the lease from its holder to a successor while the store is unreachable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHandover {
    /// The only run of a node that may accept the lease.
    pub successor: NodeKey,
    /// The lease that the holder gives up. Its validity continues to run out, and the successor's term follows its term.
    pub claim: LeaseClaim,
}

impl LeaseHandover {
    /// The handover as it is after `elapsed`; `None` once the lease that it hands over would have expired.
    pub fn after(&self, elapsed: TimeSpan) -> Option<Self> {
        let remaining = self.claim.remaining.0.checked_sub(elapsed.0)?;
        let claim = LeaseClaim {
            remaining: TimeSpan(remaining),
            ..self.claim
        };
        (remaining > 0).then(|| Self {
            claim,
            ..self.clone()
        })
    }
}

/// Result of a write to the lease object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseWrite {
    /// The write was applied.
    Done {
        /// Version of the object after the write.
        version: ObjectVersion,
    },
    /// The object does not have the expected version.
    Conflict,
    /// The write was rejected or could not be sent; the object is unchanged.
    NotWritten,
    /// No response; the write may have been applied, or may still be.
    Unknown,
}

/// Input of [`LeaseState::step`](crate::lease::LeaseState::step).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Periodic tick, which drives renewals and acquisition attempts.
    Tick {
        /// Number of live candidates that precede this node as the next holder.
        rank: u32,
        /// Whether the store is unreachable for this node and most of its peers. No other node can acquire the
        /// lease in that case.
        is_store_unreachable: bool,
    },
    /// A peer's heartbeat claims the lease.
    Claimed(LeaseClaim),
    /// The lease object was read; `None` if it does not exist.
    Read(Option<(ObjectVersion, LeaseRecord)>),
    /// The read failed or its response could not be decoded.
    ReadFailed,
    /// A write completed.
    Written(LeaseWrite),
    /// A term was seen outside of the lease object. A holder of an earlier one gives the lease up.
    TermSeen(LeaseEpoch),
    /// The store has come back from an older copy. All versions and calls in flight are void.
    StoreRestored,
    /// This node shuts down and releases the lease in the store.
    Resign,
    /// This node releases the lease in the store because it cannot do the controller's work at the moment.
    Release,
    /// This node shuts down while the store is unreachable, and announces the result of [`LeaseState::handover`](crate::lease::LeaseState::handover).
    HandOver,
    /// A holder that shuts down has announced its successor.
    HandoverReceived {
        /// The announced handover; ignored unless it names this run of this node.
        handover: LeaseHandover,
        /// Whether the store is unreachable for this node and most of its peers; if not, the handover is ignored.
        is_store_unreachable: bool,
    },
}

/// Output of [`LeaseState::step`](crate::lease::LeaseState::step), to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Read the lease object.
    Read,
    /// Write the lease object conditionally.
    Write {
        /// Version that the object must have; `None` creates it.
        version: Option<ObjectVersion>,
        /// New content of the object.
        record: LeaseRecord,
    },
    /// This node has acquired the lease through the store.
    Acquired(LeaseEpoch),
    /// This node has accepted a lease that another node handed over, and holds it under a new term.
    HandoverAccepted(LeaseEpoch),
    /// This node no longer holds the lease.
    Lost,
}
