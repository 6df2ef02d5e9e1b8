//! Calls to the platform's store and their outcomes, represented as data.

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
    /// Configuration documents, such as rules and inventories.
    Config,
    /// Placement documents, one per fabric domain.
    Placement,
    /// Control leases, one per shard.
    Lease,
}

impl ObjectKind {
    /// Returns the path element of the kind.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Config => "config",
            ObjectKind::Placement => "placement",
            ObjectKind::Lease => "lease",
        }
    }
}

/// A call to be made to the store.
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
        /// Version that the object must have for the write to take effect.
        expected: ObjectVersion,
        /// Identifies the write. The value must contain it, so that the writer recognizes the write
        /// when reading back.
        write_id: WriteId,
        /// The new value, JSON text.
        value: String,
    },
}

/// Outcome of a store call.
///
/// The client never retries a write: after [`StoreOutcome::Unknown`] the caller must read the
/// object to determine whether the write took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The object as read.
    Found(StoredObject),
    /// The object does not exist.
    Missing,
    /// The write took effect; the object now has this version.
    Written(ObjectVersion),
    /// The object had this version instead of the expected one; the write had no effect.
    Conflict(ObjectVersion),
    /// The store refused the call before it had any effect: outage or exhausted call budget.
    Unavailable,
    /// The connection failed after the call was sent; a write may have taken effect.
    Unknown,
}

/// An object as returned by a read or a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Name of the object, unique within its kind.
    pub name: CompactString,
    /// Version of the object, which changes with every write to it.
    pub version: ObjectVersion,
    /// Position of the object's last write in the store's history.
    pub revision: StoreRevision,
    /// The value, JSON text.
    pub value: String,
}
