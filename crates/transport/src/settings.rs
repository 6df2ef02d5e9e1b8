//! Settings of the peer transport.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use jaysaddle_types::units::TimeSpan;

/// Settings of [`crate::PeerTransport`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransportSettings {
    /// Address to listen on for peers, which is also announced to them; default 127.0.0.1:7401. It
    /// must be reachable by peers, or they cannot reply.
    pub listen: SocketAddr,
    /// Time without a sent frame after which a heartbeat is sent; default 2 s. Must be well below
    /// `stall_timeout`, or live connections are replaced.
    pub heartbeat_interval: TimeSpan,
    /// Time without a received frame after which a connection with unanswered messages is replaced,
    /// and time limit for writing one frame; default 6 s. Lower values replace connections of
    /// paused peers, higher values delay the switch to a working connection.
    pub stall_timeout: TimeSpan,
    /// Time without messages, not counting heartbeats, after which a connection is closed; default
    /// 8 s. At 320 nodes each peer is probed every 320 s, and the heartbeats of a connection kept
    /// for 30 s cost more than ten times the bytes of opening a new one.
    pub idle_timeout: TimeSpan,
    /// Timeout for opening a connection; default 1 s. A value below one round trip plus one packet
    /// retransmission makes connections to reachable peers fail.
    pub connect_timeout: TimeSpan,
    /// Timeout for the first valid frame on an accepted connection; default 3 s. Limits how long a
    /// half-open connection counts towards `max_pending_handshakes`.
    pub handshake_timeout: TimeSpan,
    /// Maximum number of frames queued per connection; default 256. Further messages are dropped
    /// and reported as [`crate::TransportEvent::Failed`].
    pub queue_frames: usize,
    /// Maximum number of connections to and from peers; default 512. At the limit, a new connection
    /// replaces the one that has been idle longest.
    pub max_connections: usize,
    /// Maximum number of accepted connections without a valid first frame; default 64. At the
    /// limit, a new connection replaces the oldest of them.
    pub max_pending_handshakes: usize,
}

impl Default for TransportSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7401)),
            heartbeat_interval: TimeSpan::from_secs(2),
            stall_timeout: TimeSpan::from_secs(6),
            idle_timeout: TimeSpan::from_secs(8),
            connect_timeout: TimeSpan::from_secs(1),
            handshake_timeout: TimeSpan::from_secs(3),
            queue_frames: 256,
            max_connections: 512,
            max_pending_handshakes: 64,
        }
    }
}
