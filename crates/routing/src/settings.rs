//! Settings of the router.

use jaysaddle_types::units::TimeSpan;

/// How a group is chosen among the candidates.
///
/// All policies except the default are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePolicy {
    /// A random group.
    Random,
    /// The group with the lowest estimated load.
    LeastLoaded,
    /// The less loaded of two random groups.
    TwoChoices,
    /// The group that was sent the longest prefix of the prompt, unless the load of another group
    /// is much lower.
    #[default]
    BoundedAffinity,
}

/// Settings of [`crate::GroupRouter`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingSettings {
    /// How a group is chosen; default [`RoutePolicy::BoundedAffinity`].
    pub policy: RoutePolicy,
    /// Extra load, in permille of its slots, that a group may have over another group and still
    /// be chosen because it was sent the complete prompt before; default 1000.
    ///
    /// A partial prefix match counts in proportion. Lower values use the prefix caches less, higher
    /// values make requests queue behind each other.
    pub affinity_bound_permille: u32,
    /// Half-life of a load report: the age at which its weight has halved; default 1 s.
    pub report_half_life: TimeSpan,
    /// Capacity of the prefix affinity table of a node, in blocks; default 65,536, about 3 MB.
    pub affinity_capacity: usize,
    /// Maximum age at which a leader's report confirms that its group is present; default 2 s.
    pub report_max_age: TimeSpan,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: RoutePolicy::BoundedAffinity,
            affinity_bound_permille: 1000,
            report_half_life: TimeSpan::from_secs(1),
            affinity_capacity: 65_536,
            report_max_age: TimeSpan::from_secs(2),
        }
    }
}
