//! Inputs and results of target selection.

use std::fmt;
use std::rc::Rc;

use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::TimeSpan;

use crate::request_rank::RequestRank;
use crate::server_limits::LimitSource;
use crate::target::RequestTarget;
use crate::target::TargetNumber;

/// Token counts of a model request, used to estimate its work.
#[derive(Clone, Copy, Debug)]
pub struct RequestSize<'a> {
    /// Model that processes the request.
    pub model: &'a ModelId,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Expected number of output tokens; `None` if the caller did not state it.
    pub output_tokens: Option<u32>,
}

/// Work of a request as counted for the demand of its model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestWork {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub output_tokens: u32,
    /// Estimated work, in milliseconds of a fully utilized group.
    pub work_ms: f64,
}

/// Requirements of a request for its target.
#[derive(Clone, Debug)]
pub struct TargetQuery<'a> {
    /// Service that the route selected.
    pub service: &'a ServiceId,
    /// Model named by the caller. Ignored for services without a model engine.
    pub model: Option<&'a ModelId>,
    /// Time within which the response must begin to meet the route's latency objective.
    pub latency_target: TimeSpan,
    /// Targets to which this request was already sent; they are not selected again.
    pub tried: &'a [TargetNumber],
    /// Whether an earlier attempt may have started to run. Such a request is admitted even if all targets are full.
    pub has_started: bool,
    /// Whether the caller retries after an earlier refusal. Such a request is late: it must not delay requests that
    /// can still meet their latency target.
    pub is_caller_retry: bool,
    /// What the request needs; `None` if that is not known. Without it, the selection goes by the number of requests.
    pub work: Option<QueryWork<'a>>,
}

/// Rank and work of a request, for the selection by the predicted time to the first event.
#[derive(Clone, Copy, Debug)]
pub struct QueryWork<'a> {
    /// Order of the request when there is too little room: the priority of its client account, then that of its route.
    pub rank: RequestRank,
    /// Client account; `None` on public routes.
    pub account: Option<&'a AccountId>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
}

/// Inputs of a selection, recorded in the request log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceInputs {
    /// Number of targets that could have accepted the request.
    pub candidates: u32,
    /// Requests in flight at the selected target, from this node's counts and its peers' heartbeats.
    pub load: u32,
    /// Requests among `load` that this node has sent itself.
    pub own_load: u32,
    /// Mean age of the heartbeats from which the peers' part of `load` was taken.
    pub peer_age: TimeSpan,
    /// Number of requests that the selected target runs concurrently.
    pub slots: u32,
    /// Request limit of the selected target's backend server; `None` without a limit in force.
    pub limit: Option<LimitInputs>,
    /// Number of targets that were left out because of the request limits of their backend servers.
    pub held: u32,
    /// Set if the target was selected by the predicted time to the first event.
    pub paced: Option<PacedInputs>,
}

/// Inputs of a selection by the predicted time to the first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacedInputs {
    /// Predicted time to the first event at the selected target, in milliseconds.
    pub predicted_ms: u32,
    /// Part of the requests like this one that is admitted, in thousandths.
    pub share_permille: u32,
    /// Requests that all targets can begin in time.
    pub room: u32,
    /// Whether the target is in the node's failure domain.
    pub is_near: bool,
}

/// What was known of the request limit of the selected target, recorded in the request log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitInputs {
    /// Limit on the requests of all nodes together.
    pub limit: RequestLimit,
    /// How this node has learned of the limit.
    pub source: LimitSource,
    /// Time since a response last stated the limit.
    pub age: TimeSpan,
    /// Requests that this node has sent to the backend server in the last [`LIMIT_WINDOW`].
    ///
    /// [`LIMIT_WINDOW`]: jaysaddle_fleet::peers::LIMIT_WINDOW
    pub own_sent: u32,
    /// Requests that its peers have sent in that time, as far as known.
    pub peer_sent: u32,
}

/// Result of a successful target selection.
#[derive(Clone, Debug)]
pub struct TargetChoice {
    /// Target to which the request is sent.
    pub target: Rc<RequestTarget>,
    /// Whether the request is expected to miss its latency target and yields to requests that can meet theirs.
    pub is_late: bool,
    /// Inputs of the selection, for the request log.
    pub inputs: ChoiceInputs,
}

/// Reason why no target accepts a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetRefusal {
    /// No target serves the requested service and model.
    NoTarget,
    /// Every target is at its admission limit, closed or already tried.
    Full,
    /// More requests arrive than the targets can begin in time, and this one is turned away.
    Crowded {
        /// Part of the requests like this one that is admitted, in thousandths.
        share_permille: u32,
    },
    /// Every target that is neither closed nor already tried has a request limit that is used up.
    Limited {
        /// Time until one of the limits allows another request.
        wait: TimeSpan,
    },
}

impl fmt::Display for TargetRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            TargetRefusal::NoTarget => "no_target",
            TargetRefusal::Full => "full",
            TargetRefusal::Crowded { .. } => "crowded",
            TargetRefusal::Limited { .. } => "limited",
        })
    }
}

/// Outcome of one attempt at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The target sent a complete response.
    Answered,
    /// The target refused the request without running it.
    Refused,
    /// The attempt failed or sent no data for too long.
    Failed,
    /// The attempt was dropped, for example because the caller disconnected. Does not affect
    /// the target's failure rate.
    Abandoned,
}
