//! Peer connections between daemons.
//!
//! One thread with a single-threaded runtime owns all connections; the daemon exchanges commands
//! and events with it over channels.

mod hub;
mod link;
mod telemetry;

pub mod command;
pub mod settings;

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::thread::JoinHandle;

use jaysaddle_wire::ClusterKey;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

use crate::hub::LinkHub;
use crate::link::LinkContext;
use crate::telemetry::RejectionLog;

pub use command::TransportCommand;
pub use command::TransportEvent;
pub use settings::TransportSettings;

/// Handle of the thread that owns all peer connections.
#[derive(Debug)]
pub struct PeerTransport {
    address: SocketAddr,
    thread: JoinHandle<()>,
}

impl PeerTransport {
    /// Binds the listen address of `settings` and starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the address is unspecified or cannot be bound, or if the runtime or the thread
    /// cannot be started.
    pub fn start(
        settings: TransportSettings,
        key: ClusterKey,
        commands: flume::Receiver<TransportCommand>,
        events: flume::Sender<TransportEvent>,
    ) -> io::Result<Self> {
        if settings.listen.ip().is_unspecified() {
            let reason =
                "peers cannot reach an unspecified listen address; set an address of this node";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, reason));
        }
        let listener = TcpListener::bind(settings.listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let settings = TransportSettings {
            listen: address,
            ..settings
        };
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::Builder::new()
            .name("peer-transport".to_owned())
            .spawn(move || {
                let (reports, received) = flume::unbounded();
                let context = LinkContext {
                    settings: Rc::new(settings),
                    key,
                    events,
                    reports,
                    rejections: Rc::new(RejectionLog::new()),
                };
                run(
                    &runtime,
                    listener,
                    LinkHub::new(context, received),
                    commands,
                );
            })?;
        Ok(Self { address, thread })
    }

    /// Returns the address that the transport listens on, with the port assigned by the system if
    /// the configured port was 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the thread to end, which [`TransportCommand::Stop`] requests.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!("peer transport thread panicked");
        }
    }
}

fn run(
    runtime: &Runtime,
    listener: TcpListener,
    hub: LinkHub,
    commands: flume::Receiver<TransportCommand>,
) {
    let work = async {
        match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => hub.run(listener, commands).await,
            Err(error) => log::error!("cannot listen for peers: {error}"),
        }
    };
    LocalSet::new().block_on(runtime, work);
}
