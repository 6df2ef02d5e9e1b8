//! Decisions: one record, and one log line, for each routing or placement decision.

use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// What a decision is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// Choice of a group or backend server for a request.
    Route,
    /// Admission of a request.
    Admit,
    /// Change of a group.
    Place,
    /// Change of a control lease.
    Lease,
    /// Change of a VM's state.
    Health,
    /// Change of the configuration in force.
    Config,
    /// Change of a node's state.
    Member,
}

impl DecisionKind {
    /// The stable text of the kind.
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

/// One decision with its inputs and reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// What the decision is about.
    pub kind: DecisionKind,
    /// The request, group, VM, shard or document decided on.
    pub subject: CompactString,
    /// What was considered, as `key=value` pairs.
    pub inputs: CompactString,
    /// What was chosen.
    pub choice: CompactString,
    /// Why.
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
