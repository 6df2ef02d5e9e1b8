//! Retry budget.

use crate::settings::AdmissionSettings;

/// Thousandths of a retry in one retry.
const MILLI: u64 = 1000;

/// Token bucket filled by fresh requests.
///
/// # Invariants
///
/// `milli_retries` never exceeds the burst, so that a long quiet time saves up no retry storm.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    milli_retries: u64,
    burst: u64,
    per_fresh: u64,
}

impl RetryBudget {
    pub(crate) fn new(settings: &AdmissionSettings) -> Self {
        let burst = u64::from(settings.retry_burst) * MILLI;
        Self {
            milli_retries: burst,
            burst,
            per_fresh: u64::from(settings.retry_permille),
        }
    }

    pub(crate) fn fresh(&mut self) {
        self.milli_retries = (self.milli_retries + self.per_fresh).min(self.burst);
    }

    pub(crate) fn try_retry(&mut self) -> bool {
        match self.milli_retries.checked_sub(MILLI) {
            Some(rest) => {
                self.milli_retries = rest;
                true
            }
            None => false,
        }
    }
}
