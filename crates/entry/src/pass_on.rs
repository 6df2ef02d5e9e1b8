//! Passes requests on to peers while this node reaches no backend server.
//!
//! Callers keep the addresses of the directory for seconds, so requests arrive at a node after it has left the directory. A peer
//! handles them as those of any caller.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http_body::Body;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use jaysaddle_adapter::headers;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::verdict::Verdict;

use crate::caller_request::CallerRequest;
use crate::caller_request::number_value;
use crate::caller_request::strip_connection_headers;
use crate::caller_request::within_time;
use crate::connector::TcpConnector;
use crate::exchange::ExchangeError;
use crate::exchange::ReceivedResponse;
use crate::exchange::RequestBody;
use crate::exchange::connect;
use crate::exchange::send;
use crate::forward::OpenRequest;
use crate::node::EntryNode;
use crate::request_report::RequestReport;
use crate::response::CallerResponse;
use crate::response::RequestFailure;
use crate::response::ResponseBody;

/// Marks requests that were passed on, so that they are not passed on again.
pub const PASSED_ON: HeaderName = HeaderName::from_static("jaysaddle-passed-on");
/// Maximum number of peers that are tried, if no connection to one can be opened.
const MAX_PEERS: usize = 3;
/// `Retry-After` of a request that no peer accepts.
const RETRY_AFTER: TimeSpan = TimeSpan(100);

/// Peers that reach backend servers, in the order in which they are tried for a request.
fn serving_peers(node: &EntryNode, request: &CallerRequest) -> Vec<SocketAddr> {
    let peers = node.peers.borrow();
    let mut serving: Vec<SocketAddr> = peers
        .live(clock::now())
        .filter(|record| record.heartbeat.phase == PeerPhase::Serving)
        .map(|record| record.heartbeat.caller_address)
        .collect();
    if !serving.is_empty() {
        let first = request.content.attempt as usize % serving.len();
        serving.rotate_left(first);
    }
    serving.truncate(MAX_PEERS);
    serving
}

/// Whether a request may be passed on to a peer.
pub fn may_pass_on(node: &EntryNode, request: &CallerRequest) -> bool {
    !request.headers.contains_key(PASSED_ON) && !serving_peers(node, request).is_empty()
}

fn request_for_peer(request: &CallerRequest) -> eyre::Result<Request<RequestBody>> {
    let key = request.headers.get(headers::ACCOUNT_KEY).cloned();
    let mut map = request.headers.clone();
    strip_connection_headers(&mut map);
    if let Some(key) = key {
        map.insert(headers::ACCOUNT_KEY, key);
    }
    let time_left = request.time_left().as_millis();
    map.insert(headers::DEADLINE_MS, number_value(time_left)?);
    map.insert(PASSED_ON, HeaderValue::from_static("1"));
    let target = request.uri.path_and_query();
    let mut outgoing = Request::builder()
        .method(request.method.clone())
        .uri(target.map_or("/", |target| target.as_str()))
        .body(Full::new(request.body.clone()))?;
    *outgoing.headers_mut() = map;
    Ok(outgoing)
}

async fn exchange(
    peer: SocketAddr,
    request: &CallerRequest,
) -> Result<ReceivedResponse, ExchangeError> {
    let outgoing = request_for_peer(request).map_err(ExchangeError::not_run)?;
    let mut connection = connect(&TcpConnector, peer, "peer", Box::new(|| {})).await?;
    send(&mut connection, outgoing).await
}

/// Passes a request on to a peer, and its response to the caller.
///
/// # Errors
///
/// Fails if no peer accepts the request, or the connection to one fails before its response.
pub async fn pass_on(
    node: &Rc<EntryNode>,
    request: &CallerRequest,
    report: &mut RequestReport,
    open: OpenRequest,
) -> Result<CallerResponse, RequestFailure> {
    for peer in serving_peers(node, request) {
        let error = match within_time(request, exchange(peer, request)).await {
            Some(Ok(response)) => {
                let status = response.status().as_u16();
                log::info!(
                    "event=request_passed_on request={} peer={peer} status={status}",
                    request.id
                );
                metrics::counter!("jaysaddle_requests_passed_on_total").increment(1);
                report.finish_answered(status);
                return Ok(to_caller(response, open));
            }
            Some(Err(error)) => error,
            None => {
                let status = StatusCode::GATEWAY_TIMEOUT;
                return Err(RequestFailure::may_have_run(status, "time_is_up"));
            }
        };
        log::info!(
            "event=peer_failed request={} peer={peer} error=\"{:#}\"",
            request.id,
            error.cause
        );
        if error.verdict != Verdict::NotRun {
            let status = StatusCode::BAD_GATEWAY;
            return Err(RequestFailure::may_have_run(status, "peer_failed"));
        }
    }
    Err(RequestFailure::unavailable("cut_off", RETRY_AFTER))
}

/// The response of a peer as that to the caller. The request counts as open until the end of the body.
fn to_caller(response: ReceivedResponse, open: OpenRequest) -> CallerResponse {
    let (mut parts, body) = response.into_parts();
    strip_connection_headers(&mut parts.headers);
    let length = body.size_hint().exact();
    let frames = unfold((body, open), |(mut body, open)| async move {
        let frame = body.frame().await?;
        Some((frame.map_err(io::Error::other), (body, open)))
    });
    let body: ResponseBody = match length {
        // Without frames, the length of an empty body would be unknown.
        Some(0) => Box::pin(Full::new(Bytes::new()).map_err(io::Error::other)),
        _ => Box::pin(StreamBody::new(frames)),
    };
    CallerResponse::from_parts(parts, body)
}
