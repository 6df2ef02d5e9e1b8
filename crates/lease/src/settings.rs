//! Settings of control leases.

use jaysaddle_types::units::TimeSpan;

/// Settings of [`crate::LeaseTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time for which a lease holds after the renewal was sent; default 10 s.
    pub duration: TimeSpan,
    /// Time between renewals; default 3 s. Must be well below `duration`.
    pub renew_interval: TimeSpan,
    /// Time added to `duration` before a candidate takes over; default 2 s. Covers different
    /// clock rates.
    pub takeover_margin: TimeSpan,
    /// Further wait per rank among the candidates; default 2 s.
    pub rank_delay: TimeSpan,
    /// Candidates that watch one lease; default 3. More cost reads of the store.
    pub max_candidates: usize,
    /// Longest time for which an order can be in flight; default 2 s. A new holder waits it out
    /// before it orders engines that ignore fencing tokens.
    pub max_order_flight: TimeSpan,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: TimeSpan::from_secs(10),
            renew_interval: TimeSpan::from_secs(3),
            takeover_margin: TimeSpan::from_secs(2),
            rank_delay: TimeSpan::from_secs(2),
            max_candidates: 3,
            max_order_flight: TimeSpan::from_secs(2),
        }
    }
}
