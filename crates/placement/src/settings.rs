//! Settings of the planner and the shard controller.

use jaysaddle_types::units::TimeSpan;

/// Policy by which the planner repairs groups. Policies other than the default are
/// baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RepairPolicy {
    /// Never changes the placement.
    None,
    /// Replaces lost members with any free VMs, and does nothing else.
    Greedy,
    /// Trades group downtime against stranded accelerators by the weights in the rules.
    #[default]
    Weighted,
}

/// Settings of [`crate::PlacementPlanner`] and [`crate::ShardController`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// How groups are repaired; default weighted.
    pub policy: RepairPolicy,
    /// Minimum time between planner runs; default 500 ms.
    pub plan_interval: TimeSpan,
    /// Time after which an order that has had no effect is sent again; default 2 s.
    pub order_timeout: TimeSpan,
    /// Maximum drain time. A group whose requests have not completed by then is changed or
    /// dissolved anyway; default 60 s.
    pub drain_timeout: TimeSpan,
    /// Time for which a member may be suspect before it is replaced; default 3 s. A shorter time
    /// replaces members that only paused.
    pub suspect_grace: TimeSpan,
    /// Minimum drain time, even when the group reports no running request; default 3 s. Nodes
    /// may dispatch to the group until they have received the drain; a shorter time
    /// interrupts such requests.
    pub min_drain_time: TimeSpan,
    /// Base delay before a failed call to the store is retried; default 1 s. Jitter adds up to the
    /// same time again.
    pub store_retry: TimeSpan,
    /// Maximum time for which a loading group occupies one of the weight store's concurrent loads;
    /// default 10 min. It keeps a load that never finishes from blocking the others.
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
