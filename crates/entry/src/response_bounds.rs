//! Bounds on the bytes of a response, as named in logs and metrics.

/// Kind of a bound that a response has reached, as named in logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoundKind {
    /// Bytes received of which nothing was a head or a part of a body.
    Undelivered,
}

impl BoundKind {
    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            BoundKind::Undelivered => "undelivered",
        }
    }

    /// All kinds.
    pub const ALL: [BoundKind; 1] = [BoundKind::Undelivered];
}

/// Logs and counts a response whose connection is closed because it has reached a bound, after `received` bytes of
/// what the bound limits.
pub fn report_bound(sender: &str, kind: BoundKind, received: usize) {
    let label = kind.label();
    metrics::counter!("jaysaddle_response_bounds_total", "kind" => label).increment(1);
    log::warn!("event=response_bound sender={sender} kind={label} received_bytes={received}");
}
