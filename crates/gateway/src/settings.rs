//! Settings of the decisions about requests.

use jaysaddle_types::units::TimeSpan;

/// Settings of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Part of the latency target that a request may wait for a place at a busy target; the rest is for reading
    /// the prompt.
    pub wait_share: f64,
    /// Duration of a request before one was measured, in milliseconds.
    pub assumed_duration_ms: f64,
    /// Silence of a group that streams after which others are preferred. Events come every 50 ms.
    pub avoid_after: TimeSpan,
    /// Silence of a group that streams after which its members are probed.
    pub probe_after: TimeSpan,
    /// Silence of a group whose requests all wait for their first event, after which its members are probed.
    pub first_event_probe_after: TimeSpan,
    /// Silence after which a request goes on elsewhere.
    pub stall_limit: TimeSpan,
    /// Time for which a target without progress or with a refusal is avoided.
    pub avoid_time: TimeSpan,
    /// Repeats for each request, in thousandths.
    pub retry_permille: u32,
    /// Repeats that all nodes together may send beside that, in a window of the budget.
    pub retry_burst: u32,
    /// Bounds of the time after which a caller may come back that found all targets full.
    pub retry_after_full: (TimeSpan, TimeSpan),
    /// Bounds of the time after which a caller may come back that found no target; forming a group takes two
    /// seconds.
    pub retry_after_no_target: (TimeSpan, TimeSpan),
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            wait_share: 0.5,
            assumed_duration_ms: 800.0,
            avoid_after: TimeSpan(250),
            probe_after: TimeSpan(350),
            first_event_probe_after: TimeSpan(800),
            stall_limit: TimeSpan(600),
            avoid_time: TimeSpan(1500),
            retry_permille: 180,
            retry_burst: 90,
            retry_after_full: (TimeSpan(300), TimeSpan(1200)),
            retry_after_no_target: (TimeSpan(900), TimeSpan(1900)),
        }
    }
}
