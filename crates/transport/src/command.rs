//! Commands to the transport and events from it.

use std::net::SocketAddr;

use jaysaddle_wire::messages::PeerMessage;

/// What the transport is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum TransportCommand {
    /// Send a message, opening a connection if there is none.
    Send {
        /// Peer address.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Close the connection to a peer, so that the next message opens a new one.
    Reconnect {
        /// Peer address.
        to: SocketAddr,
    },
    /// Send what is queued, then close all connections and end the thread.
    Stop,
}

/// What the transport reports.
#[derive(Clone, Debug, PartialEq)]
pub enum TransportEvent {
    /// A message arrived.
    Received {
        /// Peer address that the sender listens on.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// A connection could not be opened, broke or was silent; messages sent to the peer may be
    /// lost.
    Failed {
        /// Peer address.
        to: SocketAddr,
    },
}
