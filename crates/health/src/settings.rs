//! Settings of the health tracker.

use jaysaddle_types::units::TimeSpan;

/// Settings of [`crate::HealthTracker`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthSettings {
    /// Interval between one watcher's probes of one VM; default 1 s.
    pub probe_interval: TimeSpan,
    /// Time after which a probe counts as failed; default 1 s.
    pub probe_timeout: TimeSpan,
    /// Number of watchers per VM; default 3.
    pub watchers: usize,
    /// Consecutive failed probes after which a watcher reports a VM as missed; default 2. A single
    /// failure can be caused by a stalled connection; the next probe uses a new one.
    pub suspect_after: u32,
    /// Consecutive failed probes after which a watcher considers a VM dead; default 4.
    pub dead_after: u32,
    /// Probe latency, as a multiple of the median, above which a VM counts as slow; default 8.
    pub straggler_factor: u32,
    /// Probe latency below which no VM counts as slow; default 100 ms.
    pub straggler_floor: TimeSpan,
    /// Damping time after the first recovery of a VM, doubled with each further one; default 10 s.
    pub damping_min: TimeSpan,
    /// Upper bound of the damping time; default 5 min.
    pub damping_max: TimeSpan,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            probe_interval: TimeSpan::from_secs(1),
            probe_timeout: TimeSpan::from_secs(1),
            watchers: 3,
            suspect_after: 2,
            dead_after: 4,
            straggler_factor: 8,
            straggler_floor: TimeSpan::from_millis(100),
            damping_min: TimeSpan::from_secs(10),
            damping_max: TimeSpan::from_secs(300),
        }
    }
}
