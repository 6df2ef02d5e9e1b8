//! Settings of the membership protocol.

use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::TimeSpan;

/// Settings of [`crate::MembershipTracker`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Interval between probes of a random peer; default 1 s. A shorter interval costs bandwidth, a
    /// longer one delays failure detection.
    pub probe_interval: TimeSpan,
    /// Time after which an unanswered probe is retried indirectly; default 500 ms. Must be below
    /// half of `probe_interval` plus the longest round trip, or live peers are suspected.
    pub ping_timeout: TimeSpan,
    /// Number of peers through which a probe is retried indirectly; default 3.
    pub indirect_probes: usize,
    /// Time from suspicion to death; default 4 s. If it is too short, paused nodes
    /// are declared dead.
    pub suspicion: TimeSpan,
    /// Interval between anti-entropy exchanges; default 10 s.
    pub sync_interval: TimeSpan,
    /// Retention of a dead node's record, during which old rumors cannot revive it; default 10 min.
    pub dead_retention: TimeSpan,
    /// Maximum size of the rumors in one message; default 1 KiB.
    pub rumor_bytes: ByteCount,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: TimeSpan::from_secs(1),
            ping_timeout: TimeSpan::from_millis(500),
            indirect_probes: 3,
            suspicion: TimeSpan::from_secs(4),
            sync_interval: TimeSpan::from_secs(10),
            dead_retention: TimeSpan::from_secs(600),
            rumor_bytes: ByteCount(1024),
        }
    }
}
