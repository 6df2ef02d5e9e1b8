//! Requests to the router and their results.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::TokenCount;
use jaysaddle_types::verdict::RequestRefusal;

/// Parameters of a routing decision.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteQuery {
    /// Request to route; subject of the decision record.
    pub request: RequestId,
    /// Client account; restricts the model versions and services that may be used.
    pub account: AccountId,
    /// Model or plain service that the request names.
    pub target: RequestTarget,
    /// Hashes of the prompt's leading blocks, shortest prefix first; used for cache affinity.
    pub prefix: Arc<[u64]>,
    /// Estimated length of the prompt.
    pub prompt_tokens: TokenCount,
    /// Leaders and backend servers on which an attempt of this request already failed.
    pub excluded: Vec<VmId>,
}

/// Destination of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteTarget {
    /// A group; its leader receives the request.
    Group {
        /// Identifier of the group in the fleet view.
        group: GroupId,
        /// Generation that the leader must confirm.
        generation: Generation,
        /// Members in rank order; the first is the leader.
        members: Vec<VmId>,
    },
    /// Backend server of a plain service.
    Server {
        /// VM that runs the backend server.
        vm: VmId,
    },
}

/// A successful routing decision.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// Group or backend server to send the request to.
    pub target: RouteTarget,
    /// Address of the leader or backend server.
    pub address: SocketAddr,
    /// Whether the leader's last report is too old to confirm that the group is present, so that a
    /// new report must be requested from the leader before the request is sent.
    pub needs_report: bool,
    /// Record for the decision log.
    pub decision: DecisionRecord,
}

/// A routing decision that found no destination.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteFailure {
    /// Refusal to return to the caller; its verdict is always
    /// [`jaysaddle_types::verdict::Verdict::NotRun`].
    pub refusal: RequestRefusal,
    /// Name of each rejected group or backend server with the reason, for `explain`.
    pub details: Vec<(CompactString, CompactString)>,
    /// Record for the decision log.
    pub decision: DecisionRecord,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The complete response arrived.
    Completed {
        /// Time from sending the request to its first token.
        first_token: TimeSpan,
        /// Prompt tokens found in the engine's prefix cache.
        cached_tokens: TokenCount,
    },
    /// The backend refused the request before running it.
    Refused,
    /// The attempt failed for any other reason.
    Failed,
    /// The caller disconnected, or the deadline passed.
    Cancelled,
}
