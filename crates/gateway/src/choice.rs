//! What the gateway is asked, and what it answers.

use std::fmt;
use std::rc::Rc;

use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::units::TimeSpan;

use crate::target::RequestTarget;
use crate::target::TargetNumber;

/// Size of a request to a model.
#[derive(Clone, Copy, Debug)]
pub struct RequestSize<'a> {
    /// Model.
    pub model: &'a ModelId,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected tokens of the answer; `None` when the caller does not say.
    pub answer_tokens: Option<u32>,
}

/// What a request needs of a target.
#[derive(Clone, Debug)]
pub struct TargetQuery<'a> {
    /// Service.
    pub service: &'a ServiceId,
    /// Model, for services of model engines.
    pub model: Option<&'a ModelId>,
    /// Time within which an answer is on time.
    pub latency_target: TimeSpan,
    /// Targets that this request was sent to already.
    pub tried: &'a [TargetNumber],
    /// Whether a long queue is no reason to refuse, because the request has been running.
    pub has_started: bool,
    /// Whether the caller comes back after an attempt that was refused.
    pub is_caller_retry: bool,
}

/// What a choice was based on, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceInputs {
    /// Targets that could have taken the request.
    pub candidates: u32,
    /// Requests at the chosen target, as known from this node and its peers.
    pub load: u32,
    /// Concurrent requests of the chosen target.
    pub slots: u32,
}

/// A chosen target.
#[derive(Clone, Debug)]
pub struct TargetChoice {
    /// The target.
    pub target: Rc<RequestTarget>,
    /// Whether the request will be late and lets others go first.
    pub is_late: bool,
    /// What the choice was based on.
    pub inputs: ChoiceInputs,
}

/// Why no target takes the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetRefusal {
    /// No target serves the service or model.
    NoTarget,
    /// All targets are full.
    Full,
}

impl fmt::Display for TargetRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            TargetRefusal::NoTarget => "no_target",
            TargetRefusal::Full => "full",
        })
    }
}

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// It was answered.
    Answered,
    /// The target refused it without running it.
    Refused,
    /// It failed, or gave no data for too long.
    Failed,
    /// The caller left; this says nothing about the target.
    Abandoned,
}
