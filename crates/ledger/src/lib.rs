//! Deduplication of requests by idempotency key.
//!
//! The ledger executes each non-idempotent request with an idempotency key at most once, also when
//! the caller retries it at another node. The node that issued the key's home token is the key's
//! home; other nodes query it for a grant before they dispatch the request.

mod claims;
mod coverage;
mod handover;
mod home;
pub mod ledger;
pub mod query;
mod refusal;
mod remote;
pub mod settings;
pub mod snapshot;
mod table;
mod waiters;

pub use ledger::HomeLocation;
pub use ledger::RequestLedger;
pub use query::ClaimOutcome;
pub use query::ClaimQuery;
pub use query::LedgerAnswer;
pub use query::LedgerEffect;
pub use query::LedgerQuery;
pub use query::StoredResponse;
pub use settings::LedgerSettings;
pub use snapshot::LedgerSnapshot;
pub use snapshot::SnapshotEntry;
pub use snapshot::SnapshotState;
