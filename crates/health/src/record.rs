//! All evidence about one VM.

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

/// Findings kept for one VM. Nodes that no longer watch it, or do not watch it yet in this node's
/// list, take the nodes that its watchers leave.
const MAX_FINDINGS_PER_VM: usize = 8;
/// Time for which failed requests and a report received outside a probe count. Watchers' findings
/// have arrived by then.
pub(crate) const UNCONFIRMED_EVIDENCE_TTL: TimeSpan = TimeSpan::from_secs(5);
/// Failed requests in a row that make a VM suspect. One can be the request's own fault.
const SUSPECT_FAILED_REQUESTS: u32 = 2;

/// A peer's finding and when it arrived.
#[derive(Clone, Debug)]
pub(crate) struct StoredFinding {
    /// The peer.
    pub(crate) node: NodeKey,
    /// Its finding.
    pub(crate) finding: ProbeFinding,
    /// Whether it was cut off.
    pub(crate) cut_off: bool,
    /// Arrival.
    pub(crate) at: Timestamp,
}

/// Failed requests in a row.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestFailures {
    /// Their number.
    pub(crate) count: u32,
    /// The last of them.
    pub(crate) last: Timestamp,
}

impl RequestFailures {
    /// Notes a failed request.
    pub(crate) fn record_failure(&mut self, now: Timestamp) {
        if self.count > 0 && now.since(self.last) >= UNCONFIRMED_EVIDENCE_TTL {
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.last = now;
    }

    /// Whether they make the VM suspect.
    pub(crate) fn indicate_suspect(&self, now: Timestamp) -> bool {
        self.count >= SUSPECT_FAILED_REQUESTS && now.since(self.last) < UNCONFIRMED_EVIDENCE_TTL
    }

    /// Whether they made it suspect and have expired.
    pub(crate) fn have_expired(&self, now: Timestamp) -> bool {
        self.count >= SUSPECT_FAILED_REQUESTS && now.since(self.last) >= UNCONFIRMED_EVIDENCE_TTL
    }
}

/// Evidence about one VM and the state judged from it.
#[derive(Clone, Debug, Default)]
pub(crate) struct VmRecord {
    /// Absent while only peers know the VM.
    pub(crate) target: Option<HealthTarget>,
    /// Hash of the id.
    pub(crate) hash: u64,
    /// Indexes of its watchers.
    pub(crate) watchers: Vec<u16>,
    /// Own probes; present while this node is a watcher.
    pub(crate) probe: Option<ProbeState>,
    /// Peers' findings.
    pub(crate) findings: Vec<StoredFinding>,
    /// Latest report received by this node.
    pub(crate) report: Option<(Box<EngineReport>, Timestamp)>,
    /// Failed requests of this node.
    pub(crate) requests: RequestFailures,
    /// Entry in the platform's list.
    pub(crate) listed: Option<ListedState>,
    /// Whether operators drain it.
    pub(crate) drained: bool,
    /// Judged state.
    pub(crate) damped: DampedState,
    /// Reason of the last change of state.
    pub(crate) reason: &'static str,
}

impl VmRecord {
    /// Stores a peer's finding. When there are too many, the oldest of a node that does not watch
    /// the VM is dropped: a watcher's finding may be old, because it is sent only when it changes.
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
            cut_off: evidence.cut_off,
            at: now,
        });
    }

    /// Whether a report received outside a probe says that the VM is leaving.
    pub(crate) fn reported_leaving(&self, now: Timestamp) -> bool {
        self.probe.is_none()
            && self.report.as_ref().is_some_and(|(report, at)| {
                report.leaving && now.since(*at) < UNCONFIRMED_EVIDENCE_TTL
            })
    }

    /// Whether the state may change by the passing of time alone.
    pub(crate) fn is_time_dependent(&self, now: Timestamp) -> bool {
        self.damped.healthy_since.is_some()
            || self.requests.indicate_suspect(now)
            || self.reported_leaving(now)
    }
}
