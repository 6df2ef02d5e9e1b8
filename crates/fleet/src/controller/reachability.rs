//! What probes and orders have shown about whether a VM still works.
//!
//! A connection that is refused or cannot be opened shows that the process or its machine is gone. A process that accepts connections but
//! sends nothing may only lack the processor, and goes on with its work afterwards.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::controller::ControllerTiming;
use crate::controller::ProbeResult;

/// Consecutive failed probes of a VM.
#[derive(Clone, Debug, Default)]
pub(super) struct Reachability {
    /// Failed probes since the last response.
    failed: u32,
    /// The last of them that were refused or found no connection.
    gone: u32,
    /// Whether the last one was refused, which shows that the host is still up.
    is_refusing: bool,
    /// When the first and the last of them failed.
    failed_between: Option<(Timestamp, Timestamp)>,
    /// Time between them, without long times in which the VM was not probed.
    silent: TimeSpan,
}

impl Reachability {
    /// Records a response of any kind.
    pub fn record_response(&mut self) {
        *self = Self::default();
    }

    /// Records a probe without a report. Void probes are not recorded.
    pub fn record_failure(
        &mut self,
        result: &ProbeResult,
        timing: &ControllerTiming,
        now: Timestamp,
    ) {
        self.failed += 1;
        self.is_refusing = *result == ProbeResult::Refused;
        let is_gone = matches!(result, ProbeResult::Refused | ProbeResult::Unreachable);
        self.gone = if is_gone { self.gone + 1 } else { 0 };
        let (first, last) = self.failed_between.unwrap_or((now, now));
        let passed = now.since(last).min(timing.lost_probe_interval);
        self.silent = TimeSpan(self.silent.0 + passed.0);
        self.failed_between = Some((first, now));
    }

    /// Number of failed probes since the last response.
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Whether the last failed probe was refused rather than unanswered.
    pub fn is_refusing(&self) -> bool {
        self.is_refusing
    }

    /// When the first of the failed probes failed.
    pub fn failed_since(&self) -> Option<Timestamp> {
        self.failed_between.map(|(first, _)| first)
    }

    /// Whether the VM counts as lost: its process or machine is gone, or it has been silent for longer than its group keeps
    /// its work.
    pub fn is_lost(&self, timing: &ControllerTiming) -> bool {
        self.gone >= timing.lost_probe_count
            || self.failed >= timing.lost_probe_count && self.silent >= timing.stall_time
    }

    /// Whether the VM is silent but not lost.
    pub fn is_silent(&self, timing: &ControllerTiming) -> bool {
        self.failed >= timing.lost_probe_count && !self.is_lost(timing)
    }
}
