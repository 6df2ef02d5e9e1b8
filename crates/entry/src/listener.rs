//! Accepts HTTP connections and serves them until a planned stop ends them.
//!
//! A stop closes connections without losing a request or a response:
//!
//! - Idle connections are closed when the node drains, others after their next response.
//! - The listening socket is closed after the connections in its accept queue have been accepted.
//! - Requests that were received together with an earlier one are refused, not dropped.
//! - A connection ends when its caller has closed it too: a socket that is closed with unread bytes is reset, and a
//!   reset destroys responses that are on their way.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use http::HeaderValue;
use http::Request;
use http::Version;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use jaysaddle_daemon::clock;
use jaysaddle_types::units::TimeSpan;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::caller_body::CallerBody;
use crate::caller_stream::CallerStream;
use crate::node::EntryNode;
use crate::response::CallerResponse;
use crate::server_reach::is_isolated;
use crate::shutdown::ShutdownStage;

/// Delay before the next accept after an error, such as running out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time without a new connection after which the accept queue of a closing listener counts as empty.
const ACCEPT_QUEUE_IDLE: Duration = Duration::from_millis(10);
/// Maximum time for which a closing listener accepts the connections in its queue.
const ACCEPT_QUEUE_TIME: Duration = Duration::from_millis(100);
/// Time for which a draining node waits for the first request of a new connection.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);
/// Maximum time for which a closed connection waits for its caller to close it too.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Future of a response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = CallerResponse>>>;

/// Limits on the request heads of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Time for reading a head, including the idle time before it.
    pub read_time: Duration,
    /// Size of a head, in bytes.
    pub bytes: usize,
}

/// Serves the requests of a listener.
pub trait RequestHandler {
    /// Limits for a new connection.
    fn head_limits(&self) -> HeadLimits;

    /// Time from now for which the caller of a request waits for the response, as far as it is allowed to.
    fn wait_limit(&self, request: &Request<CallerBody>) -> TimeSpan;

    /// Records a new connection.
    fn connection_opened(&self);

    /// Records the end of a connection.
    fn connection_closed(&self);

    /// Serves a request of a caller.
    fn serve(&self, request: Request<CallerBody>, caller: IpAddr) -> ResponseFuture;

    /// Refuses a request that arrived together with an earlier one whose response has closed the connection.
    fn refuse(&self, request: Request<CallerBody>) -> ResponseFuture;
}

/// Binds a TCP listener to `address`.
pub async fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Accepts and serves connections until the node closes.
pub async fn serve(node: Rc<EntryNode>, listener: TcpListener, handler: Rc<dyn RequestHandler>) {
    node.shutdown.listener_opened();
    tokio::select! {
        () = accept_all(&node, &listener, &handler) => {}
        () = node.shutdown.entered(ShutdownStage::Closing) => {}
    }
    let accept_queue = async {
        while let Ok(Ok((stream, caller))) = timeout(ACCEPT_QUEUE_IDLE, listener.accept()).await {
            spawn_connection(&node, stream, caller.ip(), &handler);
        }
    };
    // A queue that is still not empty belongs to callers that connect again and again.
    let _ = timeout(ACCEPT_QUEUE_TIME, accept_queue).await;
    drop(listener);
    node.shutdown.listener_closed();
}

