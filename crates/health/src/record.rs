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
use crate::event::WatcherPlace;
use crate::watch::ProbeWatch;

/// Findings kept for one VM. Nodes that no longer watch it, or do not watch it yet in this node's
/// list, take the places that its watchers leave.
const MAX_FINDINGS: usize = 8;
/// Time for which failed requests and a report received outside a probe count. Watchers' findings
/// have arrived by then.
pub(crate) const BRIEF_MEMORY: TimeSpan = TimeSpan::from_secs(5);
/// Failed requests in a row that make a VM suspect. One can be the request's own fault.
const SUSPECT_REQUESTS: u32 = 2;

/// A peer's finding and when it arrived.
#[derive(Clone, Debug)]
pub(crate) struct PeerNote {
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
    pub(crate) fn note(&mut self, now: Timestamp) {
        if self.count > 0 && now.since(self.last) >= BRIEF_MEMORY {
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.last = now;
    }

    /// Whether they make the VM suspect.
    pub(crate) fn count_now(&self, now: Timestamp) -> bool {
        self.count >= SUSPECT_REQUESTS && now.since(self.last) < BRIEF_MEMORY
    }

    /// Whether they made it suspect and have expired.
    pub(crate) fn have_expired(&self, now: Timestamp) -> bool {
        self.count >= SUSPECT_REQUESTS && now.since(self.last) >= BRIEF_MEMORY
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
    pub(crate) watch: Option<ProbeWatch>,
    /// Peers' findings.
    pub(crate) notes: Vec<PeerNote>,
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
    pub(crate) fn note(
        &mut self,
        node: NodeKey,
        evidence: &VmEvidence,
        places: &[WatcherPlace],
        now: Timestamp,
    ) {
        self.notes.retain(|note| note.node != node);
        if self.notes.len() >= MAX_FINDINGS {
            let is_watcher = |note: &PeerNote| {
                self.watchers
                    .iter()
                    .any(|&index| places[usize::from(index)].node == note.node)
            };
            let oldest = self.notes.iter().position(|note| !is_watcher(note));
            self.notes.remove(oldest.unwrap_or(0));
        }
        self.notes.push(PeerNote {
            node,
            finding: evidence.finding,
            cut_off: evidence.cut_off,
            at: now,
        });
    }

    /// Whether a report received outside a probe says that the VM is leaving.
    pub(crate) fn reported_leaving(&self, now: Timestamp) -> bool {
        self.watch.is_none()
            && self
                .report
                .as_ref()
                .is_some_and(|(report, at)| report.leaving && now.since(*at) < BRIEF_MEMORY)
    }

    /// Whether the state may change by the passing of time alone.
    pub(crate) fn is_timed(&self, now: Timestamp) -> bool {
        self.damped.healthy_since.is_some()
            || self.requests.count_now(now)
            || self.reported_leaving(now)
    }
}
