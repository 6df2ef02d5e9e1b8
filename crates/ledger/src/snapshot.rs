//! The state of a ledger as handed over to a successor.

use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::IdempotencyKey;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::BodyFingerprint;
use jaysaddle_types::units::Timestamp;

use crate::query::StoredResponse;

/// All claims of one home.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerSnapshot {
    /// Node run whose claims these are.
    pub home: NodeKey,
    /// Tokens issued before this, on the home's clock, are not covered.
    pub covered_from: Timestamp,
    /// Time of the export on the home's clock.
    pub home_now: Timestamp,
    /// The claims.
    pub entries: Vec<SnapshotEntry>,
}

/// One claim.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotEntry {
    /// Account.
    pub account: AccountId,
    /// Key.
    pub key: IdempotencyKey,
    /// Fingerprint of target and body.
    pub fingerprint: BodyFingerprint,
    /// What is known of the claim.
    pub state: SnapshotState,
}

/// What is known of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum SnapshotState {
    /// The request ran; this is its answer.
    Stored(StoredResponse),
    /// The request may have run.
    MayHaveRun,
    /// The claim was granted to another node.
    Granted {
        /// The node run that may have run it.
        to: NodeKey,
    },
}
