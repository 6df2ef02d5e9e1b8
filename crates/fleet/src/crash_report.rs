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

/// How much of a request a piece of content stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PieceScope {
    /// A part of a prompt, which requests share.
    Part,
    /// A whole request.
    Request,
    /// Path, client account and body of a request. Its repetitions share them whatever else they state, and sound requests may
    /// share them too.
    Path,
}

impl PieceScope {
    /// Whether the piece names a request that callers repeat, so that its ends count without traffic to compare with.
    pub fn is_repeated(self) -> bool {
        matches!(self, PieceScope::Request | PieceScope::Path)
    }
}

/// Observation of a request with a piece of content at a process of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashFact {
    /// The piece of content.
    pub key: ContentKey,
    /// How much of the request the piece stands for.
    pub scope: PieceScope,
    /// Model, or service, of the request.
    pub class: ContentKey,
    /// Number of the process of the backend server, which is the same at all nodes.
    pub server: u32,
    /// Tells independent requests with the piece apart.
    pub source: u32,
    /// What became of the process.
    pub fate: RunFate,
    /// Whether the request was over before the process ended: answered as a whole, or withdrawn before any data.
    pub was_over: bool,
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
