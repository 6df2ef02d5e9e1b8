//! Decision on a piece of content, as the store holds it.

use serde::Deserialize;
use serde::Serialize;

/// Content of an object. Its name is the key of the piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredBlock {
    /// Orders the decisions on the piece; higher for later ones.
    pub version: u64,
    /// Whether requests with the piece are refused.
    pub is_blocked: bool,
    /// Number of times at which backend servers have ended under the piece; 0 for a decision of an operator, which has no end,
    /// and for a piece that is sound.
    pub ends: u32,
}
