//! Calls to the platform's store and their outcomes, as data.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::ObjectVersion;
use crate::ids::StoreRevision;
use crate::ids::WriteId;

/// Kind of an object in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// Configuration documents.
    Config,
    /// Placement documents, one per fabric domain.
    Placement,
    /// Control leases, one per shard.
    Lease,
}

impl ObjectKind {
    /// The path element of the kind.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Config => "config",
            ObjectKind::Placement => "placement",
            ObjectKind::Lease => "lease",
        }
    }
}

/// A call that a part wants made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads one object.
    Get {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: CompactString,
    },
    /// Writes one object if its version is still `expected`; version 0 creates it.
    Put {
        /// Kind of the object.
        kind: ObjectKind,
        /// Name of the object.
        name: CompactString,
        /// Version that the object must have.
        expected: ObjectVersion,
        /// Marks the write. The value must contain it, so that reading back can recognise it.
        write_id: WriteId,
        /// The new value, JSON text.
        value: String,
    },
}

/// What came of a call.
///
/// The client never retries a write: after [`StoreOutcome::Unknown`] the caller reads back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The object as read.
    Found(StoredObject),
    /// There is no such object.
    Missing,
    /// The write took effect.
    Written(ObjectVersion),
    /// The version was another one; the write had no effect.
    Conflict(ObjectVersion),
    /// The store refused the call before any effect: outage or exhausted call budget.
    Unavailable,
    /// The connection failed after the call was sent; a write may have taken effect.
    Unknown,
}

/// An object as read or watched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Name within its kind.
    pub name: CompactString,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Position of its last write in the store's history.
    pub revision: StoreRevision,
    /// The value, JSON text.
    pub value: String,
}
