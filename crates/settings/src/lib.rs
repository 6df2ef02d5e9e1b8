//! Reading and validation of settings, inventory and rules.
//!
//! Every document is read and validated completely before any of its values is used. An error names
//! the file, the line, the field and the accepted values.

pub mod check;
pub mod documents;
pub mod lenient;
pub mod node;
pub mod yaml;

pub use check::DocumentProblem;
pub use node::NodeSettings;
pub use yaml::SettingsError;
