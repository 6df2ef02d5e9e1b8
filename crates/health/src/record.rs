//! Evidence about one VM.

use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::evidence::ListedState;
use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::evidence::VmEvidence;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::damping::DampedState;
use crate::event::HealthTarget;
use crate::event::WatcherNode;
use crate::probe_state::ProbeState;

/// Maximum number of findings stored per VM. It leaves room for nodes that no longer watch the VM,
/// or that this node's list does not yet assign as its watchers.
const MAX_FINDINGS_PER_VM: usize = 8;
/// Time for which failed requests and reports received outside a probe count as evidence. The
/// watchers' findings arrive within this time.
pub(crate) const EVIDENCE_TTL: TimeSpan = TimeSpan::from_secs(5);
/// Number of consecutive failed requests that make a VM suspect. A single failure may be caused by
/// the request itself.
const SUSPECT_FAILED_REQUESTS: u32 = 2;

/// Finding of another node and when it arrived.
#[derive(Clone, Debug)]
pub(crate) struct StoredFinding {
    /// Node that published the finding.
    pub(crate) node: NodeKey,
    /// What the node's probes of the VM show.
    pub(crate) finding: ProbeFinding,
    /// Whether the node was isolated when it published the finding.
    pub(crate) isolated: bool,
    /// Time of arrival, used for explanations only.
    pub(crate) received_at: Timestamp,
}

/// Consecutive failed requests of this node to one VM.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestFailures {
    /// Number of consecutive failures; restarts from 1 once the last one has expired.
    pub(crate) count: u32,
    /// Time of the last failure.
    pub(crate) last: Timestamp,
}

impl RequestFailures {
    /// Records a failed request.
    pub(crate) fn record_failure(&mut self, now: Timestamp) {
        if self.count > 0 && now.since(self.last) >= EVIDENCE_TTL {
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.last = now;
    }

    /// Returns whether the failures currently make the VM suspect.
    pub(crate) fn indicate_suspect(&self, now: Timestamp) -> bool {
        self.count >= SUSPECT_FAILED_REQUESTS && now.since(self.last) < EVIDENCE_TTL
    }

    /// Returns whether the failures made the VM suspect and have expired since.
    pub(crate) fn have_expired(&self, now: Timestamp) -> bool {
        self.count >= SUSPECT_FAILED_REQUESTS && now.since(self.last) >= EVIDENCE_TTL
    }
}

/// Evidence about one VM and the state derived from it.
#[derive(Clone, Debug, Default)]
pub(crate) struct VmRecord {
    /// Absent while the inventory does not name the VM and only findings of other nodes are stored.
    pub(crate) target: Option<HealthTarget>,
    /// Hash of the VM id for rendezvous hashing.
    pub(crate) hash: u64,
    /// Indexes of the assigned watchers in the list of nodes.
    pub(crate) watchers: Vec<u16>,
    /// State of this node's probes; present while this node is an assigned watcher.
    pub(crate) probe: Option<ProbeState>,
    /// Latest findings of other nodes, ordered by arrival.
    pub(crate) findings: Vec<StoredFinding>,
    /// Latest report that this node received, and when.
    pub(crate) report: Option<(Box<EngineReport>, Timestamp)>,
    /// Failed requests of this node.
    pub(crate) requests: RequestFailures,
    /// State in the platform's VM list; absent if the VM is not listed.
    pub(crate) listed: Option<ListedState>,
    /// Whether the VM is drained by operators.
    pub(crate) drained: bool,
    /// State after damping.
    pub(crate) damped: DampedState,
    /// Reason for the last change of state; empty before the first one.
    pub(crate) reason: &'static str,
}

impl VmRecord {
    /// Stores a finding of another node. If the limit is exceeded, the oldest finding of a node
    /// that is not a watcher is evicted. Findings of watchers are kept even when old, because a
    /// finding is sent only when it changes.
    pub(crate) fn store_finding(
        &mut self,
        node: NodeKey,
        evidence: &VmEvidence,
        nodes: &[WatcherNode],
        now: Timestamp,
    ) {
        self.findings.retain(|stored| stored.node != node);
        if self.findings.len() >= MAX_FINDINGS_PER_VM {
            let is_watcher = |stored: &StoredFinding| {
                self.watchers
                    .iter()
                    .any(|&index| nodes[usize::from(index)].node == stored.node)
            };
            let oldest = self.findings.iter().position(|stored| !is_watcher(stored));
            self.findings.remove(oldest.unwrap_or(0));
        }
        self.findings.push(StoredFinding {
            node,
            finding: evidence.finding,
            isolated: evidence.cut_off,
            received_at: now,
        });
    }

    /// Returns whether a recent report received outside a probe states that the VM is leaving.
    pub(crate) fn reported_leaving(&self, now: Timestamp) -> bool {
        self.probe.is_none()
            && self
                .report
                .as_ref()
                .is_some_and(|(report, at)| report.leaving && now.since(*at) < EVIDENCE_TTL)
    }

    /// Returns whether the state may change with time alone, without new evidence.
    pub(crate) fn is_time_dependent(&self, now: Timestamp) -> bool {
        self.damped.healthy_since.is_some()
            || self.requests.indicate_suspect(now)
            || self.reported_leaving(now)
    }
}
