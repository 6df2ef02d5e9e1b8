//! What nodes tell each other of content under which backend servers have ended.

use jaysaddle_types::content::ContentKey;
use jaysaddle_types::units::TimeSpan;

/// What became of the process of a backend server that had begun to answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunFate {
    /// The process has ended.
    Ended,
    /// The process has gone on.
    Survived,
}

/// Observation of a request with a piece of content at a process of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashFact {
    /// The piece of content.
    pub key: ContentKey,
    /// Whether the piece is a whole request, rather than a part that requests share.
    pub is_whole: bool,
    /// Model, or service, of the request.
    pub class: ContentKey,
    /// Number of the process of the backend server, which is the same at all nodes.
    pub server: u32,
    /// Tells independent requests with the piece apart.
    pub source: u32,
    /// What became of the process.
    pub fate: RunFate,
    /// Whether the answer was complete before the process ended.
    pub was_answered: bool,
    /// Time since the observation.
    pub age: TimeSpan,
}

/// Decision on a piece of content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerBlock {
    /// The piece of content.
    pub key: ContentKey,
    /// Orders the decisions on the piece; higher for later ones.
    pub version: u64,
    /// Whether requests with the piece are refused.
    pub is_blocked: bool,
    /// Number of processes that have ended under the piece; 0 for a decision of an operator, and for a piece that is sound.
    pub ends: u32,
    /// Time since the decision.
    pub age: TimeSpan,
}
