//! Conversions between wire rumors and the membership types.

use std::fmt;
use std::net::SocketAddr;

use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::evidence::VmEvidence;
use jaysaddle_types::ids::DocumentName;
use jaysaddle_types::ids::IdError;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_wire::messages::DocumentVersion;
use jaysaddle_wire::messages::DocumentsRumor;
use jaysaddle_wire::messages::HandoverRumor;
use jaysaddle_wire::messages::NodeRumor;
use jaysaddle_wire::messages::NodeRun;
use jaysaddle_wire::messages::UsageEntry;
use jaysaddle_wire::messages::UsageRumor;
use jaysaddle_wire::messages::VmRumor;
use jaysaddle_wire::messages::WireRumor;
use jaysaddle_wire::messages::WireRumorBody;

use crate::claim::NodeClaim;
use crate::event::RumorBody;
use crate::facts::FactRumor;

/// Reason why a wire rumor was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RumorError {
    /// A field that every sender sets is absent.
    Missing(&'static str),
    /// An identifier is invalid.
    Id(IdError),
    /// An address is not an IP address with a port.
    Address,
    /// A number is not a valid code of the named field.
    Code(&'static str, u32),
}

impl fmt::Display for RumorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RumorError::Missing(field) => write!(f, "the field {field} is missing"),
            RumorError::Id(error) => error.fmt(f),
            RumorError::Address => f.write_str("an address is not an IP address with a port"),
            RumorError::Code(field, code) => write!(f, "{code} is not a valid code of {field}"),
        }
    }
}

impl std::error::Error for RumorError {}

impl From<IdError> for RumorError {
    fn from(error: IdError) -> Self {
        RumorError::Id(error)
    }
}

/// A decoded and validated rumor.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedRumor {
    /// A claim about the state of a node run.
    Node(NodeClaim),
    /// A fact published by its origin.
    Fact(FactRumor),
}

/// Encodes a node run.
pub fn run_to_wire(key: &NodeKey) -> NodeRun {
    NodeRun {
        id: key.id.as_str().to_owned(),
        incarnation: key.incarnation.0,
    }
}

/// Decodes a node run.
///
/// # Errors
///
/// Returns an error if the run is absent or its id is invalid.
pub fn key_from_wire(run: Option<&NodeRun>) -> Result<NodeKey, RumorError> {
    let run = run.ok_or(RumorError::Missing("node run"))?;
    Ok(NodeKey {
        id: run.id.parse()?,
        incarnation: Incarnation(run.incarnation),
    })
}

fn parse_address(text: &str) -> Result<SocketAddr, RumorError> {
    text.parse().map_err(|_| RumorError::Address)
}

fn state_code(state: NodeState) -> u32 {
    match state {
        NodeState::Alive => 0,
        NodeState::Suspect => 1,
        NodeState::Leaving => 2,
        NodeState::Dead => 3,
    }
}

fn state_from_code(code: u32) -> Result<NodeState, RumorError> {
    match code {
        0 => Ok(NodeState::Alive),
        1 => Ok(NodeState::Suspect),
        2 => Ok(NodeState::Leaving),
        3 => Ok(NodeState::Dead),
        other => Err(RumorError::Code("node state", other)),
    }
}

fn finding_code(finding: ProbeFinding) -> u32 {
    match finding {
        ProbeFinding::Answers => 0,
        ProbeFinding::Slow => 1,
        ProbeFinding::Missed => 2,
        ProbeFinding::Gone => 3,
        ProbeFinding::Leaving => 4,
    }
}

fn finding_from_code(code: u32) -> Result<ProbeFinding, RumorError> {
    match code {
        0 => Ok(ProbeFinding::Answers),
        1 => Ok(ProbeFinding::Slow),
        2 => Ok(ProbeFinding::Missed),
        3 => Ok(ProbeFinding::Gone),
        4 => Ok(ProbeFinding::Leaving),
        other => Err(RumorError::Code("finding", other)),
    }
}

/// Encodes a claim. The reporter, if any, becomes the rumor's origin.
pub fn claim_to_wire(claim: &NodeClaim) -> WireRumor {
    let record = &claim.record;
    let node = NodeRumor {
        node: Some(run_to_wire(&record.key)),
        revision: claim.revision,
        state: state_code(claim.state),
        callers: record.callers.to_string(),
        peers: record.peers.to_string(),
        failure_domain: record.failure_domain.as_str().to_owned(),
        region: record.region.as_str().to_owned(),
        dead_ms: claim.dead_for.as_millis(),
    };
    WireRumor {
        origin: claim.reporter.as_ref().map(run_to_wire),
        sequence: 0,
        body: Some(WireRumorBody::Node(node)),
    }
}

