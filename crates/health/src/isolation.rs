//! Detects whether this node itself is isolated, which would explain its failed probes.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time for which connectivity must be restored before the node stops being isolated. Limits how
/// often a node publishes all its findings again.
const RECOVERY_HOLD: TimeSpan = TimeSpan::from_secs(3);
/// Minimum number of targets for the check. Failures of fewer targets are no evidence about
/// this node's own connectivity.
const MIN_TARGETS: usize = 3;
const MIN_PEERS_PERMILLE: u32 = 500;

/// Connectivity of this node to its targets and peers.
#[derive(Clone, Debug)]
pub(crate) struct IsolationDetector {
    /// Number of VMs that this node probes.
    pub(crate) targets: usize,
    /// Number of VMs whose last probe failed.
    pub(crate) failing_targets: usize,
    /// Share of peers that answer this node, in permille.
    pub(crate) peers_permille: u32,
    isolated: bool,
    recovered_since: Option<Timestamp>,
}

impl IsolationDetector {
    /// Starts as not isolated, with all peers assumed to answer.
    pub(crate) fn new() -> Self {
        Self {
            targets: 0,
            failing_targets: 0,
            peers_permille: 1000,
            isolated: false,
            recovered_since: None,
        }
    }

    /// Returns whether this node is isolated.
    pub(crate) fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Evaluates the counts; returns the new isolation state if it has changed.
    pub(crate) fn update(&mut self, now: Timestamp) -> Option<bool> {
        if self.lost_majority() {
            self.recovered_since = None;
            let changed = !self.isolated;
            self.isolated = true;
            return changed.then_some(true);
        }
        if !self.isolated {
            return None;
        }
        let since = *self.recovered_since.get_or_insert(now);
        if now.since(since) < RECOVERY_HOLD {
            return None;
        }
        self.isolated = false;
        self.recovered_since = None;
        Some(false)
    }

    fn lost_majority(&self) -> bool {
        let targets_lost = self.targets >= MIN_TARGETS && self.failing_targets * 2 > self.targets;
        targets_lost || self.peers_permille < MIN_PEERS_PERMILLE
    }
}
