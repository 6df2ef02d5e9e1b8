//! Settings of health.

use jaysaddle_types::units::TimeSpan;

/// Settings of [`crate::HealthTracker`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthSettings {
    /// Time between probes of one VM by one watcher; default 1 s.
    pub probe_interval: TimeSpan,
    /// Time after which a probe counts as missed; default 1 s.
    pub probe_timeout: TimeSpan,
    /// Watchers of one VM; default 3.
    pub watchers: usize,
    /// Missed probes in a row until a VM is suspect; default 2. One missed probe can be a silent
    /// connection; the next probe uses a new one.
    pub suspect_after: u32,
    /// Missed probes in a row until a VM is dead; default 4.
    pub dead_after: u32,
    /// Probe latency over that of the median VM from which a VM is a straggler; default 8.
    pub straggler_factor: u32,
    /// Probe latency below which no VM is a straggler; default 100 ms.
    pub straggler_floor: TimeSpan,
    /// First damping time of a VM that comes back; default 10 s.
    pub damping_min: TimeSpan,
    /// Longest damping time; default 5 min.
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
