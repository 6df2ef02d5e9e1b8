//! An entry node for tests, whose connections to backend servers a file can cut.

use std::cell::Cell;
use std::fs;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::process::ExitCode;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use jaysaddle_entry::connector::ConnectFuture;
use jaysaddle_entry::connector::ServerConnector;
use jaysaddle_entry::connector::ServerStream;
use jaysaddle_entry::connector::TcpConnector;
use jaysaddle_entry::run_entry_with;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Sleep;
use tokio::time::sleep;

/// Interval at which the file is read.
const READ_INTERVAL: Duration = Duration::from_millis(10);

/// Options of the program
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct CutNodeOptions {
    /// YAML settings file of the node
    #[bpaf(long("entry-settings"), argument("FILE"))]
    entry_settings: PathBuf,
    /// File that states what becomes of new and of open connections to backend servers: `refused` or `hanging`, and `reset`,
    /// `silent` or `live`. Without the file, all of them work
    #[bpaf(long("server-network"), argument("FILE"))]
    server_network: PathBuf,
}

/// What becomes of new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewConnections {
    Work,
    Refused,
    Hanging,
}

/// What becomes of open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OpenConnections {
    Live,
    Reset,
    Silent,
}

type NetworkState = (NewConnections, OpenConnections);

/// State of the network as the file says.
struct NetworkFile {
    path: PathBuf,
    latest: Cell<Option<(Instant, NetworkState)>>,
}

impl NetworkFile {
    fn state(&self) -> NetworkState {
        if let Some((read, state)) = self.latest.get()
            && read.elapsed() < READ_INTERVAL
        {
            return state;
        }
        let text = fs::read_to_string(&self.path).unwrap_or_default();
        let mut words = text.split_whitespace();
        let new = match words.next() {
            Some("refused") => NewConnections::Refused,
            Some("hanging") => NewConnections::Hanging,
            _ => NewConnections::Work,
        };
        let open = match words.next() {
            Some("reset") => OpenConnections::Reset,
            Some("silent") => OpenConnections::Silent,
            _ => OpenConnections::Live,
        };
        self.latest.set(Some((Instant::now(), (new, open))));
        (new, open)
    }
}

/// Connector whose connections the file can cut.
struct CutConnector(Rc<NetworkFile>);

impl ServerConnector for CutConnector {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        let network = self.0.clone();
        Box::pin(async move {
            match network.state().0 {
                NewConnections::Refused => {
                    return Err(io::Error::from(io::ErrorKind::ConnectionRefused));
                }
                NewConnections::Hanging => return pending().await,
                NewConnections::Work => {}
            }
            let stream = TcpConnector.connect(address).await?;
            let stream = CutStream {
                stream,
                network,
                next_look: Box::pin(sleep(READ_INTERVAL)),
            };
            Ok(Box::new(stream) as ServerStream)
        })
    }
}

/// Connection that the file can cut.
struct CutStream {
    stream: ServerStream,
    network: Rc<NetworkFile>,
    /// Wakes the reader so that it notices a change of the file.
    next_look: Pin<Box<Sleep>>,
}

impl CutStream {
    /// Whether the connection works; `Pending` while it is silent.
    fn poll_open(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.next_look.as_mut().poll(context).is_ready() {
            self.next_look = Box::pin(sleep(READ_INTERVAL));
        }
        match self.network.state().1 {
            OpenConnections::Live => Poll::Ready(Ok(())),
            OpenConnections::Reset => {
                Poll::Ready(Err(io::Error::from(io::ErrorKind::ConnectionReset)))
            }
            OpenConnections::Silent => Poll::Pending,
        }
    }
}

impl AsyncRead for CutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.poll_open(context) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.stream).poll_read(context, buffer),
            other => other,
        }
    }
}

impl AsyncWrite for CutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.poll_open(context) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.stream).poll_write(context, data),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

fn main() -> ExitCode {
    let options = cut_node_options().run();
    let network = NetworkFile {
        path: options.server_network,
        latest: Cell::new(None),
    };
    let connector = Rc::new(CutConnector(Rc::new(network)));
    match run_entry_with(options.entry_settings, connector) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jaysaddle-cut-node: {error:#}");
            ExitCode::FAILURE
        }
    }
}
