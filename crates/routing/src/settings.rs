//! Settings of routing.

use jaysaddle_types::units::TimeSpan;

/// How a group is chosen among those that fit; other policies than the default serve as baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePolicy {
    /// Any group.
    Random,
    /// The group with the least known load.
    LeastLoaded,
    /// The less loaded of two random groups.
    TwoChoices,
    /// Prefix affinity bounded by load.
    #[default]
    BoundedAffinity,
}

/// Settings of [`crate::GroupRouter`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingSettings {
    /// Policy; default bounded affinity.
    pub policy: RoutePolicy,
    /// How much fuller a group that was sent the whole prompt may be than another one and still be
    /// chosen, in thousandths of its slots; a part of the prompt counts in proportion. Default 1000.
    /// A lower value uses the caches less, a higher one queues requests behind each other.
    pub affinity_bound_permille: u32,
    /// Age at which a load report has lost half of its weight; default 1 s.
    pub report_half_life: TimeSpan,
    /// Prefix blocks remembered per node; default 65,536, about 3 MB.
    pub affinity_entries: usize,
    /// Age of a leader's own report up to which it proves that the group is present; default 2 s.
    pub presence_bound: TimeSpan,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: RoutePolicy::BoundedAffinity,
            affinity_bound_permille: 1000,
            report_half_life: TimeSpan::from_secs(1),
            affinity_entries: 65_536,
            presence_bound: TimeSpan::from_secs(2),
        }
    }
}
