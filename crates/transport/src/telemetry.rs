//! Metrics of the transport and the log of rejected connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_wire::FrameCodec;
use jaysaddle_wire::messages::PeerMessage;

pub(crate) fn count_sent(message: &PeerMessage) {
    metrics::counter!("jaysaddle_peer_frames_sent_total").increment(1);
    let bytes = FrameCodec::frame_bytes(message) as u64;
    metrics::counter!("jaysaddle_peer_bytes_sent_total").increment(bytes);
}

pub(crate) fn count_received(message: &PeerMessage) {
    metrics::counter!("jaysaddle_peer_frames_received_total").increment(1);
    let bytes = FrameCodec::frame_bytes(message) as u64;
    metrics::counter!("jaysaddle_peer_bytes_received_total").increment(bytes);
}

/// Maximum number of log lines about rejected connections per window, so that a flood of
/// connections does not fill the log.
const MAX_LINES_PER_WINDOW: u32 = 20;

/// Period over which log lines are limited.
const LOG_WINDOW: Duration = Duration::from_secs(10);

/// Counts rejected connections and logs them at a limited rate.
#[derive(Debug)]
pub(crate) struct RejectionLog {
    window_start: Cell<Instant>,
    window_lines: Cell<u32>,
}

impl RejectionLog {
    pub(crate) fn new() -> Self {
        Self {
            window_start: Cell::new(Instant::now()),
            window_lines: Cell::new(0),
        }
    }

    pub(crate) fn record(&self, cause: &'static str, remote: SocketAddr, detail: &str) {
        metrics::counter!("jaysaddle_peer_bad_frames_total", "cause" => cause).increment(1);
        if self.window_start.get().elapsed() >= LOG_WINDOW {
            self.window_start.set(Instant::now());
            self.window_lines.set(0);
        }
        let line = self.window_lines.get().saturating_add(1);
        self.window_lines.set(line);
        if line <= MAX_LINES_PER_WINDOW {
            log::warn!("closing the peer connection with {remote}: {detail}");
        }
        if line == MAX_LINES_PER_WINDOW {
            log::warn!(
                "further rejected peer connections are not logged for up to {} s, only counted in \
                 jaysaddle_peer_bad_frames_total",
                LOG_WINDOW.as_secs()
            );
        }
    }
}

pub(crate) fn count_dropped(messages: usize, reason: &'static str) {
    metrics::counter!("jaysaddle_peer_messages_dropped_total", "reason" => reason)
        .increment(messages as u64);
}

pub(crate) fn count_opened(direction: &'static str) {
    metrics::counter!("jaysaddle_peer_connections_opened_total", "direction" => direction)
        .increment(1);
}

pub(crate) fn set_connections(count: usize) {
    metrics::gauge!("jaysaddle_peer_connections").set(count as f64);
}
