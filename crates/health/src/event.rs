//! Input events and output effects of the health tracker.

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

/// A VM to probe: an engine VM or the backend server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthTarget {
    /// Identifies the VM; a probe response that names another VM is invalid.
    pub vm: VmId,
    /// Address to which probes are sent.
    pub address: SocketAddr,
    /// Failure domain of the VM; straggler thresholds are computed per failure domain.
    pub failure_domain: FailureDomainId,
}

/// A node that may be assigned as a watcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatcherNode {
    /// Run of the node; its incarnation changes with every restart.
    pub node: NodeKey,
    /// Failure domain of the node; the watchers of a VM are spread over failure domains.
    pub failure_domain: FailureDomainId,
}

/// Reason why a probe failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// No response arrived within the probe timeout.
    Timeout,
    /// The connection was refused or reset.
    Refused,
    /// The response could not be parsed or came from another VM.
    Invalid,
}

/// What a request attempt showed about the VM it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFinding {
    /// The VM responded to the request.
    Answered,
    /// The attempt failed or stalled, also over a new connection.
    Failed,
}

/// Input to [`crate::HealthTracker::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum HealthEvent {
    /// Time has passed; sent several times a second.
    Tick,
    /// The complete list of VMs to probe has changed.
    TargetsChanged(Vec<HealthTarget>),
    /// The complete list of watcher nodes, which includes this node, has changed.
    WatchersChanged(Vec<WatcherNode>),
    /// Share of peers that answer this node, in permille.
    PeersReachable(u32),
    /// A probe has completed or failed.
    Probed {
        /// Probed VM, which need not be a target of this node.
        vm: VmId,
        /// Report of the VM, or the reason why there is none.
        outcome: Result<EngineReport, ProbeFailure>,
        /// Time from sending the probe to its result.
        latency: TimeSpan,
    },
    /// A new version of the platform's VM list has arrived.
    Listed(Vec<ListedVm>),
    /// A finding published by another node has arrived.
    PeerFinding {
        /// Node that published the finding.
        node: NodeKey,
        /// Published finding about a VM.
        evidence: VmEvidence,
    },
    /// A request attempt of this node has ended.
    Attempted {
        /// VM to which the attempt was sent.
        vm: VmId,
        /// What the attempt showed about the VM.
        finding: AttemptFinding,
    },
    /// The complete list of VMs drained by operators has changed.
    DrainsChanged(Vec<VmId>),
}

/// Output of [`crate::HealthTracker::step`], to be executed by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthEffect {
    /// Probe a VM over a new connection.
    Probe {
        /// VM to name in the [`HealthEvent::Probed`] event that reports the result.
        vm: VmId,
        /// Address to which the probe is sent.
        address: SocketAddr,
        /// Time after which the probe fails with [`ProbeFailure::Timeout`].
        timeout: TimeSpan,
    },
    /// Disseminate a changed finding of this node.
    Publish(VmEvidence),
    /// The damped state of a VM has changed.
    StateChanged {
        /// VM whose state has changed.
        vm: VmId,
        /// State that the VM has entered.
        state: VmState,
    },
    /// Write a decision record to the log.
    Decision(DecisionRecord),
}
