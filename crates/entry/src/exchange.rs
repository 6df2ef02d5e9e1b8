//! One HTTP exchange over a connection of this process's own.

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

/// Body of requests that this process sends.
pub type RequestBody = Full<Bytes>;
/// A connection that can take a request.
pub type Connection = SendRequest<RequestBody>;

/// Time for opening a connection. Between failure domains it takes a few milliseconds; a lost packet is sent
/// again after a second, by when another target has been tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Why an exchange failed, and whether the request may have run.
#[derive(Debug)]
pub struct ExchangeError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Cause, for logs.
    pub cause: eyre::Report,
}

impl ExchangeError {
    /// No byte of the request was sent.
    pub fn not_run(cause: impl Into<eyre::Report>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause: cause.into(),
        }
    }

    /// Whether the other end did not answer at all.
    pub fn is_timeout(&self) -> bool {
        self.cause.is::<Elapsed>()
    }

    /// The request was sent, in part at least.
    pub fn may_have_run(cause: impl Into<eyre::Report>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            cause: cause.into(),
        }
    }
}

/// Opens a connection.
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
        // The error reaches the request that waits for the answer; an idle connection has nobody to tell.
        if let Err(error) = connection.await {
            log::trace!("event=connection_ended address={address} error=\"{error}\"");
        }
    });
    Ok(sender)
}

/// Sends a request and waits for the head of the answer.
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
