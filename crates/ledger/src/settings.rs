//! Settings of the ledger.

use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::TimeSpan;

/// Settings of [`crate::RequestLedger`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Claims kept; default 50,000.
    pub max_claims: usize,
    /// Size of the answers kept; default 64 MB.
    pub max_response_bytes: ByteCount,
    /// Time for which a claim is kept after its request ended; default 10 min.
    pub retention: TimeSpan,
    /// Time until a home without an answer counts as unreachable; default 2 s.
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
