//! At-most-once request ledger.

pub mod query;
pub mod settings;

pub use query::ClaimOutcome;
pub use query::ClaimQuery;
pub use query::LedgerAnswer;
pub use query::LedgerEffect;
pub use query::LedgerQuery;
pub use query::StoredAnswer;
pub use settings::LedgerSettings;
