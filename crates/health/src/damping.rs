//! Flap damping of VM states: failures take effect immediately, recoveries only after a damping
//! time.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::VmState;

use crate::settings::HealthSettings;

/// Time that a VM must stay live before its flap count is reset, as a multiple of `damping_max`.
const FLAP_RESET_FACTOR: u64 = 2;
/// Upper bound of the flap count; keeps the doubled damping time within 64 bits.
const MAX_FLAPS: u32 = 16;

/// Result of evaluating the current evidence, before damping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// No usable evidence is available.
    NoEvidence,
    /// The VM answers in time.
    Live,
    /// The VM answers, but its latency is above the straggler threshold.
    Slow,
    /// The VM does not answer, or the sources disagree.
    Suspect,
    /// The VM has failed.
    Dead,
    /// The VM accepts no new work.
    Leaving {
        /// Whether the VM is damped when it returns. False if an operator's drain is the only
        /// reason for leaving.
        damped: bool,
    },
}

/// Damped state of one VM.
///
/// # Invariants
///
/// `healthy_since` is set only in `Returning`, and in `Straggler` while the VM answers in time.
#[derive(Clone, Debug, Default)]
pub(crate) struct DampedState {
    /// State after damping.
    pub(crate) state: VmState,
    /// When the state was entered.
    pub(crate) since: Timestamp,
    /// Number of recoveries since the VM was last live for `FLAP_RESET_FACTOR` times
    /// `damping_max`.
    pub(crate) flaps: u32,
    /// Start of the current damping time; `None` if none is running.
    pub(crate) healthy_since: Option<Timestamp>,
    damp_return: bool,
}

impl DampedState {
    /// Applies a verdict and returns whether the state has changed.
    pub(crate) fn apply_verdict(
        &mut self,
        verdict: Verdict,
        settings: &HealthSettings,
        now: Timestamp,
    ) -> bool {
        let next = match verdict {
            Verdict::NoEvidence => self.on_no_evidence(),
            Verdict::Live => self.on_healthy(settings, now),
            Verdict::Slow => self.on_slow(now),
            Verdict::Suspect => self.on_failure(VmState::Suspect, true),
            Verdict::Dead => self.on_failure(VmState::Dead, true),
            Verdict::Leaving { damped } => {
                let was_unhealthy = !matches!(
                    self.state,
                    VmState::Live | VmState::Unknown | VmState::Straggler | VmState::Leaving
                );
                let damped = damped || was_unhealthy || self.damp_return;
                self.on_failure(VmState::Leaving, damped)
            }
        };
        if next == self.state {
            return false;
        }
        if self.state == VmState::Live {
            self.reset_flaps(settings, now);
        }
        self.state = next;
        self.since = now;
        true
    }

    /// Returns the damping time for the current flap count; it doubles with each flap.
    pub(crate) fn damping_time(&self, settings: &HealthSettings) -> TimeSpan {
        let doublings = self.flaps.saturating_sub(1).min(MAX_FLAPS);
        let span = settings.damping_min.0.saturating_mul(1 << doublings);
        TimeSpan(span).min(settings.damping_max)
    }

    /// Returns when the current damping time ends, or `None` if none is running.
    pub(crate) fn damped_until(&self, settings: &HealthSettings) -> Option<Timestamp> {
        self.healthy_since
            .map(|since| since + self.damping_time(settings))
    }

    /// Extends a running damping time by a pause of this node, during which nothing was observed.
    pub(crate) fn extend_for_pause(&mut self, gap: TimeSpan) {
        self.healthy_since = self.healthy_since.map(|since| since + gap);
    }

    fn on_failure(&mut self, state: VmState, damped: bool) -> VmState {
        self.healthy_since = None;
        self.damp_return = damped;
        state
    }

    /// Keeps the last state when there is no evidence, except `Leaving`: a drain that has ended
    /// must not persist.
    fn on_no_evidence(&mut self) -> VmState {
        match self.state {
            VmState::Leaving if self.damp_return => VmState::Suspect,
            VmState::Leaving => VmState::Unknown,
            state => state,
        }
    }

    fn on_healthy(&mut self, settings: &HealthSettings, now: Timestamp) -> VmState {
        match self.state {
            VmState::Unknown | VmState::Live => VmState::Live,
            VmState::Leaving if !self.damp_return => VmState::Live,
            VmState::Leaving | VmState::Suspect | VmState::Dead => self.start_return(now),
            VmState::Returning | VmState::Straggler => self.continue_damping(settings, now),
        }
    }

    /// Keeps a recovered straggler in `Straggler` while it is damped. A straggler may still serve
    /// in its group, whereas `Returning` would stop its group from serving.
    fn continue_damping(&mut self, settings: &HealthSettings, now: Timestamp) -> VmState {
        if self.healthy_since.is_none() {
            self.flaps = (self.flaps + 1).min(MAX_FLAPS);
            self.healthy_since = Some(now);
        }
        match self.damped_until(settings) {
            Some(until) if now >= until => {
                self.healthy_since = None;
                self.damp_return = false;
                VmState::Live
            }
            _ => self.state,
        }
    }

    fn on_slow(&mut self, now: Timestamp) -> VmState {
        match self.state {
            VmState::Unknown | VmState::Live | VmState::Straggler => {
                self.healthy_since = None;
                VmState::Straggler
            }
            VmState::Leaving if !self.damp_return => VmState::Straggler,
            VmState::Leaving | VmState::Suspect | VmState::Dead => self.start_return(now),
            VmState::Returning => {
                self.healthy_since = Some(now);
                VmState::Returning
            }
        }
    }

    fn start_return(&mut self, now: Timestamp) -> VmState {
        self.flaps = (self.flaps + 1).min(MAX_FLAPS);
        self.healthy_since = Some(now);
        VmState::Returning
    }

    fn reset_flaps(&mut self, settings: &HealthSettings, now: Timestamp) {
        let stable_time = TimeSpan(settings.damping_max.0.saturating_mul(FLAP_RESET_FACTOR));
        if now.since(self.since) >= stable_time {
            self.flaps = 0;
        }
    }
}
