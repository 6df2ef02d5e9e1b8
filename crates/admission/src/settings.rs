//! Settings of admission.

use jaysaddle_types::units::TimeSpan;

/// How account floors are divided among nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SharePolicy {
    /// The same share on every node. The baseline, and the fallback without usage rumors.
    Static,
    /// Shares follow the demand that nodes report.
    #[default]
    Demand,
}

/// Settings of [`crate::AdmissionController`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// How floors are divided; default by demand.
    pub shares: SharePolicy,
    /// Requests that may wait on one node; default 256. More only wait past their deadline.
    pub queue_length: usize,
    /// Longest wait in the queue; default 500 ms. A request that waits longer is refused at once
    /// and told when to come back.
    pub queue_time: TimeSpan,
    /// Time within which an account gets its floor back from borrowers, and the longest wait of a
    /// request within its account's floor; default 2 s. A lower value leaves more slots idle, a
    /// higher one lets an account wait longer for what it reserved.
    pub floor_wait: TimeSpan,
    /// Share of fresh requests that may be retried, in thousandths; default 100.
    pub retry_permille: u32,
    /// Retries allowed without any fresh request, so that a quiet node can retry; default 10.
    pub retry_burst: u32,
    /// Window over which demand is measured; default 5 s.
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
