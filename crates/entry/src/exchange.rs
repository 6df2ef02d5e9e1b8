//! A single HTTP request and response over an outgoing connection.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use jaysaddle_daemon::clock;
use jaysaddle_types::answer_status::AnswerStatus;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use crate::connector::ServerConnector;
use crate::metered_stream::MeteredBody;
use crate::metered_stream::MeteredStream;
use crate::metered_stream::ReadMeter;

/// Body type of outgoing requests.
pub type RequestBody = Full<Bytes>;
/// Response whose body is read as it arrives.
pub type ReceivedResponse = Response<MeteredBody>;

/// Size of the read buffer of a connection, which is also the limit of a response head, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Client side of an HTTP/1.1 connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    meter: Rc<ReadMeter>,
    /// Whether this node has closed the connection.
    is_dropped: Rc<Cell<bool>>,
    opened: Timestamp,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.is_dropped.set(true);
    }
}

/// Called when the other side has closed a connection, or sent something that closes it.
pub type CloseHandler = Box<dyn FnOnce()>;

impl Connection {
    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// When the connection was opened.
    pub fn opened(&self) -> Timestamp {
        self.opened
    }

    /// Whether the connection can carry a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Connect timeout. A connection between failure domains takes a few milliseconds. A lost packet is retransmitted
/// only after a second, by which time another target has been tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Failure of an exchange.
#[derive(Debug)]
pub struct ExchangeError {
    /// Whether the receiver may have run the request.
    pub verdict: Verdict,
    /// Underlying error, for logs only.
    pub cause: eyre::Report,
}

impl ExchangeError {
    /// Failure before any byte of the request was sent.
    pub fn not_run(cause: impl Into<eyre::Report>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause: cause.into(),
        }
    }

    /// Whether opening the connection timed out.
    pub fn is_timeout(&self) -> bool {
        self.cause.is::<Elapsed>()
    }

    /// Whether the address has refused a connection.
    pub fn is_refusal(&self) -> bool {
        let error = self.cause.downcast_ref::<io::Error>();
        error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Failure after the request was sent, at least in part.
    pub fn may_have_run(cause: impl Into<eyre::Report>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            cause: cause.into(),
        }
    }
}

/// Opens a connection to the server `name` and spawns the task that drives it. `on_close` is not called if this node closes it.
///
/// # Errors
///
/// Fails when the connection cannot be opened in time.
pub async fn connect(
    connector: &dyn ServerConnector,
    address: SocketAddr,
    name: &str,
    on_close: CloseHandler,
) -> Result<Connection, ExchangeError> {
    let stream = timeout(CONNECT_TIMEOUT, connector.connect(address))
        .await
        .map_err(ExchangeError::not_run)?
        .map_err(ExchangeError::not_run)?;
    let meter = ReadMeter::new(name);
    let stream = MeteredStream::new(stream, meter.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(ExchangeError::not_run)?;
    let is_dropped = Rc::new(Cell::new(false));
    let was_dropped = is_dropped.clone();
    tokio::task::spawn_local(async move {
        // An error reaches the request that waits for the response; on an idle connection no request is affected.
        if let Err(error) = connection.await {
            log::trace!("event=connection_ended address={address} error=\"{error}\"");
        }
        if !was_dropped.get() {
            on_close();
        }
    });
    Ok(Connection {
        sender,
        meter,
        is_dropped,
        opened: clock::now(),
    })
}

/// Sends a request and waits for the response headers.
///
/// # Errors
///
/// Fails when the connection fails or its server sends something else, such as a status that is none; the verdict says whether the
/// request may have run.
pub async fn send(
    connection: &mut Connection,
    request: Request<RequestBody>,
) -> Result<ReceivedResponse, ExchangeError> {
    let Connection { sender, meter, .. } = connection;
    sender.ready().await.map_err(ExchangeError::not_run)?;
    match sender.try_send_request(request).await {
        Ok(response) => {
            meter.record_delivery();
            // What follows such a status need not be its body.
            AnswerStatus::new(response.status().as_u16()).map_err(ExchangeError::may_have_run)?;
            Ok(response.map(|body| MeteredBody::new(body, meter.clone())))
        }
        Err(mut error) => {
            let was_sent = error.take_message().is_none();
            let cause = error.into_error();
            Err(if was_sent {
                ExchangeError::may_have_run(cause)
            } else {
                ExchangeError::not_run(cause)
            })
        }
    }
}
