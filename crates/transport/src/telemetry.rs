//! Metrics of the transport.

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

/// Log lines about rejected connections per window; a flood would fill the log.
const LINES_PER_WINDOW: u32 = 20;

/// Length of the window.
const LOG_WINDOW: Duration = Duration::from_secs(10);

/// Counts and logs rejected frames; logs only some of a flood.
#[derive(Debug)]
pub(crate) struct RejectionLog {
    window: Cell<Instant>,
    lines: Cell<u32>,
}

impl RejectionLog {
    pub(crate) fn new() -> Self {
        Self {
            window: Cell::new(Instant::now()),
            lines: Cell::new(0),
        }
    }

    pub(crate) fn note(&self, cause: &'static str, remote: SocketAddr, detail: &str) {
        metrics::counter!("jaysaddle_peer_bad_frames_total", "cause" => cause).increment(1);
        if self.window.get().elapsed() >= LOG_WINDOW {
            self.window.set(Instant::now());
            self.lines.set(0);
        }
        let line = self.lines.get().saturating_add(1);
        self.lines.set(line);
        if line <= LINES_PER_WINDOW {
            log::warn!("closing the peer connection with {remote}: {detail}");
        }
        if line == LINES_PER_WINDOW {
            log::warn!(
                "further rejected peer connections are only counted for up to {} s, in \
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
