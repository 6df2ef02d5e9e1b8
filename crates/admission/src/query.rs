//! Questions to admission and its answers.

use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::request::RequestPriority;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::RequestRefusal;

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmitQuery {
    /// The request.
    pub request: RequestId,
    /// Its account.
    pub account: AccountId,
    /// What it is for; slots are counted per model.
    pub target: RequestTarget,
    /// Its priority.
    pub priority: RequestPriority,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// What becomes of it.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmitOutcome {
    /// It has a slot; it must be released once.
    Admitted,
    /// It waits; a [`QueueRelease`] follows.
    Queued,
    /// It is refused; always [`jaysaddle_types::verdict::Verdict::NotRun`].
    Refused(RequestRefusal),
}

/// A waiting request that leaves the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRelease {
    /// The request.
    pub request: RequestId,
    /// Admitted or refused, never queued.
    pub outcome: AdmitOutcome,
}
