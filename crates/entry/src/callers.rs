//! Listener for callers' connections.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use http::HeaderValue;
use http::Request;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use jaysaddle_fleet::peers::PeerPhase;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::forward;
use crate::node::EntryNode;
use crate::response::CallerResponse;
use crate::shutdown::ShutdownStage;

/// Delay before the next accept after an error, such as running out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Minimum header buffer size that the HTTP library accepts.
const MIN_HEADER_BYTES: usize = 8192;

/// Binds a TCP listener to `address`.
pub async fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Accepts and serves callers' connections. Never returns.
pub async fn serve(node: Rc<EntryNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = node.clone();
                tokio::task::spawn_local(async move {
                    node.caller_connections
                        .set(node.caller_connections.get() + 1);
                    node.shutdown.record_connection();
                    tokio::select! {
                        () = serve_connection(node.clone(), stream) => {}
                        () = node.shutdown.entered(ShutdownStage::Ended) => {}
                    }
                    node.caller_connections
                        .set(node.caller_connections.get() - 1);
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn respond(
    node: Rc<EntryNode>,
    request: Request<Incoming>,
) -> Result<CallerResponse, Infallible> {
    let mut response = forward::handle(node.clone(), request).await;
    if node.phase.get() == PeerPhase::Stopping {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn serve_connection(node: Rc<EntryNode>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed error=\"{error}\"");
    }
    let limits = node
        .config
        .borrow()
        .as_ref()
        .map(|config| config.limits)
        .unwrap_or_default();
    let service_node = node.clone();
    let service = service_fn(move |request| respond(service_node.clone(), request));
    // The library's timeout also covers the idle time before the headers, so it must not be shorter than the time
    // for which callers keep idle connections.
    let header_time = limits.idle_time.as_duration() + limits.header_time.as_duration();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_time)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stopping = node.stopping.notified();
    tokio::pin!(stopping);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopping.as_mut() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
    }
}
