//! Claims and their states.

use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::IdempotencyKey;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::BodyFingerprint;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;

use crate::query::StoredResponse;

/// Identity of a claim. It includes the account, so that accounts cannot access each other's keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ClaimKey {
    pub(crate) home: NodeKey,
    pub(crate) account: AccountId,
    pub(crate) key: IdempotencyKey,
}

/// Basis on which this node executes a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GrantOrigin {
    /// This node serves the key's home.
    Home,
    /// The home granted the claim in answer to the query with this call id.
    Call(CallId),
    /// The request is idempotent and is executed without a grant. A grant for the call, if any,
    /// may still arrive.
    Ungranted(Option<CallId>),
}

/// Lifecycle state of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// A request that this node received is being executed.
    Running {
        request: RequestId,
        origin: GrantOrigin,
    },
    /// The home has not given a final answer to the query with this call id. `query` is absent
    /// when the query is no longer resent.
    ///
    /// # Invariants
    ///
    /// This node has dispatched no request for the call, so the home may grant the same call again.
    Open {
        call: CallId,
        query: Option<PendingQuery>,
    },
    /// The home granted the call, and this node has dispatched no request for it.
    Held { call: CallId },
    /// This node serves the home and granted the claim to another node.
    Granted { to: NodeKey, call: CallId },
    /// The request was executed and its complete response is kept.
    Stored(StoredResponse),
    /// No further execution is granted. The verdict of the claim states whether
    /// the request was executed.
    Closed,
}

/// A query to a home that awaits its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingQuery {
    pub(crate) node: NodeKey,
    /// Issue time in the home token.
    pub(crate) issued: Timestamp,
    /// When the query was last sent.
    pub(crate) sent: Timestamp,
    /// When the query is sent again.
    pub(crate) resend_at: Timestamp,
    /// When the home is considered unreachable.
    pub(crate) timeout_at: Timestamp,
}

/// A request that waits for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClaimWaiter {
    pub(crate) request: RequestId,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Timestamp,
}

impl ClaimWaiter {
    /// Whether the request may be executed although one with the same key may have been before.
    pub(crate) fn may_rerun(&self, now: Timestamp) -> bool {
        self.idempotent && now < self.deadline
    }
}

/// State, verdict and waiting requests of one claim.
#[derive(Clone, Debug)]
pub(crate) struct ClaimEntry {
    pub(crate) fingerprint: BodyFingerprint,
    /// Whether the home accepted this fingerprint, so that requests with another one
    /// are not executed.
    pub(crate) is_confirmed: bool,
    pub(crate) state: ClaimState,
    /// Combined verdict of all executions so far. Only [`Verdict::NotRun`] allows the claim
    /// to be released.
    pub(crate) verdict: Verdict,
    pub(crate) waiters: Vec<ClaimWaiter>,
    /// Position in the eviction order; `None` while a request is being executed or waits.
    pub(crate) eviction_position: Option<u64>,
}

impl ClaimEntry {
    pub(crate) fn new(fingerprint: BodyFingerprint, state: ClaimState) -> Self {
        Self {
            fingerprint,
            is_confirmed: false,
            state,
            verdict: Verdict::NotRun,
            waiters: Vec::new(),
            eviction_position: None,
        }
    }
}
