//! HTTP utilities shared by the stand-ins: closable listeners, worker threads, request and response
//! bodies.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use eyre::eyre;
use rustix::net::Shutdown;
use rustix::net::sockopt::Timeout;
use rustix::net::sockopt::set_socket_timeout;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// Stack size of the stand-ins' threads. One process hosts up to 60 VMs with a thread per stream.
pub const THREAD_STACK_BYTES: usize = 256 * 1024;

/// Time for which a write may block on a client that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time allowed for the port of a killed VM to become free again.
const REBIND_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between attempts to bind the port again.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of a request body, in bytes. It exceeds the platform's limit for objects, so that
/// larger objects are refused instead of truncated.
pub const MAX_BODY_BYTES: u64 = 4 << 20;

/// Handler of the requests to one listener.
pub trait RouteHandler: Send + Sync {
    /// Handles one request. Called on a worker thread of the listener.
    fn handle(&self, request: Request);
}

/// A listening server that can be closed while its accept thread runs.
pub struct StandinListener {
    server: Arc<Server>,
    socket: TcpListener,
    address: SocketAddr,
}

impl StandinListener {
    /// Listens on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub fn bind(address: SocketAddr) -> eyre::Result<Self> {
        let socket =
            TcpListener::bind(address).wrap_err_with(|| format!("cannot listen on {address}"))?;
        // Accepted sockets inherit the timeouts of the listener.
        set_socket_timeout(&socket, Timeout::Send, Some(WRITE_TIMEOUT))?;
        let address = socket.local_addr()?;
        let server = Server::from_listener(socket.try_clone()?, None)
            .map_err(|error| eyre!("cannot serve on {address}: {error}"))?;
        Ok(Self {
            server: Arc::new(server),
            socket,
            address,
        })
    }

    /// Listens again on an address whose listener was closed shortly before.
    ///
    /// # Errors
    ///
    /// Fails if the address is still in use after 5 s.
    pub fn rebind(address: SocketAddr) -> eyre::Result<Self> {
        let started = Instant::now();
        loop {
            match Self::bind(address) {
                Ok(listener) => return Ok(listener),
                Err(error) if started.elapsed() > REBIND_TIMEOUT => return Err(error),
                Err(_) => thread::sleep(REBIND_INTERVAL),
            }
        }
    }

    /// Address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts `workers` threads that pass requests to `handler` until the listener is closed.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub fn serve(&self, workers: usize, handler: &Arc<dyn RouteHandler>) -> eyre::Result<()> {
        for _ in 0..workers {
            let server = Arc::clone(&self.server);
            let handler = Arc::clone(handler);
            spawn_thread("standin-worker", move || {
                while let Ok(request) = server.recv() {
                    handler.handle(request);
                }
                // The accept error is delivered to a single worker, so each worker that stops
                // unblocks the next one.
                server.unblock();
            })?;
        }
        Ok(())
    }

    /// Closes the listener: new connections are refused and the port becomes free.
    pub fn close(&self) {
        // Shutting down a listening socket makes the blocked accept call fail, which
        // ends its thread.
        if let Err(error) = rustix::net::shutdown(&self.socket, Shutdown::Both) {
            log::warn!("cannot close the listener on {}: {error}", self.address);
        }
    }
}

/// Starts a detached thread with a stack of [`THREAD_STACK_BYTES`].
///
/// # Errors
///
/// Fails if the system cannot start another thread.
pub fn spawn_thread(name: &str, work: impl FnOnce() + Send + 'static) -> eyre::Result<()> {
    thread::Builder::new()
        .name(name.into())
        .stack_size(THREAD_STACK_BYTES)
        .spawn(work)
        .map(drop)
        .wrap_err("cannot start a thread")
}

/// Reads the body of a request up to [`MAX_BODY_BYTES`].
pub fn read_body(request: &mut Request) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    request
        .as_reader()
        .take(MAX_BODY_BYTES)
        .read_to_end(&mut body)?;
    Ok(body)
}

/// Parses the body as JSON. If that fails, responds with status 400 and the parse error and returns
/// `None`.
pub fn read_json<T: DeserializeOwned>(mut request: Request) -> Option<(Request, T)> {
    let parsed = read_body(&mut request)
        .map_err(|error| error.to_string())
        .and_then(|body| serde_json::from_slice(&body).map_err(|error| error.to_string()));
    match parsed {
        Ok(value) => Some((request, value)),
        Err(error) => {
            respond_text(request, 400, &error);
            None
        }
    }
}

/// Responds with `body` serialized as JSON.
pub fn respond_json(request: Request, status: u16, body: &impl Serialize) {
    let text = match serde_json::to_string(body) {
        Ok(text) => text,
        Err(error) => return respond_text(request, 500, &error.to_string()),
    };
    let mut response = Response::from_string(text).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    log_send_error(request.respond(response));
}

/// Responds with a plain-text body.
pub fn respond_text(request: Request, status: u16, text: &str) {
    log_send_error(request.respond(Response::from_string(text).with_status_code(status)));
}

/// Closes the connection without a response. Dropping the request would respond with status 500.
///
/// `tiny_http` closes the connection only for clients that sent `Connection: close`, as the
/// daemon does; for others it stays open without sending data. The same holds for a
/// [`ChunkWriter`] that is dropped.
pub fn close_without_response(request: Request) {
    drop(request.into_writer());
}

fn log_send_error(outcome: std::io::Result<()>) {
    if let Err(error) = outcome {
        log::debug!("cannot send the response: {error}");
    }
}

/// Returns the value of a request header; `None` if the header is absent.
pub fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str())
}

/// Splits a URL into path and query string.
pub fn split_url(url: &str) -> (&str, &str) {
    url.split_once('?').unwrap_or((url, ""))
}

/// Returns a numeric parameter of a query string; `None` if it is absent or not a number.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Writer of a streamed response with chunked transfer encoding.
///
/// `tiny_http` keeps the connection open after the response, so the client can detect the end of
/// the response only from the final chunk.
pub struct ChunkWriter {
    writer: Box<dyn Write + Send>,
}

impl ChunkWriter {
    /// Starts a response of server-sent events.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub fn start_events(request: Request) -> std::io::Result<Self> {
        let mut writer = request.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
              Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Sends one chunk and flushes it.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub fn send(&mut self, chunk: &str) -> std::io::Result<()> {
        write!(self.writer, "{:x}\r\n{chunk}\r\n", chunk.len())?;
        self.writer.flush()
    }

    /// Sends the final chunk. Dropping the writer without it leaves the response incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub fn finish(mut self) -> std::io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
