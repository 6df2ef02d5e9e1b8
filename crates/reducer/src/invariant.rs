//! Invariants that are checked at run time.
//!
//! A violation is logged and counted, and the unsafe effect is withheld. It indicates a fault in
//! this program or in a backend server, never in a caller.

use std::fmt;

use compact_str::CompactString;

/// The invariants that are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InvariantKind {
    /// A group serves a request only while all of its VMs are available.
    CompleteGroup,
    /// A VM belongs to at most one group.
    OneGroupPerVm,
    /// Each caller receives the complete response to its own request.
    CompleteResponse,
    /// A request that is refused as not run was not run.
    TruthfulRefusal,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving backend server receives no new work.
    LeavingServer,
    /// A planned stop interrupts no request.
    GracefulStop,
    /// The active version of a configuration document never decreases.
    ConfigOrder,
}

impl InvariantKind {
    /// Returns the stable name used in logs and metrics.
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

/// A detected violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// Invariant that would have been violated.
    pub kind: InvariantKind,
    /// Request, group, VM or document that is affected.
    pub subject: CompactString,
    /// Free-text description of the cause.
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
