//! Acceptance of HTTP connections.
//!
//! `tiny_http` reads headers without a time limit and ends its accept loop at the first error of
//! `accept`, such as too many open files. Both are met here without a server of our own. The
//! listening socket carries receive and send timeouts, which Linux passes on to accepted sockets,
//! so that a connection without progress is closed. The receive timeout also ends an `accept` that
//! found no connection; like any other error of `accept`, it makes this module put a new server on
//! the same listening socket. No connection is lost, since the socket's queue stays.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use eyre::WrapErr;
use eyre::eyre;
use jaysaddle_types::units::TimeSpan;
use rustix::net::sockopt::Timeout;
use rustix::net::sockopt::set_socket_timeout;
use tiny_http::Request;
use tiny_http::Server;

use crate::abandon;

/// Stack of a thread that serves one request.
const REQUEST_STACK_BYTES: usize = 256 * 1024;

/// Wait before a new server is put on the socket after an error other than a timeout. Too many
/// open files, the usual one, does not end at once.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(50);

/// What a listener does with requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Serves one request on a thread of its own.
    fn serve(&self, request: Request);

    /// Refuses a request at once, because too many are served.
    fn refuse_overload(&self, request: Request);
}

/// A listening socket with its handler.
pub struct HttpListener {
    socket: TcpListener,
    handler: Arc<dyn RequestHandler>,
    idle_timeout: TimeSpan,
    max_requests: usize,
    open: Arc<AtomicUsize>,
}

/// Counts a request as open while it exists.
struct OpenRequestGuard(Arc<AtomicUsize>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl HttpListener {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        idle_timeout: TimeSpan,
        max_requests: usize,
        handler: Arc<dyn RequestHandler>,
    ) -> eyre::Result<Self> {
        let socket = TcpListener::bind(address)
            .wrap_err_with(|| format!("{address} cannot be listened on"))?;
        for direction in [Timeout::Recv, Timeout::Send] {
            set_socket_timeout(&socket, direction, Some(idle_timeout.as_duration()))
                .wrap_err_with(|| format!("no timeout can be set on {address}"))?;
        }
        Ok(Self {
            socket,
            handler,
            idle_timeout,
            max_requests,
            open: Arc::new(AtomicUsize::new(0)),
        })
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// Fails when the socket has none.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts connections on threads of its own until the process ends.
    ///
    /// # Errors
    ///
    /// Fails when no server can be put on the socket.
    pub fn start(self, name: &'static str) -> eyre::Result<()> {
        let first = self.new_server()?;
        thread::Builder::new()
            .name(name.into())
            .spawn(move || self.run(first))
            .wrap_err("no thread can be started")?;
        Ok(())
    }

    fn new_server(&self) -> eyre::Result<Server> {
        let socket = self
            .socket
            .try_clone()
            .wrap_err("the listening socket cannot be shared")?;
        Server::from_listener(socket, None)
            .map_err(|error| eyre!("no server can be started: {error}"))
    }

    fn run(self, first: Server) {
        let mut server = first;
        loop {
            loop {
                match server.recv() {
                    Ok(request) => self.dispatch(request),
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

    /// Goes on serving the connections of a server that accepts no more. They end by the socket's
    /// timeout at the latest, unless they bring further requests.
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
            log::error!("open connections are lost, no thread can be started: {error}");
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
        // The request is dropped with the closure, which closes its connection without an answer.
        log::error!("a request is lost, no thread can be started: {error}");
    }
}
