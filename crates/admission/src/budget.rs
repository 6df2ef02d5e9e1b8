//! Retry budget that limits retries to a fraction of new requests.

/// Unit of the bucket: one retry costs 1000, so that a refill of less than one retry is exact.
const MILLI_PER_RETRY: u64 = 1000;

/// Token bucket of retries, refilled by new requests.
///
/// # Invariants
///
/// `milli_retries` never exceeds the burst, so that credit from earlier requests cannot pay for
/// a retry storm.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    milli_retries: u64,
    burst: u64,
    refill_per_request: u64,
}

impl RetryBudget {
    /// Creates a full bucket of `burst` retries. Each new request adds `refill_permille`
    /// thousandths of a retry.
    pub fn new(burst: u32, refill_permille: u32) -> Self {
        let burst = u64::from(burst) * MILLI_PER_RETRY;
        Self {
            milli_retries: burst,
            burst,
            refill_per_request: u64::from(refill_permille),
        }
    }

    /// Changes the capacity and the refill of the bucket. Retries beyond the new capacity are dropped, and none are
    /// added: a higher capacity is filled by new requests only.
    pub fn set_limits(&mut self, burst: u32, refill_permille: u32) {
        self.burst = u64::from(burst) * MILLI_PER_RETRY;
        self.refill_per_request = u64::from(refill_permille);
        self.milli_retries = self.milli_retries.min(self.burst);
    }

    /// Refills the bucket for a new request, as opposed to a retry.
    pub fn record_request(&mut self) {
        self.milli_retries = (self.milli_retries + self.refill_per_request).min(self.burst);
    }

    /// Takes one retry from the bucket; returns false when less than one is left.
    pub fn try_take(&mut self) -> bool {
        match self.milli_retries.checked_sub(MILLI_PER_RETRY) {
            Some(remaining) => {
                self.milli_retries = remaining;
                true
            }
            None => false,
        }
    }
}
