//! Metrics of the transport.

use std::net::SocketAddr;

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

/// Counts and logs a frame that was rejected.
pub(crate) fn note_bad_frame(cause: &'static str, remote: SocketAddr, detail: &str) {
    metrics::counter!("jaysaddle_peer_bad_frames_total", "cause" => cause).increment(1);
    log::warn!("closing the peer connection with {remote}: {detail}");
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
