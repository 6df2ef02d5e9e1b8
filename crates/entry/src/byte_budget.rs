//! Limits on the memory that the requests of callers and the responses of backend servers and of the store take, each over all of them
//! at a time.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use jaysaddle_types::units::ByteCount;

/// Percentage of the VM's memory for the buffered responses to callers' requests and the incomplete events of their streams.
const REQUEST_PERCENT: u64 = 20;
/// Percentage for the bodies of callers' requests. They are held until the request is over, because it may be sent again.
const BODY_PERCENT: u64 = 20;
/// Percentage for the reports of backend servers and their answers to orders.
const CALL_PERCENT: u64 = 3;
/// Percentage for the store's responses.
const STORE_PERCENT: u64 = 10;

/// Limit on the bytes that all its holders take together.
///
/// A holder may grow while it takes no more than what remains free, so that many large holders leave room for small ones
/// and none takes more than half of the limit.
///
/// # Invariants
///
/// `held` is the sum of the bytes of all holders, and does not exceed `limit`.
#[derive(Debug)]
pub struct ByteBudget {
    limit: ByteCount,
    held: AtomicU64,
}

/// Error for bytes that the budget has no room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExceeded {
    /// Bytes that the holder would take.
    pub wanted: ByteCount,
    /// Bytes that the other holders take.
    pub held_by_others: ByteCount,
}

impl fmt::Display for BudgetExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "no memory for {}, others hold {}",
            self.wanted, self.held_by_others
        )
    }
}

impl std::error::Error for BudgetExceeded {}

impl ByteBudget {
    /// Creates a budget without holders.
    pub fn new(limit: ByteCount) -> Arc<Self> {
        Arc::new(Self {
            limit,
            held: AtomicU64::new(0),
        })
    }

    /// Bytes that all holders take.
    pub fn held(&self) -> ByteCount {
        ByteCount(self.held.load(Ordering::Relaxed))
    }

    /// Returns a holder that takes no bytes yet.
    pub fn holder(self: &Arc<Self>) -> HeldBytes {
        HeldBytes {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// Bytes taken from a budget, which are given back on drop.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<ByteBudget>,
    bytes: u64,
}

impl HeldBytes {
    /// Changes the number of bytes taken.
    ///
    /// # Errors
    ///
    /// Fails, without a change, when the number rises and would exceed what remains free.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let wanted = bytes as u64;
        let held_by_others = self.budget.held().0.saturating_sub(self.bytes);
        let available = self.budget.limit.0.saturating_sub(held_by_others);
        if wanted > self.bytes && wanted > available.saturating_sub(wanted) {
            return Err(BudgetExceeded {
                wanted: ByteCount(wanted),
                held_by_others: ByteCount(held_by_others),
            });
        }
        if wanted >= self.bytes {
            let added = wanted - self.bytes;
            self.budget.held.fetch_add(added, Ordering::Relaxed);
        } else {
            let removed = self.bytes - wanted;
            self.budget.held.fetch_sub(removed, Ordering::Relaxed);
        }
        self.bytes = wanted;
        Ok(())
    }

    /// Gives all bytes back.
    pub fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.budget.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release();
    }
}

/// Budgets of a node. Callers' requests and responses, calls to backend servers and the store do not take each other's memory.
#[derive(Debug)]
pub struct MemoryBudgets {
    /// Bodies of callers' requests.
    pub bodies: Arc<ByteBudget>,
    /// Buffered responses to callers' requests, and incomplete events of their streams.
    pub requests: Arc<ByteBudget>,
    /// Reports of backend servers and their answers to orders.
    pub calls: Arc<ByteBudget>,
    /// Responses of the store.
    pub store: Arc<ByteBudget>,
}

impl MemoryBudgets {
    /// Divides the memory that requests and responses may take on a VM with `memory`.
    pub fn of(memory: ByteCount) -> Self {
        let share = |percent: u64| ByteBudget::new(ByteCount(memory.0 / 100 * percent));
        Self {
            bodies: share(BODY_PERCENT),
            requests: share(REQUEST_PERCENT),
            calls: share(CALL_PERCENT),
            store: share(STORE_PERCENT),
        }
    }

    /// Bytes held by each kind of response.
    pub fn held_responses(&self) -> [(&'static str, ByteCount); 3] {
        [
            ("request", self.requests.held()),
            ("call", self.calls.held()),
            ("store", self.store.held()),
        ]
    }
}
