//! Peer links between daemons.

pub mod command;
pub mod settings;

use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;

use jaysaddle_wire::ClusterKey;

pub use command::TransportCommand;
pub use command::TransportEvent;
pub use settings::TransportSettings;

/// The thread that holds all peer connections.
#[derive(Debug)]
pub struct PeerTransport {
    address: SocketAddr,
    thread: JoinHandle<()>,
}

impl PeerTransport {
    /// Listens on the node's peer address and starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address or of starting the thread.
    pub fn start(
        settings: TransportSettings,
        key: ClusterKey,
        commands: flume::Receiver<TransportCommand>,
        events: flume::Sender<TransportEvent>,
    ) -> io::Result<Self> {
        let _ = (settings, key, commands, events);
        Err(io::Error::other("not yet implemented"))
    }

    /// The address that the transport listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the thread has ended, after [`TransportCommand::Stop`].
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!("the peer transport thread panicked");
        }
    }
}
