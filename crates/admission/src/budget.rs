//! Retry budget.

/// Thousandths of a retry in one retry.
const MILLI: u64 = 1000;

/// Token bucket filled by fresh requests.
///
/// # Invariants
///
/// `milli_retries` never exceeds the burst, so that a long quiet time saves up no retry storm.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    milli_retries: u64,
    burst: u64,
    per_fresh: u64,
}

impl RetryBudget {
    /// A full bucket of `burst` retries, refilled by `per_fresh_permille` thousandths for each fresh request.
    pub fn new(burst: u32, per_fresh_permille: u32) -> Self {
        let burst = u64::from(burst) * MILLI;
        Self {
            milli_retries: burst,
            burst,
            per_fresh: u64::from(per_fresh_permille),
        }
    }

    /// Takes note of a fresh request.
    pub fn record_request(&mut self) {
        self.milli_retries = (self.milli_retries + self.per_fresh).min(self.burst);
    }

    /// Takes one retry, when there is one.
    pub fn try_take(&mut self) -> bool {
        match self.milli_retries.checked_sub(MILLI) {
            Some(rest) => {
                self.milli_retries = rest;
                true
            }
            None => false,
        }
    }
}
