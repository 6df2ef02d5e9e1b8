//! Whether this node itself is cut off.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time for which contact must be good again before the mark is taken back. It bounds how often a
/// node publishes all its findings anew.
const RECOVERY_HOLD: TimeSpan = TimeSpan::from_secs(3);
/// Below this number of targets, their failures show nothing of this node's own connection.
const MIN_TARGETS: usize = 3;
const MIN_PEERS_PERMILLE: u32 = 500;

/// Contact of this node with its targets and peers.
#[derive(Clone, Debug)]
pub(crate) struct IsolationDetector {
    /// VMs that this node probes.
    pub(crate) targets: usize,
    /// VMs among them whose last probe failed.
    pub(crate) failing_targets: usize,
    /// Share of the peers that answer, in thousandths.
    pub(crate) peers_permille: u32,
    isolated: bool,
    recovered_since: Option<Timestamp>,
}

impl IsolationDetector {
    /// Starts in contact.
    pub(crate) fn new() -> Self {
        Self {
            targets: 0,
            failing_targets: 0,
            peers_permille: 1000,
            isolated: false,
            recovered_since: None,
        }
    }

    /// Whether this node is cut off.
    pub(crate) fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Judges the counts; returns the mark if it has changed.
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
