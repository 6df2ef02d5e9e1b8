//! Invariants that the program checks about itself.
//!
//! A violation is logged, counted, and its unsafe effect is withheld. It points to a fault in this
//! program or in a backend server, never to a caller.

use std::fmt;

use compact_str::CompactString;

/// The points that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InvariantKind {
    /// No group serves a request unless every VM of it is present.
    CompleteGroup,
    /// No VM belongs to two groups at once.
    OneGroupPerVm,
    /// Every caller receives the whole answer to its own request.
    CompleteResponse,
    /// A request whose refusal says that it was not run was not run.
    TruthfulRefusal,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving backend server receives no new work.
    LeavingServer,
    /// A planned stop cuts off no request.
    GracefulStop,
    /// A configuration in force never reverts.
    ConfigOrder,
}

impl InvariantKind {
    /// Stable text for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            InvariantKind::CompleteGroup => "whole_group",
            InvariantKind::OneGroupPerVm => "one_group_per_vm",
            InvariantKind::CompleteResponse => "whole_answer",
            InvariantKind::TruthfulRefusal => "truthful_refusal",
            InvariantKind::AtMostOnce => "at_most_once",
            InvariantKind::LeavingServer => "leaving_server",
            InvariantKind::GracefulStop => "graceful_stop",
            InvariantKind::ConfigOrder => "config_order",
        }
    }
}

/// A violation with the event that led to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// The point that would have been broken.
    pub kind: InvariantKind,
    /// The request, group, VM or document concerned.
    pub subject: CompactString,
    /// What led to it.
    pub detail: CompactString,
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invariant={} subject={} detail={:?}",
            self.kind.as_str(),
            self.subject,
            self.detail
        )
    }
}
