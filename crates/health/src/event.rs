//! Events and effects of health.

use std::net::SocketAddr;

use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::evidence::VmEvidence;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::view::VmState;

/// A VM to watch: an engine's, or a plain service's backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthTarget {
    /// The VM.
    pub vm: VmId,
    /// Address to probe.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
}

/// A node that may watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatcherNode {
    /// The node.
    pub node: NodeKey,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
}

/// Why a probe failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// No answer in time.
    Timeout,
    /// The connection was refused or reset.
    Refused,
    /// The answer could not be parsed or came from another VM.
    Invalid,
}

/// What an attempt to run a request showed of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFinding {
    /// It answered.
    Answered,
    /// It failed or went silent, also on a new connection.
    Failed,
}

/// What happens to health.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthEvent {
    /// Time has passed; sent several times a second.
    Tick,
    /// The VMs to watch have changed.
    TargetsChanged(Vec<HealthTarget>),
    /// The nodes that share the watching have changed; this node is among them.
    WatchersChanged(Vec<WatcherNode>),
    /// Share of the peers that answer this node, in thousandths.
    PeersReachable(u32),
    /// A probe ended.
    Probed {
        /// The VM.
        vm: VmId,
        /// Its report, or why there is none.
        outcome: Result<EngineReport, ProbeFailure>,
        /// Time that the probe took.
        latency: TimeSpan,
    },
    /// The platform's list arrived.
    Listed(Vec<ListedVm>),
    /// A peer's finding arrived.
    PeerFinding {
        /// The peer.
        node: NodeKey,
        /// Its finding.
        evidence: VmEvidence,
    },
    /// A request attempt ended.
    Attempted {
        /// The VM.
        vm: VmId,
        /// What it showed.
        finding: AttemptFinding,
    },
    /// The operators' list of drained VMs has changed.
    DrainsChanged(Vec<VmId>),
}

/// What health wants done or known.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthEffect {
    /// Probe a VM on a new connection.
    Probe {
        /// The VM.
        vm: VmId,
        /// Its address.
        address: SocketAddr,
        /// Time allowed.
        timeout: TimeSpan,
    },
    /// Spread a changed finding of this node.
    Publish(VmEvidence),
    /// The judged state of a VM has changed.
    StateChanged {
        /// The VM.
        vm: VmId,
        /// The new state.
        state: VmState,
    },
    /// Log line.
    Decision(DecisionRecord),
}
