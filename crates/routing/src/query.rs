//! Questions to the router and its answers.

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

/// What a request asks of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteQuery {
    /// The request.
    pub request: RequestId,
    /// Its account.
    pub account: AccountId,
    /// What it is for.
    pub target: RequestTarget,
    /// Hashes of its prompt's leading blocks.
    pub prefix: Arc<[u64]>,
    /// Estimated prompt size.
    pub prompt_tokens: TokenCount,
    /// Groups and backend servers that already failed this request.
    pub excluded: Vec<VmId>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteTarget {
    /// A group, by its leader.
    Group {
        /// The group.
        group: GroupId,
        /// Generation that the leader must confirm.
        generation: Generation,
        /// Members in rank order; the first is the leader.
        members: Vec<VmId>,
    },
    /// A backend server of a plain service.
    Server {
        /// VM that runs it.
        vm: VmId,
    },
}

/// A choice.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// Where the request goes.
    pub target: RouteTarget,
    /// Address to send to.
    pub address: SocketAddr,
    /// Whether the leader's last report is too old to prove that the group is present; the leader
    /// must be asked before the send.
    pub needs_report: bool,
    /// Log line.
    pub decision: DecisionRecord,
}

/// No choice.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteFailure {
    /// Refusal for the caller; always [`jaysaddle_types::verdict::Verdict::NotRun`].
    pub refusal: RequestRefusal,
    /// Why each group was left out, for `explain`.
    pub details: Vec<(CompactString, CompactString)>,
    /// Log line.
    pub decision: DecisionRecord,
}

/// What came of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The answer is whole.
    Completed {
        /// Time from the send to the first token.
        first_token: TimeSpan,
        /// Prompt tokens that the engine's prefix cache held.
        cached_tokens: TokenCount,
    },
    /// The backend server refused before running.
    Refused,
    /// The attempt failed.
    Failed,
    /// The caller hung up, or the deadline passed.
    Cancelled,
}
