//! Timeouts and intervals of the controller.

use jaysaddle_types::units::TimeSpan;

/// Timeouts and intervals of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerTiming {
    /// Time without a newly registered backend server after which the first plan is made.
    pub settle_time: TimeSpan,
    /// Upper bound on the delay of the first plan after the first backend server was seen.
    pub settle_timeout: TimeSpan,
    /// Delay before a failed order or probe is retried.
    pub retry_delay: TimeSpan,
    /// Delay before an order to a leader that was sent but shows no effect is repeated.
    pub leader_retry_delay: TimeSpan,
    /// Interval between probes of a VM that counts as lost.
    pub lost_probe_interval: TimeSpan,
    /// Interval between probes of a VM that is silent.
    pub silent_probe_interval: TimeSpan,
    /// Time after which a group breaks by itself if a member does nothing. A VM that is silent for longer counts as lost.
    pub stall_time: TimeSpan,
    /// Time after which an accepted join counts as failed if the VM's entry does not show it.
    pub join_visibility_timeout: TimeSpan,
    /// Maximum time to form a group. Loads share the weight store's bandwidth, so this allows several load times.
    pub join_timeout: TimeSpan,
    /// Maximum time for which a leader that no longer listens may finish its requests: the platform's bound of 10 s
    /// plus the age of the last report.
    pub finish_timeout: TimeSpan,
    /// Time after which a leader that answers but whose entry has expired is ordered to leave. The platform restores the
    /// entry of a live backend server within two seconds.
    pub unknown_leader_timeout: TimeSpan,
    /// Number of consecutive failed probes after which a VM counts as lost or silent.
    pub lost_probe_count: u32,
    /// Time for which a report is evidence that a VM is up, so that it is not probed although its group has stalled.
    pub report_validity: TimeSpan,
    /// Maximum time for which a closing group may finish its requests before its leader is ordered to leave.
    pub close_timeout: TimeSpan,
    /// The same limit for a group that is closed for another model. It is shorter because the group's streams are
    /// resumed on other groups.
    pub exchange_close_timeout: TimeSpan,
    /// Maximum time for which free VMs are reserved for the group of an exchange.
    pub reservation_timeout: TimeSpan,
    /// Time for which the same free VMs of a fabric domain are left in no group before they may lose their weights, or form a
    /// group of a model that needs them less. It is longer than a group takes to end, whose members they may wait for.
    pub stranded_time: TimeSpan,
    /// Minimum time between two exchanges in a fabric domain. An exchange takes about three seconds to show its effect.
    pub exchange_interval: TimeSpan,
    /// Time for which an ended group is remembered, so that an outdated entry does not cause its adoption.
    pub ended_retention: TimeSpan,
    /// Delay after the end of a group before idle members are ordered to leave it. Most of them join
    /// another group immediately.
    pub release_delay: TimeSpan,
    /// Expected duration of a join with the weights in memory.
    pub memory_join_time: TimeSpan,
}

impl Default for ControllerTiming {
    fn default() -> Self {
        Self {
            settle_time: TimeSpan(400),
            settle_timeout: TimeSpan(4000),
            retry_delay: TimeSpan(60),
            leader_retry_delay: TimeSpan(1000),
            lost_probe_interval: TimeSpan(1000),
            silent_probe_interval: TimeSpan(250),
            stall_time: TimeSpan(6000),
            join_visibility_timeout: TimeSpan(3000),
            join_timeout: TimeSpan::from_secs(60),
            finish_timeout: TimeSpan(10_500),
            unknown_leader_timeout: TimeSpan(2000),
            lost_probe_count: 2,
            report_validity: TimeSpan(500),
            close_timeout: TimeSpan(9000),
            exchange_close_timeout: TimeSpan(2000),
            reservation_timeout: TimeSpan(5000),
            stranded_time: TimeSpan(5000),
            exchange_interval: TimeSpan(4000),
            ended_retention: TimeSpan::from_secs(20),
            release_delay: TimeSpan(500),
            memory_join_time: TimeSpan(200),
        }
    }
}
