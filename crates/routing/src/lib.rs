//! Selects the group or backend server that serves a request.

mod affinity;
mod index;
mod load;
mod outcome;
mod policy;
pub mod query;
mod random;
pub mod router;
pub mod settings;

pub use query::AttemptResult;
pub use query::RouteChoice;
pub use query::RouteFailure;
pub use query::RouteQuery;
pub use query::RouteTarget;
pub use router::GroupRouter;
pub use settings::RoutePolicy;
pub use settings::RoutingSettings;
