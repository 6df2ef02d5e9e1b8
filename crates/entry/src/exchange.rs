//! A single HTTP request and response over an outgoing connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use jaysaddle_types::verdict::Verdict;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

/// Body type of outgoing requests.
pub type RequestBody = Full<Bytes>;
/// Client side of an HTTP/1.1 connection.
pub type Connection = SendRequest<RequestBody>;

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

    /// Failure after the request was sent, at least in part.
    pub fn may_have_run(cause: impl Into<eyre::Report>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            cause: cause.into(),
        }
    }
}

/// Opens a connection and spawns the task that drives it.
pub async fn connect(address: SocketAddr) -> Result<Connection, ExchangeError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(ExchangeError::not_run)?
        .map_err(ExchangeError::not_run)?;
    stream.set_nodelay(true).map_err(ExchangeError::not_run)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(ExchangeError::not_run)?;
    tokio::task::spawn_local(async move {
        // An error reaches the request that waits for the response; on an idle connection no request is affected.
        if let Err(error) = connection.await {
            log::trace!("event=connection_ended address={address} error=\"{error}\"");
        }
    });
    Ok(sender)
}

/// Sends a request and waits for the response headers.
pub async fn send(
    connection: &mut Connection,
    request: Request<RequestBody>,
) -> Result<Response<Incoming>, ExchangeError> {
    connection.ready().await.map_err(ExchangeError::not_run)?;
    match connection.try_send_request(request).await {
        Ok(response) => Ok(response),
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
