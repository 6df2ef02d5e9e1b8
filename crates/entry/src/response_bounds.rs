//! Bounds on the bytes of a response, as named in logs and metrics.

/// Kind of a bound that a response has reached, as named in logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoundKind {
    /// Size of a body.
    Body,
    /// Size of all bodies at a time.
    Memory,
    /// Bytes received of which nothing was a head or a part of a body.
    Undelivered,
    /// Size of an event, or of events that the caller already has.
    Event,
}

impl BoundKind {
    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            BoundKind::Body => "body",
            BoundKind::Memory => "memory",
            BoundKind::Undelivered => "undelivered",
            BoundKind::Event => "event",
        }
    }

    /// All kinds.
    pub const ALL: [BoundKind; 4] = [
        BoundKind::Body,
        BoundKind::Memory,
        BoundKind::Undelivered,
        BoundKind::Event,
    ];
}

/// Logs and counts a response whose connection is closed because it has reached a bound, after `received` bytes of
/// what the bound limits.
pub fn report_bound(sender: &str, kind: BoundKind, received: usize) {
    let label = kind.label();
    metrics::counter!("jaysaddle_response_bounds_total", "kind" => label).increment(1);
    log::warn!("event=response_bound sender={sender} kind={label} received_bytes={received}");
}
