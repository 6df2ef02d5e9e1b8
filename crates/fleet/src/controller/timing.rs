//! Times of the controller.

use jaysaddle_types::units::TimeSpan;

/// Times of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerTiming {
    /// Time without a new backend server after which the first plan is made.
    pub settle: TimeSpan,
    /// Latest time of the first plan after the first backend server was seen.
    pub settle_limit: TimeSpan,
    /// Pause before an order or probe without success is repeated.
    pub repeat: TimeSpan,
    /// Pause before an accepted order to a leader that shows no effect is repeated.
    pub leader_repeat: TimeSpan,
    /// Pause between probes of a VM that counts as lost.
    pub lost_repeat: TimeSpan,
    /// Time after which an accepted join that the entry does not show has failed.
    pub join_visible: TimeSpan,
    /// Longest formation of a group; loads share the weight store, so this is several load times.
    pub join_limit: TimeSpan,
    /// Longest time for which a leader that stopped listening finishes its requests; the platform's bound of 10 s and
    /// the age of the last report.
    pub finish_limit: TimeSpan,
    /// Time after which a new holder of the lease takes a leader as gone that it has never seen: the platform
    /// brings back the entry of a live one within two seconds.
    pub unknown_leader: TimeSpan,
    /// Failed probes in a row after which a member counts as lost.
    pub lost_probes: u32,
    /// Time for which a report shows that a VM lives, although its group is silent.
    pub report_trust: TimeSpan,
    /// Time after which a group with a leaving member is made to leave.
    pub close_limit: TimeSpan,
    /// Time after which a group that is closed for another model is made to leave; its streams go on elsewhere.
    pub exchange_close_limit: TimeSpan,
    /// Time for which free VMs are kept for a group that others are closed for.
    pub reservation: TimeSpan,
    /// Time between two exchanges in a fabric domain; an exchange takes about three seconds to show its effect.
    pub exchange_pause: TimeSpan,
    /// Time for which a group that was given up is remembered, against entries that are out of date.
    pub ended_memory: TimeSpan,
    /// Time for which a member of an ended group may join another one before it is told to leave; most do at once.
    pub release_delay: TimeSpan,
    /// Join with weights that are in memory.
    pub memory_join_time: TimeSpan,
}

impl Default for ControllerTiming {
    fn default() -> Self {
        Self {
            settle: TimeSpan(400),
            settle_limit: TimeSpan(4000),
            repeat: TimeSpan(60),
            leader_repeat: TimeSpan(1000),
            lost_repeat: TimeSpan(1000),
            join_visible: TimeSpan(3000),
            join_limit: TimeSpan::from_secs(60),
            finish_limit: TimeSpan(10_500),
            unknown_leader: TimeSpan(2000),
            lost_probes: 2,
            report_trust: TimeSpan(500),
            close_limit: TimeSpan(9000),
            exchange_close_limit: TimeSpan(2000),
            reservation: TimeSpan(5000),
            exchange_pause: TimeSpan(4000),
            ended_memory: TimeSpan::from_secs(20),
            release_delay: TimeSpan(500),
            memory_join_time: TimeSpan(200),
        }
    }
}
