//! Meters of slot hold times and of demand.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Weight of a release in the exponential moving average; the average covers about 32 releases.
const RELEASE_WEIGHT: f64 = 1.0 / 32.0;

/// Number of buckets into which the demand window is divided.
const BUCKETS: usize = 10;

/// Estimates how long requests hold slots and how fast slots are released.
///
/// The mean hold time is the total time that slots were in use divided by the number of releases.
/// The mean over finished requests alone would be far too short while long requests still run, and
/// would not reflect a stall.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotMeter {
    /// Slot-milliseconds in use, decayed with each release.
    held_ms: f64,
    /// Number of releases, decayed with each release.
    releases: f64,
    in_use: u32,
    last_change: Timestamp,
}

impl SlotMeter {
    pub(crate) fn record_acquire(&mut self, now: Timestamp) {
        self.advance(now);
        self.in_use += 1;
    }

    pub(crate) fn record_release(&mut self, now: Timestamp) {
        self.advance(now);
        self.in_use = self.in_use.saturating_sub(1);
        let decay = 1.0 - RELEASE_WEIGHT;
        self.held_ms *= decay;
        self.releases = self.releases * decay + 1.0;
    }

    /// Records that a slot was freed by a cancellation. It does not count as a release, since the
    /// request did not run to its end.
    pub(crate) fn record_cancel(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    pub(crate) fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Mean hold time of a slot in milliseconds; `None` before the first release.
    pub(crate) fn mean_hold_ms(&self, now: Timestamp) -> Option<f64> {
        let held_ms = self.held_ms + self.held_since_change(now);
        (self.releases > 0.0).then(|| (held_ms / self.releases).max(1.0))
    }

    /// Estimated releases per millisecond; `None` before the first release.
    pub(crate) fn release_rate(&self, now: Timestamp) -> Option<f64> {
        Some(f64::from(self.in_use) / self.mean_hold_ms(now)?)
    }

    /// Estimates how many of `held` slots are released within `span`: the mean for exponentially
    /// distributed hold times minus two standard deviations. With one standard deviation, up to 6%
    /// of the requests within a floor were late behind requests of 10 s.
    pub(crate) fn expected_releases(&self, held: f64, span: TimeSpan, now: Timestamp) -> f64 {
        let Some(mean_hold) = self.mean_hold_ms(now) else {
            return 0.0;
        };
        let released_share = 1.0 - (-(span.as_millis() as f64) / mean_hold).exp();
        let deviation = (held * released_share * (1.0 - released_share)).sqrt();
        (held * released_share - 2.0 * deviation).max(0.0)
    }

    fn advance(&mut self, now: Timestamp) {
        self.held_ms += self.held_since_change(now);
        self.last_change = now;
    }

    fn held_since_change(&self, now: Timestamp) -> f64 {
        f64::from(self.in_use) * now.since(self.last_change).as_millis() as f64
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct DemandBucket {
    /// Index of the time slice that this bucket counts.
    slice: u64,
    peak: u32,
    refused: u32,
}

/// Demand of one account over a sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandMeter {
    buckets: [DemandBucket; BUCKETS],
}

impl DemandMeter {
    /// Records that `concurrent` requests are running or queued.
    pub(crate) fn record_concurrency(&mut self, concurrent: u32, window: TimeSpan, now: Timestamp) {
        let bucket = self.bucket(window, now);
        bucket.peak = bucket.peak.max(concurrent);
    }

    /// Records a request refused for lack of a slot.
    pub(crate) fn record_refusal(&mut self, window: TimeSpan, now: Timestamp) {
        let bucket = self.bucket(window, now);
        bucket.refused = bucket.refused.saturating_add(1);
    }

    /// Estimates the number of concurrent requests that the account would have
    /// had without refusals.
    ///
    /// The refusal rate is converted to concurrent requests with the mean hold time (Little's law).
    pub(crate) fn wanted(&self, window: TimeSpan, mean_hold_ms: f64, now: Timestamp) -> u32 {
        let current = slice_of(window, now);
        let live = self
            .buckets
            .iter()
            .filter(|bucket| current - bucket.slice.min(current) < BUCKETS as u64);
        let (peak, refused) = live.fold((0, 0), |(peak, refused), bucket| {
            (bucket.peak.max(peak), bucket.refused + refused)
        });
        let refused_per_ms = f64::from(refused) / window.as_millis().max(1) as f64;
        peak.saturating_add((refused_per_ms * mean_hold_ms).ceil() as u32)
    }

    fn bucket(&mut self, window: TimeSpan, now: Timestamp) -> &mut DemandBucket {
        let slice = slice_of(window, now);
        let bucket = &mut self.buckets[(slice % BUCKETS as u64) as usize];
        if bucket.slice != slice {
            *bucket = DemandBucket {
                slice,
                ..DemandBucket::default()
            };
        }
        bucket
    }
}

fn slice_of(window: TimeSpan, now: Timestamp) -> u64 {
    let width = (window.as_millis() / BUCKETS as u64).max(1);
    // Slice 0 is reserved for unused buckets.
    now.0 / width + 1
}
