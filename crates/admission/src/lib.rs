//! Account limits, admission queue and retry budget.

pub mod query;
pub mod settings;

pub use query::AdmitOutcome;
pub use query::AdmitQuery;
pub use query::QueueRelease;
pub use settings::AdmissionSettings;
