//! HTTP listeners for callers and operators.
//!
//! `tiny_http` reads headers without a timeout and ends its accept loop at the first error of
//! `accept`, such as too many open files. This module works around both. The listening socket has
//! receive and send timeouts, which accepted sockets inherit on Linux, so that connections without
//! progress are closed. The receive timeout also ends an `accept` without a connection. After that,
//! as after any other error of `accept`, a new server is started on the same listening socket. No
//! connection is lost, since the accept queue belongs to the socket.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use eyre::WrapErr;
use eyre::eyre;
use jaysaddle_types::units::TimeSpan;
use rustix::net::Shutdown;
use rustix::net::sockopt::Timeout;
use rustix::net::sockopt::set_socket_timeout;
use tiny_http::Request;
use tiny_http::Server;

use crate::abandon;
use crate::connections;
use crate::connections::OpenConnection;

/// Stack size of a thread that serves one request.
const REQUEST_STACK_BYTES: usize = 256 * 1024;

/// Delay before a new server is started after an error other than a timeout. The most common error,
/// too many open files, does not clear immediately.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(50);

/// Handler of the requests of one listener.
pub trait RequestHandler: Send + Sync + 'static {
    /// Serves one request. Called on a separate thread per request.
    fn serve(&self, request: Request);

    /// Refuses a request because the limit of concurrent requests is reached. Called on the
    /// thread that receives requests, not on a thread per request.
    fn refuse_overload(&self, request: Request);
}

/// Listening socket with its request handler and limits.
pub struct HttpListener {
    socket: TcpListener,
    handler: Arc<dyn RequestHandler>,
    idle_timeout: TimeSpan,
    max_requests: usize,
    open: Arc<AtomicUsize>,
    closed: Arc<AtomicBool>,
}

/// Running listener.
pub struct ListenerHandle {
    address: SocketAddr,
    socket: TcpListener,
    open: Arc<AtomicUsize>,
    closed: Arc<AtomicBool>,
}

impl ListenerHandle {
    /// Returns the number of requests that are being served.
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the connections of the listener.
    ///
    /// # Errors
    ///
    /// Fails when `/proc` cannot be read.
    pub fn connections(&self) -> std::io::Result<Vec<OpenConnection>> {
        connections::open_connections(self.address)
    }

    /// Stops accepting connections; further ones are refused by the system. Requests on open connections are still served.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Err(error) = rustix::net::shutdown(&self.socket, Shutdown::Read) {
            log::error!("cannot close the listener on {}: {error}", self.address);
        }
    }

    /// Ends reading on all connections, so that each is closed after the responses to the requests that have arrived on it.
    pub fn end_reading(&self) {
        connections::end_reading(self.address);
    }
}

/// Decrements the number of open requests when dropped.
struct OpenRequestGuard(Arc<AtomicUsize>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl HttpListener {
    /// Binds `address` and sets the idle timeout on the socket.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or a timeout cannot be set.
    pub fn bind(
        address: SocketAddr,
        idle_timeout: TimeSpan,
        max_requests: usize,
        handler: Arc<dyn RequestHandler>,
    ) -> eyre::Result<Self> {
        let socket =
            TcpListener::bind(address).wrap_err_with(|| format!("cannot listen on {address}"))?;
        for direction in [Timeout::Recv, Timeout::Send] {
            set_socket_timeout(&socket, direction, Some(idle_timeout.as_duration()))
                .wrap_err_with(|| format!("cannot set a socket timeout on {address}"))?;
        }
        Ok(Self {
            socket,
            handler,
            idle_timeout,
            max_requests,
            open: Arc::new(AtomicUsize::new(0)),
            closed: Arc::new(AtomicBool::new(false)),
        })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    ///
    /// # Errors
    ///
    /// Fails when the system does not report an address of the socket.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts connections on separate threads until the listener is closed.
    ///
    /// # Errors
    ///
    /// Fails when the server or its thread cannot be started.
    pub fn start(self, name: &'static str) -> eyre::Result<ListenerHandle> {
        let first = self.new_server()?;
        let handle = ListenerHandle {
            address: self.address()?,
            socket: self.socket.try_clone()?,
            closed: self.closed.clone(),
            open: self.open.clone(),
        };
        thread::Builder::new()
            .name(name.into())
            .spawn(move || self.run(first))
            .wrap_err("cannot start the accept thread")?;
        Ok(handle)
    }

    fn new_server(&self) -> eyre::Result<Server> {
        let socket = self
            .socket
            .try_clone()
            .wrap_err("cannot duplicate the listening socket")?;
        Server::from_listener(socket, None)
            .map_err(|error| eyre!("cannot start the HTTP server: {error}"))
    }

    fn run(self, first: Server) {
        let mut server = first;
        loop {
            loop {
                match server.recv() {
                    Ok(request) => self.dispatch(request),
                    Err(_) if self.closed.load(Ordering::SeqCst) => return self.drain(server),
                    Err(error) => {
                        let timed_out = matches!(
                            error.kind(),
                            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                        );
                        if !timed_out {
                            log::error!("accepting a connection failed: {error}");
                            thread::sleep(ACCEPT_ERROR_DELAY);
                        }
                        break;
                    }
                }
            }
            self.drain(server);
            server = loop {
                match self.new_server() {
                    Ok(server) => break server,
                    Err(error) => {
                        log::error!("{error:#}");
                        thread::sleep(ACCEPT_ERROR_DELAY);
                    }
                }
            };
        }
    }

    /// Continues to serve the connections of a server that has stopped accepting. Connections
    /// without further requests are closed by the socket timeout.
    fn drain(&self, server: Server) {
        let handler = self.handler.clone();
        let open = self.open.clone();
        let max_requests = self.max_requests;
        let max_idle = self.idle_timeout.as_duration() * 2;
        let spawned = thread::Builder::new()
            .name("http-drain".into())
            .stack_size(REQUEST_STACK_BYTES)
            .spawn(move || {
                while let Ok(Some(request)) = server.recv_timeout(max_idle) {
                    dispatch(&handler, &open, max_requests, request);
                }
            });
        if let Err(error) = spawned {
            log::error!("cannot start a drain thread; open connections are lost: {error}");
        }
    }

    fn dispatch(&self, request: Request) {
        dispatch(&self.handler, &self.open, self.max_requests, request);
    }
}

fn dispatch(
    handler: &Arc<dyn RequestHandler>,
    open: &Arc<AtomicUsize>,
    max_requests: usize,
    request: Request,
) {
    if abandon::must_abandon(&request) {
        abandon::abandon(request);
        return;
    }
    if open.load(Ordering::Relaxed) >= max_requests {
        handler.refuse_overload(request);
        return;
    }
    open.fetch_add(1, Ordering::Relaxed);
    let guard = OpenRequestGuard(open.clone());
    let handler = handler.clone();
    let spawned = thread::Builder::new()
        .name("request".into())
        .stack_size(REQUEST_STACK_BYTES)
        .spawn(move || {
            handler.serve(request);
            drop(guard);
        });
    if let Err(error) = spawned {
        // The request is dropped with the closure, which closes its connection without a response.
        log::error!("cannot start a request thread; a request is lost: {error}");
    }
}
