//! State of this node's probes of one VM.

use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::event::ProbeFailure;
use crate::settings::HealthSettings;

/// Number of slow probes among the last 8 at which a VM becomes slow. Single slow
/// responses are normal.
const SLOW_ENTER_COUNT: u32 = 6;
/// Number of probes above half the threshold among the last 8 at or below which a VM stops being
/// slow. The hysteresis keeps a VM near the threshold from changing state repeatedly.
const SLOW_EXIT_COUNT: u32 = 1;
/// Number of probes without a result at which one is assumed to be lost by the prober itself.
const MAX_IN_FLIGHT: u32 = 3;

/// Results of this node's probes of one VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeState {
    /// Time of the next probe; part of the key in [`crate::HealthTracker`]'s schedule.
    pub(crate) next: Timestamp,
    /// Number of consecutive failed probes.
    pub(crate) misses: u32,
    /// Number of probes whose result has not arrived yet.
    in_flight: u32,
    /// Whether each of the last 8 probes was above the straggler threshold; one bit per probe, the
    /// newest in the lowest bit.
    above_threshold: u8,
    /// As `above_threshold`, for half the straggler threshold.
    above_half_threshold: u8,
    slow: bool,
    /// Latency of the last response.
    pub(crate) latency: Option<TimeSpan>,
    /// Finding from the probes so far; absent until a result yields one.
    pub(crate) finding: Option<ProbeFinding>,
    /// When the current finding was first made.
    pub(crate) finding_since: Timestamp,
    /// Last published finding and whether this node was isolated at the time.
    pub(crate) published: Option<(ProbeFinding, bool)>,
    /// Time of the last response.
    pub(crate) answered_at: Option<Timestamp>,
    /// Reason and time of the last failure.
    pub(crate) failure: Option<(ProbeFailure, Timestamp)>,
}

impl ProbeState {
    /// Creates the state with the first probe due at `next`.
    pub(crate) fn new(next: Timestamp) -> Self {
        Self {
            next,
            ..Self::default()
        }
    }

    /// Records that a probe was sent. Returns whether an earlier probe counts as failed because its
    /// result never arrived.
    pub(crate) fn record_sent(&mut self) -> bool {
        let lost = self.in_flight >= MAX_IN_FLIGHT;
        self.in_flight = (self.in_flight + 1).min(MAX_IN_FLIGHT);
        lost
    }

    /// Records a response; `threshold` is the straggler threshold of the VM's failure domain.
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

    /// Records a failed probe that is not counted, because this node itself may be the cause.
    pub(crate) fn record_discarded(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a failed probe and updates the finding when a threshold is reached.
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

    /// Resets the count of consecutive failures after a successful request.
    pub(crate) fn record_request_success(&mut self) {
        self.misses = 0;
    }

    /// Ignores probes in flight and recent failures after a pause of this node: they are no
    /// evidence about the VM.
    pub(crate) fn reset_after_pause(&mut self) {
        self.in_flight = 0;
        if self.finding != Some(ProbeFinding::Gone) {
            self.misses = 0;
        }
    }

    /// Downgrades `Gone` to `Missed` after this node was isolated, so that new failures are needed
    /// to confirm the death.
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
