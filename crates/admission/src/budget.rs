//! Retry budget.

/// Thousandths of a retry in one retry.
const MILLI_PER_RETRY: u64 = 1000;

/// Token bucket filled by fresh requests.
///
/// # Invariants
///
/// `milli_retries` never exceeds the burst, so that a long quiet time saves up no retry storm.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    milli_retries: u64,
    burst: u64,
    refill_per_request: u64,
}

impl RetryBudget {
    /// A full bucket of `burst` retries, refilled by `refill_permille` thousandths for each fresh request.
    pub fn new(burst: u32, refill_permille: u32) -> Self {
        let burst = u64::from(burst) * MILLI_PER_RETRY;
        Self {
            milli_retries: burst,
            burst,
            refill_per_request: u64::from(refill_permille),
        }
    }

    /// Takes note of a fresh request.
    pub fn record_request(&mut self) {
        self.milli_retries = (self.milli_retries + self.refill_per_request).min(self.burst);
    }

    /// Takes one retry, when there is one.
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
