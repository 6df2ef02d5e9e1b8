//! Facts about an attempt whose backend server sends nothing, for logs and metrics.

use std::fmt;

use jaysaddle_gateway::target::RequestTarget;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::node::EntryNode;

/// Logs and counts that the node gives up the attempt of a request because its backend server sends nothing. `part` is
/// what the attempt has waited for.
pub fn report_given_up(request: &str, backend: &str, part: &'static str, facts: SilenceFacts) {
    log::info!(
        "event=silent_attempt_given_up request={request} backend={backend} part={part} {facts}"
    );
    metrics::counter!("jaysaddle_silent_attempts_given_up_total", "part" => part).increment(1);
}

/// What is known of an attempt that has received no data for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceFacts {
    /// Time for which the attempt has received no data.
    pub silent: TimeSpan,
    /// Time for which no request of this node has received data from the target.
    pub target_silent: TimeSpan,
    /// Time without data after which other targets are tried.
    pub limit: TimeSpan,
    /// Largest recent lag of this node's event loop.
    pub loop_lag: TimeSpan,
}

impl SilenceFacts {
    /// Collects the facts about an attempt at `target`.
    pub fn collect(
        node: &EntryNode,
        target: &RequestTarget,
        silent: TimeSpan,
        now: Timestamp,
    ) -> Self {
        let gateway = node.gateway.borrow();
        Self {
            silent,
            target_silent: gateway.stall_time(target.number, now).unwrap_or_default(),
            limit: gateway.stall_limit(target.number),
            loop_lag: node.loop_lag.recent(),
        }
    }
}

impl fmt::Display for SilenceFacts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "silent_ms={} target_silent_ms={} limit_ms={} loop_lag_ms={}",
            self.silent.as_millis(),
            self.target_silent.as_millis(),
            self.limit.as_millis(),
            self.loop_lag.as_millis()
        )
    }
}
