//! Admission control: account limits, the admission queue and the retry budget.

mod budget;
pub mod controller;
mod meters;
pub mod query;
mod queue;
pub mod settings;
pub mod shares;
mod slots;
mod usage;

pub use budget::RetryBudget;
pub use controller::AdmissionController;
pub use query::AdmitOutcome;
pub use query::AdmitQuery;
pub use query::QueueRelease;
pub use settings::AdmissionSettings;
pub use settings::SharePolicy;
pub use shares::divide_shares;
pub use shares::divide_shares_ranked;
