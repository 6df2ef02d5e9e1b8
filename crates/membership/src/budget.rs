//! Token bucket that limits the bytes of rumors sent.

use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::Timestamp;

/// Number of bytes that may be sent now, refilled at a fixed rate.
///
/// One message may overdraw the bucket, so that it need not be truncated to the remaining credit.
/// The next message waits until the balance is positive again.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget {
    per_second: i64,
    burst: i64,
    available: i64,
    refilled: Option<Timestamp>,
}

impl ByteBudget {
    pub(crate) fn new(per_second: ByteCount, burst: ByteCount) -> Self {
        let burst = i64::try_from(burst.0).unwrap_or(i64::MAX);
        Self {
            per_second: i64::try_from(per_second.0).unwrap_or(i64::MAX),
            burst,
            available: burst,
            refilled: None,
        }
    }

    pub(crate) fn refill(&mut self, now: Timestamp) {
        let elapsed = self.refilled.map_or(0, |last| now.since(last).as_millis());
        let elapsed = i64::try_from(elapsed).unwrap_or(i64::MAX);
        let gained = self.per_second.saturating_mul(elapsed) / 1000;
        self.refilled = Some(now);
        self.available = self.available.saturating_add(gained).min(self.burst);
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.available = self.available.saturating_sub(bytes);
    }

    pub(crate) fn has_credit(&self) -> bool {
        self.available > 0
    }
}
