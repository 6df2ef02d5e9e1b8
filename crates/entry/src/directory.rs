//! HTTP endpoints for address resolution, readiness and metrics.

use std::future::ready;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use jaysaddle_adapter::directory::READY_PATH;
use jaysaddle_adapter::directory::RESOLVE_PATH;
use jaysaddle_adapter::directory::caller_failure_domain;
use jaysaddle_adapter::directory::resolve_body;
use jaysaddle_daemon::clock;
use jaysaddle_daemon::telemetry::MetricsRenderer;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_types::units::TimeSpan;

use crate::address_list::ServingNode;
use crate::address_list::select_addresses;
use crate::caller_body::CallerBody;
use crate::gauges;
use crate::listener::HeadLimits;
use crate::listener::RequestHandler;
use crate::listener::ResponseFuture;
use crate::node::EntryNode;
use crate::response::CallerResponse;
use crate::response::empty_response;
use crate::response::full_body;
use crate::response::json_response;
use crate::server_reach::announced_phase;

/// Path of the Prometheus metrics.
const METRICS_PATH: &str = "/metrics";
/// Maximum number of addresses in a directory response.
const MAX_ADDRESSES: usize = 64;
/// Time for which callers may cache a directory response, in seconds. Short, so that callers soon leave a node
/// that stops or fails.
const ADDRESS_LIFETIME_SECS: u64 = 1;
/// Timeout for reading the request headers, including the idle time between requests.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the request headers, in bytes.
const MAX_HEADER_BYTES: usize = 64 * 1024;

/// Serves the directory, readiness and metrics.
pub struct InfoHandler {
    node: Rc<EntryNode>,
    metrics: Rc<MetricsRenderer>,
}

impl InfoHandler {
    pub fn new(node: Rc<EntryNode>, metrics: Rc<MetricsRenderer>) -> Self {
        Self { node, metrics }
    }
}

impl RequestHandler for InfoHandler {
    fn head_limits(&self) -> HeadLimits {
        HeadLimits {
            read_time: HEADER_TIMEOUT,
            bytes: MAX_HEADER_BYTES,
        }
    }

    fn wait_limit(&self, _request: &Request<CallerBody>) -> TimeSpan {
        TimeSpan(0)
    }

    fn connection_opened(&self) {
        let count = &self.node.info_connections;
        count.set(count.get() + 1);
    }

    fn connection_closed(&self) {
        let count = &self.node.info_connections;
        count.set(count.get() - 1);
    }

    fn serve(&self, request: Request<CallerBody>, caller: IpAddr) -> ResponseFuture {
        let response = respond(&self.node, &self.metrics, caller, &request);
        Box::pin(ready(response))
    }

    fn refuse(&self, _request: Request<CallerBody>) -> ResponseFuture {
        Box::pin(ready(empty_response(StatusCode::SERVICE_UNAVAILABLE)))
    }
}

fn respond(
    node: &EntryNode,
    metrics: &MetricsRenderer,
    caller: IpAddr,
    request: &Request<CallerBody>,
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

/// Addresses of the nodes that accept callers. If none of them reaches a backend server, all of them; while all nodes stop, those
/// that are stopping, because they still serve what can end in time.
fn serving_addresses(
    node: &EntryNode,
    caller: IpAddr,
    caller_domain: Option<&str>,
) -> Vec<SocketAddr> {
    let phases = [PeerPhase::Serving, PeerPhase::CutOff, PeerPhase::Stopping];
    let mut nodes = phases
        .into_iter()
        .map(|phase| nodes_in_phase(node, phase, caller_domain));
    let nodes = nodes.find(|nodes| !nodes.is_empty()).unwrap_or_default();
    select_addresses(nodes, MAX_ADDRESSES, caller)
}

/// This node and its live peers, as far as they are in `phase`.
fn nodes_in_phase(
    node: &EntryNode,
    phase: PeerPhase,
    caller_domain: Option<&str>,
) -> Vec<ServingNode> {
    let now = clock::now();
    let peers = node.peers.borrow();
    let mut nodes: Vec<ServingNode> = peers
        .live(now)
        .filter(|record| record.heartbeat.phase == phase)
        .map(|record| ServingNode {
            is_same_domain: Some(record.heartbeat.failure_domain.as_str()) == caller_domain,
            address: record.heartbeat.caller_address,
        })
        .collect();
    if announced_phase(node) == phase {
        nodes.push(ServingNode {
            is_same_domain: Some(node.settings.failure_domain.as_str()) == caller_domain,
            address: node.settings.listen.callers,
        });
    }
    nodes
}
