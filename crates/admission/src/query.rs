//! Input and output types of the admission controller.

use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::request::RequestPriority;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::RequestRefusal;

/// A request for admission to a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmitQuery {
    /// Id of the request, unique among queued and admitted requests.
    pub request: RequestId,
    /// Client account whose floor and ceiling apply.
    pub account: AccountId,
    /// Model or plain service. Only models have slots; calls of services count towards the
    /// account's ceiling alone.
    pub target: RequestTarget,
    /// Rank in the queue; higher priorities are granted first.
    pub priority: RequestPriority,
    /// Time after which the caller no longer waits for a response.
    pub deadline: Timestamp,
}

/// Decision on an [`AdmitQuery`].
#[derive(Clone, Debug, PartialEq)]
pub enum AdmitOutcome {
    /// The request holds a slot, which must be released exactly once.
    Admitted,
    /// The request is queued; a [`QueueRelease`] reports the final decision.
    Queued,
    /// The request is refused. The verdict is always
    /// [`jaysaddle_types::verdict::Verdict::NotRun`].
    Refused(RequestRefusal),
}

/// Final decision on a queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRelease {
    /// Id of the request that left the queue.
    pub request: RequestId,
    /// Either admitted or refused, never [`AdmitOutcome::Queued`].
    pub outcome: AdmitOutcome,
}
