//! How connections to backend servers are opened.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

/// Byte stream of a connection to a backend server.
pub trait ServerIo: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> ServerIo for T {}

/// Connection to a backend server.
pub type ServerStream = Box<dyn ServerIo>;

/// Connection attempt; completes when the connection is open, and has no time limit of its own.
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<ServerStream>>>>;

/// Opens connections to backend servers. Tests use one that cuts a node off from them.
pub trait ServerConnector {
    /// Opens a connection. The caller bounds the time.
    fn connect(&self, address: SocketAddr) -> ConnectFuture;
}

/// Opens TCP connections.
///
/// No `TCP_USER_TIMEOUT` and no keep-alive probes are set: a backend server that is silent goes on afterwards, and the time limits
/// of requests bound how long one is waited for.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl ServerConnector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as ServerStream)
        })
    }
}
