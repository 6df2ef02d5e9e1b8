//! Decision records: one record, and one log line, for each routing or placement decision.

use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Subject area of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// Selection of a group or backend server for a request.
    Route,
    /// Admission or rejection of a request.
    Admit,
    /// Change of a group in the placement.
    Place,
    /// Change of a control lease.
    Lease,
    /// Change of a VM's health state.
    Health,
    /// Change of the configuration in force.
    Config,
    /// Change of a node's membership state.
    Member,
}

impl DecisionKind {
    /// Returns the stable name of the kind, as used in log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            DecisionKind::Route => "route",
            DecisionKind::Admit => "admit",
            DecisionKind::Place => "place",
            DecisionKind::Lease => "lease",
            DecisionKind::Health => "health",
            DecisionKind::Config => "config",
            DecisionKind::Member => "member",
        }
    }
}

/// A decision with its inputs and the reason for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Subject area of the decision.
    pub kind: DecisionKind,
    /// Request, group, VM, shard or document that the decision applies to.
    pub subject: CompactString,
    /// Values that the decision was based on, as `key=value` pairs.
    pub inputs: CompactString,
    /// The selected option.
    pub choice: CompactString,
    /// Why the option was selected, as text for operators.
    pub reason: CompactString,
}

impl fmt::Display for DecisionRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "decision={} subject={} choice={} reason={:?} {}",
            self.kind.as_str(),
            self.subject,
            self.choice,
            self.reason,
            self.inputs
        )
    }
}
