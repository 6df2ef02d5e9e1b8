//! Claims and queries to the ledger, and their outcomes.

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

/// Claim of an idempotency key by a request that this node received.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimQuery {
    /// Id under which the request is resolved and its end is recorded.
    pub request: RequestId,
    /// Client account that the key belongs to.
    pub account: AccountId,
    /// Idempotency key, unique within the account and home.
    pub key: IdempotencyKey,
    /// Home token that the caller sent; absent if it sent none.
    pub home: Option<HomeToken>,
    /// Fingerprint of target and body; a key must not be reused with another one.
    pub fingerprint: BodyFingerprint,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Time at which the request is refused if it still waits.
    pub deadline: Timestamp,
}

/// Complete response to a request, kept to be replayed to caller retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: CompactString,
    /// Complete response body.
    pub body: Arc<[u8]>,
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The request may be executed. Its end must be recorded exactly once.
    Granted,
    /// A request with this key was executed before; its response is replayed.
    Stored(StoredResponse),
    /// A request with this key is being executed, or the home is being queried. A
    /// [`LedgerEffect::Resolved`] follows.
    Waiting,
    /// The request is refused, with the verdict on its key.
    Refused(RequestRefusal),
}

/// Query to the node that serves a key's home.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerQuery {
    /// Id that matches the answer to the query; resends of a query reuse it.
    pub call: CallId,
    /// Client account that the key belongs to.
    pub account: AccountId,
    /// Idempotency key that is claimed.
    pub key: IdempotencyKey,
    /// Fingerprint of target and body, compared with the one of the recorded claim.
    pub fingerprint: BodyFingerprint,
    /// Home token that the caller sent.
    pub home: HomeToken,
}

/// Answer to a [`LedgerQuery`].
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAnswer {
    /// The claim is granted to the querying node; the home grants it to no other.
    Granted,
    /// The request was executed; its response is replayed.
    Stored(StoredResponse),
    /// The request is being executed.
    Running,
    /// The request may have been executed.
    MayHaveRun,
    /// The home token was issued before the period that the ledger covers.
    Expired,
    /// The key was used with another fingerprint.
    Conflict,
}

/// Action that the ledger requests, or outcome that it reports.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerEffect {
    /// Send a query to the node that serves the key's home.
    SendQuery {
        /// Node incarnation that serves the home.
        node: NodeKey,
        /// Query to send; its answer goes to [`RequestLedger::record_answer`].
        ///
        /// [`RequestLedger::record_answer`]: crate::RequestLedger::record_answer
        query: LedgerQuery,
    },
    /// A waiting claim is resolved; the outcome is never [`ClaimOutcome::Waiting`].
    Resolved {
        /// Request whose claim returned [`ClaimOutcome::Waiting`].
        request: RequestId,
        /// Final outcome of the claim.
        outcome: ClaimOutcome,
    },
}
