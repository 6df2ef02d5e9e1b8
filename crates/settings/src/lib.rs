//! Reading and checking of settings, inventory and rules.
//!
//! Every document is read whole and checked whole before anything uses it. An error names the
//! file, the line and the field, and the accepted values.

pub mod check;
pub mod documents;
pub mod node;
pub mod yaml;

pub use check::DocumentProblem;
pub use node::NodeSettings;
pub use yaml::SettingsError;
