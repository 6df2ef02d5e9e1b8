//! Settings of the peer transport.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use jaysaddle_types::units::TimeSpan;

/// Settings of [`crate::PeerTransport`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransportSettings {
    /// Address to listen on for peers, and the address that peers know this node by; default
    /// 127.0.0.1:7401. Peers cannot answer when it is not their route to this node.
    pub listen: SocketAddr,
    /// Time without traffic after which a heartbeat is sent; default 2 s. Must be well below
    /// `silence_limit`, or live connections are replaced.
    pub heartbeat_interval: TimeSpan,
    /// Silence after which a connection with unanswered frames is replaced; default 6 s. Shorter
    /// replaces connections of paused peers, longer delays the use of a working one.
    pub silence_limit: TimeSpan,
    /// Time without messages after which a connection is closed; default 8 s. At 320 nodes each
    /// peer is probed every 320 s, and the heartbeats of a connection kept for 30 s cost more than
    /// ten times the bytes of opening a new one.
    pub idle_close: TimeSpan,
    /// Longest time to open a connection; default 1 s. Shorter than a round trip plus one lost
    /// packet fails reachable peers.
    pub connect_timeout: TimeSpan,
    /// Longest time until an accepted connection has sent its first valid frame; default 3 s. It
    /// bounds how long a half-open connection holds its place.
    pub greeting_timeout: TimeSpan,
    /// Frames that wait for one peer; default 256. Further ones are dropped and reported as failed.
    pub queue_frames: usize,
    /// Connections to and from peers; default 512. Beyond it, the one idle for longest is closed.
    pub max_connections: usize,
    /// Accepted connections without a valid frame yet; default 64. Further ones are closed at once.
    pub max_greeting: usize,
}

impl Default for TransportSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7401)),
            heartbeat_interval: TimeSpan::from_secs(2),
            silence_limit: TimeSpan::from_secs(6),
            idle_close: TimeSpan::from_secs(8),
            connect_timeout: TimeSpan::from_secs(1),
            greeting_timeout: TimeSpan::from_secs(3),
            queue_frames: 256,
            max_connections: 512,
            max_greeting: 64,
        }
    }
}
