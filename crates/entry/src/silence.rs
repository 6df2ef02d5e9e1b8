//! Attempts whose backend server sends nothing: when other targets are tried beside it, and what is logged.
//!
//! Silence is no evidence of a failure. An attempt that is silent goes on until another one has brought something, or until it fails by
//! itself: its connection ends, or its time is up.

use std::fmt;

use jaysaddle_gateway::target::RequestTarget;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::node::EntryNode;

/// Multiple of the stall limit after which a started stream is tried elsewhere although its target still serves other requests.
const STREAM_STALL_FACTOR: u64 = 3;
/// The same for a request that waits for its first event. Callers wait at least as long.
const FIRST_EVENT_STALL_FACTOR: u64 = 5;
/// Interval at which an attempt without new data is checked for a stall.
pub const STALL_CHECK_INTERVAL: TimeSpan = TimeSpan(150);
/// Delay before a replacement of a silent attempt is tried again, after none was possible.
pub const REPLACEMENT_RETRY_DELAY: TimeSpan = TimeSpan(450);

/// What an attempt waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedPart {
    /// Headers of the response.
    Head,
    /// First event of a stream.
    FirstEvent,
    /// Further events of a stream.
    NextEvent,
}

impl AwaitedPart {
    /// All parts.
    pub const ALL: [AwaitedPart; 3] = [
        AwaitedPart::Head,
        AwaitedPart::FirstEvent,
        AwaitedPart::NextEvent,
    ];

    /// Name of the part in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            AwaitedPart::Head => "head",
            AwaitedPart::FirstEvent => "first_event",
            AwaitedPart::NextEvent => "next_event",
        }
    }
}

/// What came of an attempt that was silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceEnd {
    /// The attempt itself went on.
    WentOn,
    /// Another attempt took its place.
    Replaced,
    /// Its connection failed.
    Failed,
    /// The time of the request was up.
    TimeUp,
    /// The caller closed its connection.
    CallerLeft,
}

impl SilenceEnd {
    /// All ends.
    pub const ALL: [SilenceEnd; 5] = [
        SilenceEnd::WentOn,
        SilenceEnd::Replaced,
        SilenceEnd::Failed,
        SilenceEnd::TimeUp,
        SilenceEnd::CallerLeft,
    ];

    /// Name of the end in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            SilenceEnd::WentOn => "went_on",
            SilenceEnd::Replaced => "replaced",
            SilenceEnd::Failed => "failed",
            SilenceEnd::TimeUp => "time_up",
            SilenceEnd::CallerLeft => "caller_left",
        }
    }
}

/// Records that an attempt is silent, so that other requests prefer other targets.
pub fn report_silence(
    node: &EntryNode,
    request: &str,
    target: &RequestTarget,
    part: AwaitedPart,
    silent: TimeSpan,
    now: Timestamp,
) {
    let facts = SilenceFacts::collect(node, target, silent, now);
    log::info!(
        "event=attempt_silent request={request} backend={} part={} {facts}",
        target.backend,
        part.label()
    );
    metrics::counter!("jaysaddle_silent_attempts_total", "part" => part.label()).increment(1);
    node.gateway.borrow_mut().record_silence(target.number, now);
}

/// Records what came of a silent attempt.
pub fn report_silence_end(request: &str, target: &RequestTarget, end: SilenceEnd) {
    log::info!(
        "event=silence_ended request={request} backend={} end={}",
        target.backend,
        end.label()
    );
    metrics::counter!("jaysaddle_silence_ends_total", "end" => end.label()).increment(1);
}

/// Returns whether an attempt has stalled: it has received no data for `stall_time`, and either the whole target has
/// stalled too, or `stall_time` exceeds a multiple of the stall limit. The multiple is higher before the first event,
/// which a full queue may delay. Then only streams that had begun, at this node or at a peer, show that the target has
/// stalled: where many nodes share it, each may have no other request there.
pub fn is_stalled(
    node: &EntryNode,
    target: &RequestTarget,
    stall_time: TimeSpan,
    has_started: bool,
    now: Timestamp,
) -> bool {
    let gateway = node.gateway.borrow();
    let limit = gateway.stall_limit(target.number);
    if has_started {
        let target_stall_time = gateway.stall_time(target.number, now).unwrap_or_default();
        let is_target_stalled = stall_time >= limit && target_stall_time >= limit;
        return is_target_stalled || stall_time.0 >= limit.0 * STREAM_STALL_FACTOR;
    }
    let is_target_stalled = gateway.has_stalled_streams(target.number, limit, now)
        || node.peers.borrow().is_stalled(target.number.0);
    let own_limit = TimeSpan(limit.0 * FIRST_EVENT_STALL_FACTOR);
    (stall_time >= limit && is_target_stalled)
        || stall_time >= own_limit.max(gateway.first_event_limit(target))
}

/// What is known of an attempt that has received no data for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SilenceFacts {
    /// Time for which the attempt has received no data.
    silent: TimeSpan,
    /// Time for which no request of this node has received data from the target.
    target_silent: TimeSpan,
    /// Time without data after which other targets are tried.
    limit: TimeSpan,
    /// Largest recent lag of this node's event loop.
    loop_lag: TimeSpan,
}

impl SilenceFacts {
    /// Collects the facts about an attempt at `target`.
    fn collect(node: &EntryNode, target: &RequestTarget, silent: TimeSpan, now: Timestamp) -> Self {
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
