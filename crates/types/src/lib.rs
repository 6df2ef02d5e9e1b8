//! Types shared by all crates of jaysaddle: newtypes, verdicts, documents, views and engine
//! messages.
//!
//! Every other crate builds on these types. Nothing here performs I/O or reads a clock.

pub mod answer_status;
pub mod content;
pub mod decision;
pub mod engine;
pub mod evidence;
pub mod ids;
pub mod inventory;
pub mod node;
pub mod placement;
pub mod request;
pub mod rules;
pub mod serving;
pub mod store;
pub mod units;
pub mod verdict;
pub mod view;
