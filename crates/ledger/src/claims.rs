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

/// Identity of a claim. The account is part of it, so another account's keys are out of reach.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ClaimKey {
    pub(crate) home: NodeKey,
    pub(crate) account: AccountId,
    pub(crate) key: IdempotencyKey,
}

/// Why a node may run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GrantOrigin {
    /// The node answers for the home.
    Home,
    /// The home granted it in this call.
    Call(CallId),
    /// The request is idempotent and runs without a grant; the call, if any, is still open.
    Ungranted(Option<CallId>),
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// A request of this node runs.
    Running {
        request: RequestId,
        origin: GrantOrigin,
    },
    /// The home has not given a final answer to the call.
    ///
    /// # Invariants
    ///
    /// This node has dispatched nothing for the call, so the home may grant the same call again.
    Asked { call: CallId, ask: Option<OpenAsk> },
    /// The home granted the call, and this node has dispatched nothing.
    Held { call: CallId },
    /// This node answers for the home and granted the claim to another node run.
    Granted { to: NodeKey, call: CallId },
    /// The request ran; this is its answer.
    Stored(StoredResponse),
    /// The request may have run; the claim's verdict says how certain that is.
    Closed,
}

/// A question that waits for its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenAsk {
    pub(crate) node: NodeKey,
    /// Issue time in the home token.
    pub(crate) issued: Timestamp,
    /// When the question was last sent.
    pub(crate) sent: Timestamp,
    /// When the question is sent again.
    pub(crate) resend: Timestamp,
    /// When the home counts as unreachable.
    pub(crate) give_up: Timestamp,
}

/// A request that waits for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClaimWaiter {
    pub(crate) request: RequestId,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Timestamp,
}

impl ClaimWaiter {
    /// Whether the request may run although its key may have run before.
    pub(crate) fn may_repeat(&self, now: Timestamp) -> bool {
        self.idempotent && now < self.deadline
    }
}

/// A claim.
#[derive(Clone, Debug)]
pub(crate) struct ClaimEntry {
    pub(crate) fingerprint: BodyFingerprint,
    /// Whether the home has accepted this fingerprint, so that another one is known not to run.
    pub(crate) confirmed: bool,
    pub(crate) state: ClaimState,
    /// What all runs so far have come to; only [`Verdict::NotRun`] allows the key to be freed.
    pub(crate) verdict: Verdict,
    pub(crate) waiters: Vec<ClaimWaiter>,
    /// Position in the order of eviction; `None` while a request runs or waits.
    pub(crate) ended: Option<u64>,
}

impl ClaimEntry {
    pub(crate) fn new(fingerprint: BodyFingerprint, state: ClaimState) -> Self {
        Self {
            fingerprint,
            confirmed: false,
            state,
            verdict: Verdict::NotRun,
            waiters: Vec::new(),
            ended: None,
        }
    }
}
