//! Commands to the transport thread and events from it.

use std::net::SocketAddr;

use jaysaddle_wire::messages::PeerMessage;

/// A command to the transport.
#[derive(Clone, Debug, PartialEq)]
pub enum TransportCommand {
    /// Send a message, opening a connection if there is none.
    Send {
        /// Address that the peer listens on.
        to: SocketAddr,
        /// Message to send; delivery is not confirmed.
        message: PeerMessage,
    },
    /// Close the connection to a peer; unsent messages and later ones use a new connection.
    Reconnect {
        /// Address that the peer listens on.
        to: SocketAddr,
    },
    /// Send queued messages, then close all connections and end the thread.
    Stop,
}

/// An event from the transport.
#[derive(Clone, Debug, PartialEq)]
pub enum TransportEvent {
    /// A message was received.
    Received {
        /// Address that the sending peer listens on.
        from: SocketAddr,
        /// Received message; heartbeats are not reported.
        message: PeerMessage,
    },
    /// A connection could not be opened, broke or stalled, or its queue was full; messages sent to
    /// the peer may be lost.
    Failed {
        /// Address that the peer listens on.
        to: SocketAddr,
    },
}
