//! The state of one VM over time: bad news counts at once, good news after a damping time.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::VmState;

use crate::settings::HealthSettings;

/// Longest damping times in a row that a VM must be live before its flaps are forgotten.
const FLAP_RESET_FACTOR: u64 = 2;
/// Flaps counted at most; keeps the doubling within 64 bits.
const MAX_FLAPS: u32 = 16;

/// What the evidence shows at one moment, before damping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing that counts.
    NoEvidence,
    /// Answers in time.
    Live,
    /// Answers slowly.
    Slow,
    /// Does not answer, or the sources contradict one another.
    Suspect,
    /// Failed.
    Dead,
    /// Takes no new work. `damped` is false when an operator's drain is the only reason.
    Leaving {
        /// Whether the VM is damped on its return.
        damped: bool,
    },
}

/// The judged state of one VM.
///
/// # Invariants
///
/// `healthy_since` is set only in `Returning`, and in `Straggler` while the VM answers in time.
#[derive(Clone, Debug, Default)]
pub(crate) struct DampedState {
    /// The state.
    pub(crate) state: VmState,
    /// Since when.
    pub(crate) since: Timestamp,
    /// Returns since the VM was last live for long.
    pub(crate) flaps: u32,
    /// Start of the damping time.
    pub(crate) healthy_since: Option<Timestamp>,
    damp_return: bool,
}

impl DampedState {
    /// Applies a verdict; returns whether the state has changed.
    pub(crate) fn advance(
        &mut self,
        verdict: Verdict,
        settings: &HealthSettings,
        now: Timestamp,
    ) -> bool {
        let next = match verdict {
            Verdict::NoEvidence => self.without_evidence(),
            Verdict::Live => self.healthy(settings, now),
            Verdict::Slow => self.slow(now),
            Verdict::Suspect => self.failed(VmState::Suspect, true),
            Verdict::Dead => self.failed(VmState::Dead, true),
            Verdict::Leaving { damped } => {
                let was_unhealthy = !matches!(
                    self.state,
                    VmState::Live | VmState::Unknown | VmState::Straggler | VmState::Leaving
                );
                let damped = damped || was_unhealthy || self.damp_return;
                self.failed(VmState::Leaving, damped)
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

    /// Damping time at the current number of flaps.
    pub(crate) fn damping(&self, settings: &HealthSettings) -> TimeSpan {
        let doublings = self.flaps.saturating_sub(1).min(MAX_FLAPS);
        let span = settings.damping_min.0.saturating_mul(1 << doublings);
        TimeSpan(span).min(settings.damping_max)
    }

    /// When the damping time ends, if it runs.
    pub(crate) fn damped_until(&self, settings: &HealthSettings) -> Option<Timestamp> {
        self.healthy_since
            .map(|since| since + self.damping(settings))
    }

    /// Leaves a pause of this node out of a running damping time.
    pub(crate) fn extend_for_pause(&mut self, gap: TimeSpan) {
        self.healthy_since = self.healthy_since.map(|since| since + gap);
    }

    fn failed(&mut self, state: VmState, damped: bool) -> VmState {
        self.healthy_since = None;
        self.damp_return = damped;
        state
    }

    /// Without evidence the last state stays, but an ended drain must not.
    fn without_evidence(&mut self) -> VmState {
        match self.state {
            VmState::Leaving if self.damp_return => VmState::Suspect,
            VmState::Leaving => VmState::Unknown,
            state => state,
        }
    }

    fn healthy(&mut self, settings: &HealthSettings, now: Timestamp) -> VmState {
        match self.state {
            VmState::Unknown | VmState::Live => VmState::Live,
            VmState::Leaving if !self.damp_return => VmState::Live,
            VmState::Leaving | VmState::Suspect | VmState::Dead => self.start_return(now),
            VmState::Returning | VmState::Straggler => self.continue_damping(settings, now),
        }
    }

    /// A recovered straggler stays `Straggler` while it is damped: as such it still serves in its
    /// group, which `Returning` would stop.
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

    fn slow(&mut self, now: Timestamp) -> VmState {
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
