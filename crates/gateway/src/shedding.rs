//! Decides which requests are turned away when there is too little room for all that arrive.
//!
//! Each node knows how many more requests its targets can begin in time, from the load that heartbeats carry, and how many
//! requests the nodes send until that is known: the rate at which requests arrive at this node, times the number of nodes,
//! times the age of what it knows. Higher ranks take their part of the room first. What is left is divided among the
//! requests of the next rank, each of which is admitted with the same probability, so all nodes turn the same ranks away
//! without a message. Within a rank, client accounts share equally: those with few requests are admitted, and heavy ones
//! bear what is missing.
//!
//! A node with more callers than others admits no more than they do, because it estimates the rate of all nodes from its own.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Tuning parameters of [`admission_share`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SheddingSettings {
    /// Smallest part of the requests of any rank that is admitted, so that none is shut out for good.
    pub min_share: f64,
    /// Factor by which the room must fall short before requests are turned away. A node of a large deployment estimates the
    /// rate of all requests from some tens of its own, with an error of about a quarter.
    pub tolerance: f64,
    /// Time constant of the average of the admitted part.
    pub smoothing_time: TimeSpan,
}

impl Default for SheddingSettings {
    fn default() -> Self {
        Self {
            min_share: 0.02,
            tolerance: 1.25,
            smoothing_time: TimeSpan(400),
        }
    }
}

/// Requests that compete for the room of the targets of one service and model. All counts are requests of all nodes in the
/// time until this node knows of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompetingRequests {
    /// Requests that the targets can begin in time.
    pub room: f64,
    /// Requests of higher ranks.
    pub before: f64,
    /// Requests of the same rank, this one included. Must be above zero.
    pub same: f64,
}

/// Part of the requests of a rank that is admitted, 0 to 1.
pub fn admission_share(requests: &CompetingRequests, settings: &SheddingSettings) -> f64 {
    let share = (requests.room - requests.before) / requests.same;
    // Higher ranks must not bear the error of the estimate.
    let tolerance = if requests.before > 0.0 {
        1.0
    } else {
        settings.tolerance
    };
    (share * tolerance).clamp(settings.min_share, 1.0)
}

/// Moving average of the admitted part of a rank's requests, by which client accounts are told apart. The present part
/// changes with each request that begins or ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SmoothedShare {
    share: f64,
    updated: Timestamp,
}

impl SmoothedShare {
    /// Begins with a first share.
    pub fn new(share: f64, now: Timestamp) -> Self {
        Self {
            share,
            updated: now,
        }
    }

    /// Adds the present share and returns the average.
    pub fn update(&mut self, share: f64, settings: &SheddingSettings, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated).as_millis() as f64;
        let constant = settings.smoothing_time.as_millis().max(1) as f64;
        self.share += (share - self.share) * (1.0 - (-elapsed / constant).exp());
        self.updated = now;
        self.share
    }
}

/// Part of the requests of a client account that is admitted on average, if `share` of all requests of its rank are. `own`
/// is the rate of the account and `others` those of the other accounts, in any unit. Max-min fair: no account gets more by
/// sending more.
pub fn account_share(share: f64, own: f64, others: &[f64]) -> f64 {
    let total: f64 = own + others.iter().sum::<f64>();
    if share >= 1.0 || others.is_empty() {
        return share;
    }
    if own <= 0.0 {
        return 1.0;
    }
    let mut sorted: Vec<f64> = others.iter().copied().chain([own]).collect();
    sorted.sort_by(f64::total_cmp);
    let mut left = total * share;
    let mut limit = 0.0;
    for (position, rate) in sorted.iter().enumerate() {
        limit = left / (sorted.len() - position) as f64;
        if *rate >= limit {
            break;
        }
        left -= rate;
    }
    (limit / own).clamp(0.0, 1.0)
}
