//! Questions to the ledger and its answers.

use std::sync::Arc;

use compact_str::CompactString;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::IdempotencyKey;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::BodyFingerprint;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::RequestRefusal;

/// A request that claims its key.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimQuery {
    /// The request.
    pub request: RequestId,
    /// Its account.
    pub account: AccountId,
    /// Its key.
    pub key: IdempotencyKey,
    /// Home that the caller named.
    pub home: Option<HomeToken>,
    /// Fingerprint of target and body.
    pub fingerprint: BodyFingerprint,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// A whole answer as kept for repeated requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: CompactString,
    /// Body.
    pub body: Arc<[u8]>,
}

/// What becomes of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The request may run; it must be finished once.
    Granted,
    /// The request ran before; this is its answer.
    Stored(StoredResponse),
    /// The request runs now, or its home is asked; a [`LedgerEffect::Resolved`] follows.
    Waiting,
    /// The request is refused, with the verdict that holds.
    Refused(RequestRefusal),
}

/// Question to the home of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerQuery {
    /// Matches the answer.
    pub call: CallId,
    /// Account.
    pub account: AccountId,
    /// Key.
    pub key: IdempotencyKey,
    /// Fingerprint of target and body.
    pub fingerprint: BodyFingerprint,
    /// Home token that the caller named.
    pub home: HomeToken,
}

/// Answer of the home.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAnswer {
    /// The key was unknown; it is closed at the home and granted to the asking node.
    Granted,
    /// The request ran; this is its answer.
    Stored(StoredResponse),
    /// The request runs now.
    Running,
    /// The request may have run.
    MayHaveRun,
    /// The token is older than what the ledger covers.
    Expired,
    /// The key was used with another body.
    Conflict,
}

/// What the ledger wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerEffect {
    /// Ask the node that holds the key's claim.
    SendQuery {
        /// The node.
        node: NodeKey,
        /// The question.
        query: LedgerQuery,
    },
    /// A waiting claim is resolved; the outcome is never [`ClaimOutcome::Waiting`].
    Resolved {
        /// The request.
        request: RequestId,
        /// What becomes of it.
        outcome: ClaimOutcome,
    },
}
