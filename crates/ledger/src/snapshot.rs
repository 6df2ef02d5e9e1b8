//! State of a ledger that is handed over to a successor.

use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::IdempotencyKey;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::BodyFingerprint;
use jaysaddle_types::units::Timestamp;

use crate::query::StoredResponse;

/// All claims that one home has recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerSnapshot {
    /// Node incarnation that recorded the claims.
    pub home: NodeKey,
    /// Home tokens issued before this time, on the home's clock, are not covered.
    pub covered_from: Timestamp,
    /// Time of the export on the home's clock.
    pub home_now: Timestamp,
    /// Claims, ordered by account and key.
    pub entries: Vec<SnapshotEntry>,
}

/// A claim as it is handed over.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotEntry {
    /// Client account that the key belongs to.
    pub account: AccountId,
    /// Idempotency key that was claimed.
    pub key: IdempotencyKey,
    /// Fingerprint of target and body of the request that claimed the key.
    pub fingerprint: BodyFingerprint,
    /// State of the claim as recorded by the home.
    pub state: SnapshotState,
}

/// State of a claim in a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub enum SnapshotState {
    /// The request was executed; its response is replayed.
    Stored(StoredResponse),
    /// The request may have been executed.
    MayHaveRun,
    /// The home granted the claim to another node.
    Granted {
        /// Node incarnation that may have executed the request.
        to: NodeKey,
    },
}
