//! Account limits, admission queue and retry budget.

pub mod controller;
pub mod query;
pub mod settings;
pub mod shares;

pub use controller::AdmissionController;
pub use query::AdmitOutcome;
pub use query::AdmitQuery;
pub use query::QueueRelease;
pub use settings::AdmissionSettings;
pub use settings::SharePolicy;
pub use shares::divide_shares;
