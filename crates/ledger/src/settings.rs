//! Capacity and timing settings of the ledger.

use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::TimeSpan;

/// Settings of [`crate::RequestLedger`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Maximum number of claims; default 50,000.
    pub max_claims: usize,
    /// Maximum total size of the stored responses; default 64 MB.
    pub max_response_bytes: ByteCount,
    /// Time for which a claim is kept after its request ended; default 10 min.
    pub retention: TimeSpan,
    /// Time without an answer after which a home is considered unreachable; default 2 s.
    pub query_timeout: TimeSpan,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            max_claims: 50_000,
            max_response_bytes: ByteCount(64_000_000),
            retention: TimeSpan::from_secs(600),
            query_timeout: TimeSpan::from_secs(2),
        }
    }
}