async fn accept_all(
    node: &Rc<EntryNode>,
    listener: &TcpListener,
    handler: &Rc<dyn RequestHandler>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => spawn_connection(node, stream, caller.ip(), handler),
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection(
    node: &Rc<EntryNode>,
    stream: TcpStream,
    caller: IpAddr,
    handler: &Rc<dyn RequestHandler>,
) {
    // Recorded before the task runs, so that a closing node waits for it.
    handler.connection_opened();
    let (node, handler) = (node.clone(), handler.clone());
    spawn_local(async move {
        // What can be written now comes first.
        tokio::select! {
            biased;
            () = serve_connection(&node, stream, caller, &handler) => {}
            () = node.shutdown.entered(ShutdownStage::Ended) => {}
        }
        handler.connection_closed();
    });
}

/// Stream of a connection after its last response.
struct ConnectionEnd {
    stream: CallerStream,
    state: Rc<ConnectionState>,
    /// Whether the last response is complete.
    is_complete: bool,
}

impl ConnectionEnd {
    /// Whether further requests have been received, which can be answered on the connection.
    fn has_request(&mut self) -> bool {
        self.is_complete && self.state.is_body_read.get() && self.stream.has_unread()
    }
}

/// What is known of the last request of a connection.
#[derive(Debug)]
struct ConnectionState {
    has_request: Cell<bool>,
    /// Whether the body was read to its end, so that what follows it is another request.
    is_body_read: Rc<Cell<bool>>,
}

async fn serve_connection(
    node: &Rc<EntryNode>,
    stream: TcpStream,
    caller: IpAddr,
    handler: &Rc<dyn RequestHandler>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed error=\"{error}\"");
    }
    let accepted = Instant::now();
    let stream = CallerStream::new(stream, caller);
    let mut end = serve_requests(node, stream, handler, accepted, false).await;
    // Lets the event loop notice what has arrived.
    yield_now().await;
    while node.shutdown.stage() > ShutdownStage::Serving && end.has_request() {
        end = serve_requests(node, end.stream, handler, accepted, true).await;
    }
    if end.is_complete || !end.stream.resets_on_drop().get() {
        end.stream.linger(LINGER_TIME).await;
    }
}

/// Serves the requests of a connection until its last response, or refuses them with `refuses`.
async fn serve_requests(
    node: &Rc<EntryNode>,
    stream: CallerStream,
    handler: &Rc<dyn RequestHandler>,
    accepted: Instant,
    refuses: bool,
) -> ConnectionEnd {
    let caller = stream.caller();
    let resets_on_drop = stream.resets_on_drop();
    let awaited_until = stream.awaited_until();
    let state = Rc::new(ConnectionState {
        has_request: Cell::new(false),
        is_body_read: Rc::new(Cell::new(true)),
    });
    let service = {
        let (node, handler, state) = (node.clone(), handler.clone(), state.clone());
        service_fn(move |request: Request<Incoming>| {
            state.has_request.set(true);
            // Without chunks, the end of the connection ends the response.
            resets_on_drop.set(request.version() < Version::HTTP_11);
            let request = request.map(|body| CallerBody::new(body, state.is_body_read.clone()));
            awaited_until.set(clock::now() + handler.wait_limit(&request));
            let response = if refuses {
                handler.refuse(request)
            } else {
                handler.serve(request, caller)
            };
            Box::pin(finish_response(node.clone(), response))
        })
    };
    let limits = handler.head_limits();
    let read_time = if refuses {
        LINGER_TIME
    } else {
        limits.read_time
    };
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(read_time)
        .max_buf_size(limits.bytes)
        .serve_connection(TokioIo::new(stream), service);
    // Reading comes first, so that a request that has arrived is not taken for the end of an idle connection.
    let result = tokio::select! {
        biased;
        result = &mut connection => result,
        () = drains(node, accepted, &state) => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    if let Err(error) = &result {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
    }
    let parts = connection.into_parts();
    let mut stream = parts.io.into_inner();
    stream.push_back(&parts.read_buf);
    ConnectionEnd {
        stream,
        state,
        is_complete: result.is_ok(),
    }
}

/// Completes when the node drains. A new connection has some time for its first request.
async fn drains(node: &EntryNode, accepted: Instant, state: &ConnectionState) {
    node.shutdown.entered(ShutdownStage::Draining).await;
    if !state.has_request.get() {
        sleep_until(accepted + FIRST_REQUEST_TIME).await;
    }
}

/// Completes a response, and announces the end of the connection when the node stops.
async fn finish_response(
    node: Rc<EntryNode>,
    response: ResponseFuture,
) -> Result<CallerResponse, Infallible> {
    let mut response = response.await;
    // Callers of a node that is cut off from the backend servers do better at another one.
    if node.shutdown.stage() > ShutdownStage::Serving || is_isolated(&node) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}
