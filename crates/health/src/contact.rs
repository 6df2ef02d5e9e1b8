//! Whether this node itself is cut off.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time for which contact must be good again before the mark is taken back. It bounds how often a
/// node publishes all its findings anew.
const CONTACT_HOLD: TimeSpan = TimeSpan::from_secs(3);
/// Below this number of targets, their failures show nothing of this node's own connection.
const MIN_TARGETS: usize = 3;
const HALF_PERMILLE: u32 = 500;

/// Contact of this node with its targets and peers.
#[derive(Clone, Debug)]
pub(crate) struct ContactMonitor {
    /// VMs that this node probes.
    pub(crate) targets: usize,
    /// VMs among them whose last probe failed.
    pub(crate) silent: usize,
    /// Share of the peers that answer, in thousandths.
    pub(crate) peers_permille: u32,
    cut_off: bool,
    good_since: Option<Timestamp>,
}

impl ContactMonitor {
    /// Starts in contact.
    pub(crate) fn new() -> Self {
        Self {
            targets: 0,
            silent: 0,
            peers_permille: 1000,
            cut_off: false,
            good_since: None,
        }
    }

    /// Whether this node is cut off.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.cut_off
    }

    /// Judges the counts; returns the mark if it has changed.
    pub(crate) fn update(&mut self, now: Timestamp) -> Option<bool> {
        if self.has_lost_contact() {
            self.good_since = None;
            let changed = !self.cut_off;
            self.cut_off = true;
            return changed.then_some(true);
        }
        if !self.cut_off {
            return None;
        }
        let since = *self.good_since.get_or_insert(now);
        if now.since(since) < CONTACT_HOLD {
            return None;
        }
        self.cut_off = false;
        self.good_since = None;
        Some(false)
    }

    fn has_lost_contact(&self) -> bool {
        let targets_lost = self.targets >= MIN_TARGETS && self.silent * 2 > self.targets;
        targets_lost || self.peers_permille < HALF_PERMILLE
    }
}
