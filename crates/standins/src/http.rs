//! HTTP plumbing shared by the stand-ins: listeners that can be closed, worker threads, bodies.

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

/// Stack of the stand-ins' threads. One process hosts up to 60 VMs with a thread for each stream.
pub const THREAD_STACK_BYTES: usize = 256 * 1024;

/// Time that a write may block on a client that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for a killed VM's port to become free again.
const REBIND_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between attempts to listen again.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Largest body that a stand-in reads, in bytes; the platform's object limit is below it.
pub const MAX_BODY_BYTES: u64 = 4 << 20;

/// Answers requests.
pub trait RouteHandler: Send + Sync {
    /// Answers one request on a worker thread.
    fn handle(&self, request: Request);
}

/// A listening server that can be closed while its accept thread runs.
pub struct StandinListener {
    server: Arc<Server>,
    socket: TcpListener,
    address: SocketAddr,
}

impl StandinListener {
    /// Listens on `address`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address is not free.
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

    /// Listens again on an address that was closed a moment ago.
    ///
    /// # Errors
    ///
    /// Fails when the address does not become free.
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

    /// The address in use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts `workers` threads that pass requests to `handler` until the listener is closed.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub fn serve(&self, workers: usize, handler: &Arc<dyn RouteHandler>) -> eyre::Result<()> {
        for _ in 0..workers {
            let server = Arc::clone(&self.server);
            let handler = Arc::clone(handler);
            spawn_thread("standin-worker", move || {
                while let Ok(request) = server.recv() {
                    handler.handle(request);
                }
                // The accept error reaches one worker only; each passes the wake-up on.
                server.unblock();
            })?;
        }
        Ok(())
    }

    /// Refuses connections from now on and frees the port.
    pub fn close(&self) {
        // Shutting a listening socket down makes the blocked accept fail, which ends its thread.
        if let Err(error) = rustix::net::shutdown(&self.socket, Shutdown::Both) {
            log::warn!("closing the listener on {} failed: {error}", self.address);
        }
    }
}

/// Starts a thread with a small stack.
///
/// # Errors
///
/// Fails when the system starts no more threads.
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

/// Reads the body as JSON, or answers 400 and gives the reason.
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

/// Answers with JSON.
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

/// Answers with plain text.
pub fn respond_text(request: Request, status: u16, text: &str) {
    log_send_error(request.respond(Response::from_string(text).with_status_code(status)));
}

/// Drops the connection without an answer; an ordinary drop would answer 500.
///
/// `tiny_http` closes it only for clients that sent `Connection: close`, as the daemon's do; for
/// others it stays open and silent. The same holds for a [`ChunkWriter`] that is dropped.
pub fn close_without_response(request: Request) {
    drop(request.into_writer());
}

fn log_send_error(outcome: std::io::Result<()>) {
    if let Err(error) = outcome {
        log::debug!("the client left before its answer: {error}");
    }
}

/// Value of a request header.
pub fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str())
}

/// Splits a URL into path and query.
pub fn split_url(url: &str) -> (&str, &str) {
    url.split_once('?').unwrap_or((url, ""))
}

/// A number out of a query string.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Writer of a streamed answer with one HTTP chunk for each piece.
///
/// `tiny_http` keeps the connection open after the answer, so only the chunked form shows the
/// client where the answer ends.
pub struct ChunkWriter {
    writer: Box<dyn Write + Send>,
}

impl ChunkWriter {
    /// Starts an answer of server-sent events.
    ///
    /// # Errors
    ///
    /// Fails when the connection is broken.
    pub fn start_events(request: Request) -> std::io::Result<Self> {
        let mut writer = request.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
              Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Sends one piece at once.
    ///
    /// # Errors
    ///
    /// Fails when the connection is broken.
    pub fn send(&mut self, piece: &str) -> std::io::Result<()> {
        write!(self.writer, "{:x}\r\n{piece}\r\n", piece.len())?;
        self.writer.flush()
    }

    /// Marks the end of the answer. Dropping the writer without it cuts the answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection is broken.
    pub fn finish(mut self) -> std::io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
