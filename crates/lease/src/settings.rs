//! Timing settings of leases.

use jaysaddle_types::units::TimeSpan;

/// Settings of [`crate::LeaseTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Validity of a lease, counted from when its last renewal was sent; default 10 s.
    pub duration: TimeSpan,
    /// Interval between renewals; default 3 s. Must be well below `duration`.
    pub renew_interval: TimeSpan,
    /// Time added to `duration` before a candidate takes over; default 2 s. Allows for clocks that
    /// run at different rates.
    pub takeover_margin: TimeSpan,
    /// Additional delay of a takeover per rank of the candidate; default 2 s.
    pub rank_delay: TimeSpan,
    /// Number of candidates that poll a lease; default 3. Each adds reads to the store's load.
    pub max_candidates: usize,
    /// Maximum time for which an order can be in flight; default 2 s. A new holder waits this long
    /// before it sends orders to engines that ignore fencing tokens.
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
