//! A token bucket that bounds the bytes of pushed rumors.

use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::Timestamp;

/// Bytes that may be sent now, refilled at a fixed rate.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget {
    per_second: u64,
    burst: u64,
    available: u64,
    refilled: Option<Timestamp>,
}

impl ByteBudget {
    pub(crate) fn new(per_second: ByteCount, burst: ByteCount) -> Self {
        Self {
            per_second: per_second.0,
            burst: burst.0,
            available: burst.0,
            refilled: None,
        }
    }

    pub(crate) fn refill(&mut self, now: Timestamp) {
        let elapsed = self.refilled.map_or(0, |last| now.since(last).as_millis());
        let gained = self.per_second.saturating_mul(elapsed) / 1000;
        self.refilled = Some(now);
        self.available = self.available.saturating_add(gained).min(self.burst);
    }

    /// Takes up to `bytes` out of the bucket.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.available = self.available.saturating_sub(bytes as u64);
    }

    pub(crate) fn allows(&self, bytes: usize) -> bool {
        self.available >= bytes as u64
    }
}