/// Encodes a fact.
pub fn fact_to_wire(origin: &NodeKey, sequence: u64, body: &RumorBody) -> WireRumor {
    WireRumor {
        origin: Some(run_to_wire(origin)),
        sequence,
        body: Some(body_to_wire(body)),
    }
}

fn body_to_wire(body: &RumorBody) -> WireRumorBody {
    match body {
        RumorBody::Vm(evidence) => WireRumorBody::Vm(VmRumor {
            vm: evidence.vm.as_str().to_owned(),
            finding: finding_code(evidence.finding),
            cut_off: evidence.cut_off,
        }),
        RumorBody::Documents(versions) => WireRumorBody::Documents(DocumentsRumor {
            versions: versions.iter().map(version_to_wire).collect(),
        }),
        RumorBody::Usage(usages) => WireRumorBody::Usage(UsageRumor {
            accounts: usages.iter().map(usage_to_wire).collect(),
        }),
        RumorBody::Handover(successor) => WireRumorBody::Handover(HandoverRumor {
            successor: Some(run_to_wire(successor)),
        }),
    }
}

fn version_to_wire(entry: &(DocumentName, ObjectVersion)) -> DocumentVersion {
    DocumentVersion {
        name: entry.0.as_str().to_owned(),
        version: entry.1.0,
    }
}

fn usage_to_wire(usage: &AccountUsage) -> UsageEntry {
    UsageEntry {
        account: usage.account.as_str().to_owned(),
        in_use: usage.in_use.0,
        wanted: usage.wanted.0,
    }
}

/// Decodes and validates a rumor.
///
/// # Errors
///
/// Returns an error if a required field is absent or a value is invalid.
pub fn rumor_from_wire(rumor: &WireRumor) -> Result<DecodedRumor, RumorError> {
    let body = rumor.body.as_ref().ok_or(RumorError::Missing("body"))?;
    if let WireRumorBody::Node(node) = body {
        return claim_from_wire(rumor.origin.as_ref(), node).map(DecodedRumor::Node);
    }
    Ok(DecodedRumor::Fact(FactRumor {
        origin: key_from_wire(rumor.origin.as_ref())?,
        sequence: rumor.sequence,
        body: body_from_wire(body)?,
    }))
}

fn claim_from_wire(origin: Option<&NodeRun>, node: &NodeRumor) -> Result<NodeClaim, RumorError> {
    let reporter = match origin {
        Some(run) => Some(key_from_wire(Some(run))?),
        None => None,
    };
    Ok(NodeClaim {
        record: NodeRecord {
            key: key_from_wire(node.node.as_ref())?,
            callers: parse_address(&node.callers)?,
            peers: parse_address(&node.peers)?,
            failure_domain: node.failure_domain.parse()?,
            region: node.region.parse()?,
        },
        revision: node.revision,
        state: state_from_code(node.state)?,
        reporter,
        dead_for: TimeSpan(node.dead_ms),
    })
}

fn body_from_wire(body: &WireRumorBody) -> Result<RumorBody, RumorError> {
    match body {
        WireRumorBody::Node(_) => Err(RumorError::Missing("fact")),
        WireRumorBody::Vm(vm) => Ok(RumorBody::Vm(VmEvidence {
            vm: vm.vm.parse()?,
            finding: finding_from_code(vm.finding)?,
            cut_off: vm.cut_off,
        })),
        WireRumorBody::Documents(documents) => documents_from_wire(documents),
        WireRumorBody::Usage(usage) => usage_from_wire(usage),
        WireRumorBody::Handover(handover) => {
            key_from_wire(handover.successor.as_ref()).map(RumorBody::Handover)
        }
    }
}

fn documents_from_wire(documents: &DocumentsRumor) -> Result<RumorBody, RumorError> {
    let mut versions = Vec::with_capacity(documents.versions.len());
    for entry in &documents.versions {
        versions.push((entry.name.parse()?, ObjectVersion(entry.version)));
    }
    Ok(RumorBody::Documents(versions))
}

fn usage_from_wire(usage: &UsageRumor) -> Result<RumorBody, RumorError> {
    let mut accounts = Vec::with_capacity(usage.accounts.len());
    for entry in &usage.accounts {
        accounts.push(AccountUsage {
            account: entry.account.parse()?,
            in_use: SlotCount(entry.in_use),
            wanted: SlotCount(entry.wanted),
        });
    }
    Ok(RumorBody::Usage(accounts))
}
