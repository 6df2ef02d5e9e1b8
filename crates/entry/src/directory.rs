//! HTTP endpoints for address resolution, readiness and metrics.

use std::convert::Infallible;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use jaysaddle_adapter::directory::READY_PATH;
use jaysaddle_adapter::directory::RESOLVE_PATH;
use jaysaddle_adapter::directory::caller_failure_domain;
use jaysaddle_adapter::directory::resolve_body;
use jaysaddle_daemon::clock;
use jaysaddle_daemon::telemetry::MetricsRenderer;
use jaysaddle_fleet::peers::PeerPhase;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::address_list::ServingNode;
use crate::address_list::select_addresses;
use crate::gauges;
use crate::node::EntryNode;
use crate::response::CallerResponse;
use crate::response::empty_response;
use crate::response::full_body;
use crate::response::json_response;

/// Path of the Prometheus metrics.
const METRICS_PATH: &str = "/metrics";
/// Maximum number of addresses in a directory response.
const MAX_ADDRESSES: usize = 64;
/// Time for which callers may cache a directory response, in seconds. Short, so that callers soon leave a node
/// that stops or fails.
const ADDRESS_LIFETIME_SECS: u64 = 1;
/// Timeout for reading the request headers, including the idle time between requests.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the next accept after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves the directory, readiness and metrics on one listener. Never returns.
pub async fn serve(node: Rc<EntryNode>, listener: TcpListener, metrics: Rc<MetricsRenderer>) {
    loop {
        let (stream, caller) = match listener.accept().await {
            Ok((stream, address)) => (stream, address.ip()),
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let node = node.clone();
        let metrics = metrics.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = respond(&node, &metrics, caller, &request);
                std::future::ready(Ok::<CallerResponse, Infallible>(response))
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!("event=directory_connection_ended error=\"{error}\"");
            }
        });
    }
}

fn respond(
    node: &EntryNode,
    metrics: &MetricsRenderer,
    caller: IpAddr,
    request: &Request<Incoming>,
) -> CallerResponse {
    match request.uri().path() {
        READY_PATH if node.phase.get() == PeerPhase::Serving => empty_response(StatusCode::OK),
        READY_PATH => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        RESOLVE_PATH => resolve(node, caller, request.uri().query().unwrap_or("")),
        METRICS_PATH => {
            gauges::publish_node(node);
            let mut response = empty_response(StatusCode::OK);
            *response.body_mut() = full_body(metrics.render());
            response
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn resolve(node: &EntryNode, caller: IpAddr, query: &str) -> CallerResponse {
    let addresses = serving_addresses(node, caller, caller_failure_domain(query));
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let lifetime = ADDRESS_LIFETIME_SECS.min(node.bounds.get().directory_lifetime_secs);
    json_response(resolve_body(&addresses, lifetime))
}

/// Addresses of the nodes that accept callers.
fn serving_addresses(
    node: &EntryNode,
    caller: IpAddr,
    caller_domain: Option<&str>,
) -> Vec<SocketAddr> {
    let now = clock::now();
    let peers = node.peers.borrow();
    let mut nodes: Vec<ServingNode> = peers
        .live(now)
        .filter(|record| record.heartbeat.phase == PeerPhase::Serving)
        .map(|record| ServingNode {
            is_same_domain: Some(record.heartbeat.failure_domain.as_str()) == caller_domain,
            address: record.heartbeat.caller_address,
        })
        .collect();
    if node.phase.get() == PeerPhase::Serving {
        nodes.push(ServingNode {
            is_same_domain: Some(node.settings.failure_domain.as_str()) == caller_domain,
            address: node.settings.listen.callers,
        });
    }
    select_addresses(nodes, MAX_ADDRESSES, caller)
}
