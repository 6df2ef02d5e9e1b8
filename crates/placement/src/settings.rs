//! Settings of placement.

use jaysaddle_types::units::TimeSpan;

/// How the planner repairs groups; other policies than the default serve as baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RepairPolicy {
    /// Changes nothing.
    None,
    /// Replaces a lost member by any spare, and does nothing else.
    Greedy,
    /// Weighs downtime against stranded accelerators.
    #[default]
    Weighted,
}

/// Settings of [`crate::PlacementPlanner`] and [`crate::ShardController`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Policy; default weighted.
    pub policy: RepairPolicy,
    /// Least time between planner runs of a shard; default 500 ms.
    pub plan_interval: TimeSpan,
    /// Time until an order without an answer is sent again; default 2 s.
    pub order_timeout: TimeSpan,
    /// Time for which a group drains before it is dissolved, if its requests do not end; default
    /// 60 s.
    pub drain_timeout: TimeSpan,
    /// Time for which a member may be suspect before it is replaced; default 3 s. Shorter replaces
    /// members that only paused.
    pub suspect_grace: TimeSpan,
    /// Time for which a group drains at least, even when it reports no running request; default
    /// 3 s. Nodes may dispatch to the group until they have learned of the drain; shorter
    /// interrupts such requests.
    pub min_drain_time: TimeSpan,
    /// Time until a call to the store that found it unavailable is repeated; default 1 s, with
    /// jitter of up to as much again.
    pub store_retry: TimeSpan,
    /// Time for which a loading group occupies one of the weight store's concurrent loads;
    /// default 10 min. A group that never finishes then no longer delays the others.
    pub load_timeout: TimeSpan,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            policy: RepairPolicy::Weighted,
            plan_interval: TimeSpan::from_millis(500),
            order_timeout: TimeSpan::from_secs(2),
            drain_timeout: TimeSpan::from_secs(60),
            suspect_grace: TimeSpan::from_secs(3),
            min_drain_time: TimeSpan::from_secs(3),
            store_retry: TimeSpan::from_secs(1),
            load_timeout: TimeSpan::from_secs(600),
        }
    }
}
