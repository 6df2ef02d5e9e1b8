//! Settings of the admission controller.

use jaysaddle_types::units::TimeSpan;

/// Policy by which account floors and ceilings are divided among nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SharePolicy {
    /// Equal shares on all nodes. Also the fallback when no usage reports have been received.
    Static,
    /// Shares proportioned by the demand that each node reports, with max-min fairness.
    #[default]
    Demand,
}

/// Tunable limits of the [`crate::AdmissionController`]. They apply to one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Policy for dividing floors and ceilings; default [`SharePolicy::Demand`].
    pub shares: SharePolicy,
    /// Maximum number of queued requests on one node; default 256. In a longer queue, requests
    /// would only wait past their deadline.
    pub queue_length: usize,
    /// Maximum time in the queue for a request beyond its account's floor; default 500 ms. A
    /// request that would wait longer is refused immediately with a retry-after time.
    pub queue_time: TimeSpan,
    /// Time within which lent slots must be expected back when an account needs its floor,
    /// and the maximum time in the queue for a request within its account's floor; default 2 s.
    /// A lower value leaves more slots idle, a higher one makes an account wait longer for
    /// its reserved slots.
    pub floor_wait: TimeSpan,
    /// Retries allowed per thousand new requests; default 100.
    pub retry_permille: u32,
    /// Retries allowed without any new request, so that a node with little traffic can
    /// retry; default 10.
    pub retry_burst: u32,
    /// Sliding window over which the demand of accounts is measured; default 5 s.
    pub demand_window: TimeSpan,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            shares: SharePolicy::Demand,
            queue_length: 256,
            queue_time: TimeSpan::from_millis(500),
            floor_wait: TimeSpan::from_secs(2),
            retry_permille: 100,
            retry_burst: 10,
            demand_window: TimeSpan::from_secs(5),
        }
    }
}
