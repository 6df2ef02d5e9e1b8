//! This node's own probes of one VM.

use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::event::ProbeFailure;
use crate::settings::HealthSettings;

/// Slow probes among the last 8 from which a VM is slow. Single slow answers are normal.
const SLOW_ENTER_COUNT: u32 = 6;
/// Slow probes among the last 8 at or below which a VM stops being slow, counted against half the
/// threshold. The gap between the two keeps a VM near the threshold from changing state.
const SLOW_EXIT_COUNT: u32 = 1;
/// Probes without any result from which the prober itself is taken to have lost one.
const MAX_IN_FLIGHT: u32 = 3;

/// Own probes of one VM and what they show.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeState {
    /// Next probe; the key of its place in the schedule.
    pub(crate) next: Timestamp,
    /// Missed probes in a row.
    pub(crate) misses: u32,
    /// Probes whose result has not arrived.
    in_flight: u32,
    /// One bit a probe, newest lowest: above the straggler threshold.
    above_threshold: u8,
    /// One bit a probe, newest lowest: above half the straggler threshold.
    above_half_threshold: u8,
    slow: bool,
    /// Latency of the last answer.
    pub(crate) latency: Option<TimeSpan>,
    /// What the probes show; absent until the first result that shows anything.
    pub(crate) finding: Option<ProbeFinding>,
    /// Since when they show it.
    pub(crate) finding_since: Timestamp,
    /// What was last published, with the cut-off mark.
    pub(crate) published: Option<(ProbeFinding, bool)>,
    /// Last answer.
    pub(crate) answered_at: Option<Timestamp>,
    /// Last failure.
    pub(crate) failure: Option<(ProbeFailure, Timestamp)>,
}

impl ProbeState {
    /// Starts with the first probe at `next`.
    pub(crate) fn new(next: Timestamp) -> Self {
        Self {
            next,
            ..Self::default()
        }
    }

    /// A probe is sent. Returns whether an earlier one counts as missed for lack of any result.
    pub(crate) fn record_sent(&mut self) -> bool {
        let lost = self.in_flight >= MAX_IN_FLIGHT;
        self.in_flight = (self.in_flight + 1).min(MAX_IN_FLIGHT);
        lost
    }

    /// The VM answered; `threshold` is the latency of a straggler.
    pub(crate) fn record_response(
        &mut self,
        leaving: bool,
        latency: TimeSpan,
        threshold: TimeSpan,
        now: Timestamp,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.misses = 0;
        self.latency = Some(latency);
        self.answered_at = Some(now);
        self.record_latency(latency, threshold);
        let finding = match (leaving, self.slow) {
            (true, _) => ProbeFinding::Leaving,
            (false, true) => ProbeFinding::Slow,
            (false, false) => ProbeFinding::Answers,
        };
        self.set_finding(finding, now);
    }

    fn record_latency(&mut self, latency: TimeSpan, threshold: TimeSpan) {
        self.above_threshold = (self.above_threshold << 1) | u8::from(latency > threshold);
        self.above_half_threshold =
            (self.above_half_threshold << 1) | u8::from(latency.0 > threshold.0 / 2);
        if self.above_threshold.count_ones() >= SLOW_ENTER_COUNT {
            self.slow = true;
        } else if self.above_half_threshold.count_ones() <= SLOW_EXIT_COUNT {
            self.slow = false;
        }
    }

    /// The result of a probe is not counted, because it may show this node's own fault.
    pub(crate) fn record_discarded(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// A probe failed.
    pub(crate) fn record_failure(
        &mut self,
        failure: ProbeFailure,
        settings: &HealthSettings,
        now: Timestamp,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.misses = self.misses.saturating_add(1);
        self.failure = Some((failure, now));
        if self.misses >= settings.dead_after {
            self.set_finding(ProbeFinding::Gone, now);
        } else if self.misses >= settings.suspect_after {
            self.set_finding(ProbeFinding::Missed, now);
        }
    }

    /// A request was answered: the misses in a row have ended.
    pub(crate) fn record_request_success(&mut self) {
        self.misses = 0;
    }

    /// This node was paused: its in_flight probes and recent misses show nothing of the VM.
    pub(crate) fn reset_after_pause(&mut self) {
        self.in_flight = 0;
        if self.finding != Some(ProbeFinding::Gone) {
            self.misses = 0;
        }
    }

    /// This node was cut off: death must be shown again by misses after its return.
    pub(crate) fn reset_after_isolation(&mut self, settings: &HealthSettings, now: Timestamp) {
        self.misses = self.misses.min(settings.suspect_after.max(1));
        if self.finding == Some(ProbeFinding::Gone) {
            self.set_finding(ProbeFinding::Missed, now);
        }
    }

    fn set_finding(&mut self, finding: ProbeFinding, now: Timestamp) {
        if self.finding != Some(finding) {
            self.finding = Some(finding);
            self.finding_since = now;
        }
    }
}
